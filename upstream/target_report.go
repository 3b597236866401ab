package upstream

import (
	"encoding/binary"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/rainford/rainford/availability"
)

const (
	// busyThreshold is the load, in slots, from which on a target's report is passed on: a
	// request that comes next has to wait.
	busyThreshold = 0.9
	// busyReportPeriod is how long after a target was busy its reports are passed on whatever
	// they say, so that the others learn that it no longer is.
	busyReportPeriod = 3 * time.Second
	// targetReportTTL is how old a report may be to be passed on: with another round of
	// gossip on its way it still counts.
	targetReportTTL = 1500 * time.Millisecond
	// downPause is how long after another instance could not reach a target it gets
	// nothing: until gossip would have told whether that goes on.
	downPause = 1500 * time.Millisecond
)

// TargetReport is what an instance has seen of a target and passes on to others. In a large
// fleet an instance has an answer of each target once in minutes, so it would not know
// which few have more requests than they have slots, and each would find out by itself that
// a target is down.
type TargetReport struct {
	// Target is a short form of the target's ID.
	Target uint32
	// PerSlot is the number of requests running and waiting there, over its slots.
	PerSlot float64
	// Down says that no connection to the target could be had. That an answer did not
	// come is not passed on: while targets are overloaded that is so of many, and what
	// leaves them is cold elsewhere.
	Down bool
	// Age is the time since it was seen.
	Age time.Duration
}

// TargetReports are reports as a message carries them.
type TargetReports []TargetReport

// Units of a sighting in a message: a byte each for the load and the age. The highest load
// stands for a target that is down.
const (
	targetReportBytes = 4 + 1 + 1
	loadUnit          = 1.0 / 32
	ageUnit           = 10 * time.Millisecond
	downByte          = math.MaxUint8
)

// ErrTruncatedTargetReports is returned for sightings that are cut short.
var ErrTruncatedTargetReports = errors.New("upstream: sightings cut short")

// EncodeMsgpack implements msgpack.CustomEncoder: one string of bytes.
func (s TargetReports) EncodeMsgpack(enc *msgpack.Encoder) error {
	raw := make([]byte, 0, len(s)*targetReportBytes)
	for _, seen := range s {
		raw = binary.BigEndian.AppendUint32(raw, seen.Target)
		load := clampToByte(seen.PerSlot/loadUnit, downByte-1)
		if seen.Down {
			load = downByte
		}
		raw = append(raw, load, clampToByte(float64(seen.Age/ageUnit), math.MaxUint8))
	}
	return enc.EncodeBytes(raw)
}

// clampToByte rounds a value to a byte of at most most.
func clampToByte(v, most float64) byte { return byte(min(max(math.Round(v), 0), most)) }

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *TargetReports) DecodeMsgpack(dec *msgpack.Decoder) error {
	raw, err := dec.DecodeBytes()
	if err != nil {
		return err
	}
	if len(raw)%targetReportBytes != 0 {
		return ErrTruncatedTargetReports
	}
	*s = make(TargetReports, 0, len(raw)/targetReportBytes)
	for ; len(raw) > 0; raw = raw[targetReportBytes:] {
		seen := TargetReport{Target: binary.BigEndian.Uint32(raw), Down: raw[4] == downByte, Age: time.Duration(raw[5]) * ageUnit}
		if !seen.Down {
			seen.PerSlot = float64(raw[4]) * loadUnit
		}
		*s = append(*s, seen)
	}
	return nil
}

// lastReport is the newest report on a target's load, whoever had it.
type lastReport struct {
	perSlot float64
	at      time.Time
	// busyAt is when a report last said that the target was busy.
	busyAt time.Time
}

func (l *lastReport) record(at time.Time, perSlot float64) {
	l.perSlot, l.at = perSlot, at
	if perSlot >= busyThreshold {
		l.busyAt = at
	}
}

// TargetReports returns what to pass on to other instances of the region: the reports of busy
// targets, and of targets that were busy a moment ago, and which targets are down. An
// instance that can't reach more targets than it gets answers from says nothing of that: the
// fault may be its own.
func (p *Pool) TargetReports(now time.Time) TargetReports {
	var busy, down TargetReports
	answering := 0
	for _, t := range p.activeTargets {
		c := t.stats
		if now.Sub(c.answeredAt) < targetReportTTL {
			answering++
		}
		if !t.inService() {
			continue
		}
		if age := now.Sub(c.downAt); age < targetReportTTL && c.suspectBackoff > 0 {
			down = append(down, TargetReport{Target: shortID(t.hash), Down: true, Age: age})
			continue
		}
		age := now.Sub(c.last.at)
		if age < targetReportTTL && now.Sub(c.last.busyAt) < busyReportPeriod {
			busy = append(busy, TargetReport{Target: shortID(t.hash), PerSlot: c.last.perSlot, Age: age})
		}
	}
	if len(down) > answering {
		return busy
	}
	return append(down, busy...)
}

// ApplyTargetReports takes in what other instances have seen. Targets of other services are
// passed over.
func (p *Pool) ApplyTargetReports(now time.Time, seen TargetReports) {
	for _, s := range seen {
		t := p.byShortID[s.Target]
		at := now.Add(-s.Age)
		switch {
		case t == nil:
		case s.Down:
			p.applyPeerDown(t, at)
		case at.After(t.stats.last.at):
			p.markActive(now, t)
			t.stats.last.record(at, s.PerSlot)
			p.applyPeerLoad(now, t, at, s.PerSlot)
		}
	}
}

// applyPeerLoad takes in a load that another instance has told of. It counts for nothing while
// all targets of the region are busy: requests that leave one of them wait elsewhere too,
// and for a target that does not have their object.
func (p *Pool) applyPeerLoad(now time.Time, t *target, at time.Time, perSlot float64) {
	if t.region.utilization.at(now) < busyThreshold {
		t.recordLoad(at, perSlot*float64(max(t.spec.Slots, 1)))
	}
}

// applyPeerDown takes in that another instance could not reach a target. It counts only if
// this instance has had no answer from it for a while: one that knows a target by itself is
// not moved off it by the bad luck of another.
func (p *Pool) applyPeerDown(t *target, at time.Time) {
	if at.Sub(t.stats.answeredAt) < reportExpiry {
		return
	}
	before := t.eventState()
	t.state.Pause(at, at.Add(downPause), availability.SourcePeer)
	p.recordEvent(t, before, Unreachable)
}

// shortID is the form of a target's ID in sightings.
func shortID(hash uint64) uint32 { return uint32(hash >> 32) }

// Sample returns at most n of the sightings, drawn at random.
func (s TargetReports) Sample(n int, rnd *rand.Rand) TargetReports {
	if len(s) <= n {
		return s
	}
	rnd.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
	return s[:n]
}
