package seat

import "time"

// Heartbeat is the part of a heartbeat message that concerns the roster. It is
// addressed to a single receiver.
type Heartbeat struct {
	// Seq is the number of the sender's heartbeat, starting at 1.
	Seq uint64 `msgpack:"q"`
	// Epoch is the latest roster epoch known to the sender.
	Epoch int64 `msgpack:"e"`
	// Echo is the number of the latest heartbeat that the sender has received from
	// the receiver. It is 0 if the sender does not grant the receiver a peer lease.
	Echo uint64 `msgpack:"o"`
	// Renewed is the receiver's renewal in the latest roster known to the sender.
	Renewed uint64 `msgpack:"r"`
	// Released are the seats that the sender has released.
	Released []SeatTerm `msgpack:"g,omitempty"`
	// Leaving means that the sender is shutting down and takes no more seats.
	Leaving bool `msgpack:"l,omitempty"`
	// Retiring means that the sender takes no more seats, but keeps some for now.
	Retiring bool `msgpack:"w,omitempty"`
}

// SeatTerm identifies one term of a seat, that is, one assignment to a holder.
type SeatTerm struct {
	Seat int   `msgpack:"s"`
	Term int64 `msgpack:"t"`
}

// sentTimes stores the send times of the latest heartbeats.
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

// at returns the time when heartbeat seq was sent, if it is still stored.
func (s *sentTimes) at(seq uint64) (time.Time, bool) {
	if seq == 0 || seq > s.seq || s.seq-seq >= sentTimesKept {
		return time.Time{}, false
	}
	return s.times[seq%sentTimesKept], true
}
