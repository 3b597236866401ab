package seat

import "time"

// Heartbeat is the part of a heartbeat that concerns the roster. It is made for one
// receiver.
type Heartbeat struct {
	// Seq numbers the sender's heartbeats from 1.
	Seq uint64 `msgpack:"q"`
	// Epoch is the latest roster epoch that the sender knows.
	Epoch int64 `msgpack:"e"`
	// Echo is the receiver's latest heartbeat that the sender has heard, or
	// 0 when the sender grants the receiver nothing.
	Echo uint64 `msgpack:"o"`
	// Renewed is the receiver's renewal in the latest roster that the sender
	// knows.
	Renewed uint64 `msgpack:"r"`
	// Released are seats that the sender has given back.
	Released []SeatTerm `msgpack:"g,omitempty"`
	// Leaving says that the sender is about to end and takes no seat again.
	Leaving bool `msgpack:"l,omitempty"`
	// Retiring says that the sender wants no more seats.
	Retiring bool `msgpack:"w,omitempty"`
}

// SeatTerm names one term of a seat.
type SeatTerm struct {
	Seat int   `msgpack:"s"`
	Term int64 `msgpack:"t"`
}

// sentTimes keeps when the latest heartbeats were sent.
type sentTimes struct {
	seq   uint64
	times [sentTimesKept]time.Time
}

const sentTimesKept = 256

func (s *sentTimes) next(now time.Time) uint64 {
	s.seq++
	s.times[s.seq%sentTimesKept] = now
	return s.seq
}

// at returns when heartbeat seq was sent, if that is still kept.
func (s *sentTimes) at(seq uint64) (time.Time, bool) {
	if seq == 0 || seq > s.seq || s.seq-seq >= sentTimesKept {
		return time.Time{}, false
	}
	return s.times[seq%sentTimesKept], true
}
