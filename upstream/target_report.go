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
	// busyThreshold is the load per slot from which a target's load is reported to other instances,
	// since another request would have to wait.
	busyThreshold = 0.9
	// busyReportPeriod is how long the load of a formerly busy target is still reported whatever it
	// is, so that other instances learn that the target is no longer busy.
	busyReportPeriod = 3 * time.Second
	// targetReportTTL is the maximum age at which a report is sent. It still has weight after
	// another gossip round.
	targetReportTTL = 1500 * time.Millisecond
	// downPause is how long a target gets no requests after another instance could not reach it.
	// After that time gossip would have reported it again if it were still unreachable.
	downPause = 1500 * time.Millisecond
)

// TargetReport is an observation of a target by one instance that is gossiped to others. In a large
// fleet an instance gets a response from any single target only every few minutes. Without reports
// it would not know which few targets have more requests than slots, and each instance would have
// to find out by itself that a target is down.
type TargetReport struct {
	// Target is the short ID of the target.
	Target uint32
	// PerSlot is the number of requests running and waiting at the target, divided by its slots.
	PerSlot float64
	// Down means that no connection to the target could be established. Timeouts are not reported.
	// They are common while targets are overloaded, and moving the keys of so many targets would
	// cause cache misses elsewhere.
	Down bool
	// Age is the time since the observation.
	Age time.Duration
}

// TargetReports is a list of reports as a message contains it.
type TargetReports []TargetReport

// An encoded report contains the target's short ID, one byte for the load and one for the age. The
// highest load value stands for a target that is down.
const (
	targetReportBytes = 4 + 1 + 1
	loadUnit          = 1.0 / 32
	ageUnit           = 10 * time.Millisecond
	downByte          = math.MaxUint8
)

// ErrTruncatedTargetReports is returned when an encoded list of reports is truncated.
var ErrTruncatedTargetReports = errors.New("upstream: target reports truncated")

// EncodeMsgpack implements msgpack.CustomEncoder. The list is one byte string.
func (s TargetReports) EncodeMsgpack(enc *msgpack.Encoder) error {
	raw := make([]byte, 0, len(s)*targetReportBytes)
	for _, report := range s {
		raw = binary.BigEndian.AppendUint32(raw, report.Target)
		load := clampToByte(report.PerSlot/loadUnit, downByte-1)
		if report.Down {
			load = downByte
		}
		raw = append(raw, load, clampToByte(float64(report.Age/ageUnit), math.MaxUint8))
	}
	return enc.EncodeBytes(raw)
}

// clampToByte rounds a value and clamps it to the range from 0 to limit.
func clampToByte(v, limit float64) byte { return byte(min(max(math.Round(v), 0), limit)) }

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
		report := TargetReport{Target: binary.BigEndian.Uint32(raw), Down: raw[4] == downByte, Age: time.Duration(raw[5]) * ageUnit}
		if !report.Down {
			report.PerSlot = float64(raw[4]) * loadUnit
		}
		*s = append(*s, report)
	}
	return nil
}

// lastReport is the newest report of a target's load by any instance.
type lastReport struct {
	perSlot    float64
	reportedAt time.Time
	// busyAt is when a report last showed that the target was busy.
	busyAt time.Time
}

func (l *lastReport) record(at time.Time, perSlot float64) {
	l.perSlot, l.reportedAt = perSlot, at
	if perSlot >= busyThreshold {
		l.busyAt = at
	}
}

// TargetReports returns the reports to send to other instances of the region: the load of targets
// that are or recently were busy, and the targets that are down. ProvenIn returns the latest time at which
// this instance is known to have reached any target of a hall. A target of the hall that it could not
// reach since is not reported as down, since the fault may be the instance's own, nor is any if more
// targets are down than respond.
func (p *Pool) TargetReports(now time.Time, provenIn func(hall string) time.Time) TargetReports {
	var busy, down TargetReports
	responding := 0
	for _, t := range p.activeTargets {
		s := t.stats
		if now.Sub(s.answeredAt) < targetReportTTL {
			responding++
		}
		if !t.inService() || t.state.Unreachable() {
			continue
		}
		if age := now.Sub(s.downAt); age < targetReportTTL && s.suspectBackoff > 0 && !s.downAt.After(provenIn(t.spec.Hall)) {
			down = append(down, TargetReport{Target: shortID(t.hash), Down: true, Age: age})
			continue
		}
		age := now.Sub(s.last.reportedAt)
		if age < targetReportTTL && now.Sub(s.last.busyAt) < busyReportPeriod {
			busy = append(busy, TargetReport{Target: shortID(t.hash), PerSlot: s.last.perSlot, Age: age})
		}
	}
	if len(down) > responding {
		return busy
	}
	return append(down, busy...)
}

// ApplyTargetReports applies the reports of other instances. Reports on targets of other services
// are ignored.
func (p *Pool) ApplyTargetReports(now time.Time, reports TargetReports) {
	for _, r := range reports {
		t := p.byShortID[r.Target]
		at := now.Add(-r.Age)
		switch {
		case t == nil:
		case r.Down:
			p.applyPeerDown(t, at)
		case at.After(t.stats.last.reportedAt):
			p.markActive(now, t)
			t.stats.last.record(at, r.PerSlot)
			p.applyPeerLoad(now, t, at, r.PerSlot)
		}
	}
}

// applyPeerLoad applies a load reported by another instance. It is ignored while the mean
// utilization of the region is at least busyThreshold. Requests moved away from one target would
// then wait at another one too, which in addition does not have their object.
func (p *Pool) applyPeerLoad(now time.Time, t *target, at time.Time, perSlot float64) {
	if t.region.utilization.at(now) < busyThreshold {
		t.recordLoad(at, perSlot*float64(max(t.spec.Slots, 1)))
	}
}

// applyPeerDown applies a report that another instance could not reach a target. It is ignored if
// this instance has recently had a response from the target, so that a failure between two others
// does not move its keys.
func (p *Pool) applyPeerDown(t *target, at time.Time) {
	if at.Sub(t.stats.answeredAt) < reportExpiry {
		return
	}
	before := t.eventState()
	t.state.Pause(at, at.Add(downPause), availability.SourcePeer)
	p.recordEvent(t, before, Unreachable)
}

// shortID returns the form of a target's ID that reports contain.
func shortID(hash uint64) uint32 { return uint32(hash >> 32) }

// Sample returns at most n of the reports, chosen at random. It may reorder s.
func (s TargetReports) Sample(n int, rnd *rand.Rand) TargetReports {
	if len(s) <= n {
		return s
	}
	rnd.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
	return s[:n]
}
