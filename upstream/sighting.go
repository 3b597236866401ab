package upstream

import (
	"encoding/binary"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// busyFrom is the load, in slots, from which on a target's report is passed on: a
	// request that comes next has to wait.
	busyFrom = 0.9
	// busyFor is how long after a target was busy its reports are passed on whatever
	// they say, so that the others learn that it no longer is.
	busyFor = 3 * time.Second
	// sightingLife is how old a report may be to be passed on: with another round of
	// gossip on its way it still counts.
	sightingLife = 1500 * time.Millisecond
)

// Sighting is a target's report on its load as instances pass it on. In a large fleet an
// instance has an answer of each target once in minutes, so it would not know which few
// have more requests than they have slots.
type Sighting struct {
	// Target is a short form of the target's ID.
	Target uint32
	// PerSlot is the number of requests running and waiting there, over its slots.
	PerSlot float64
	// Age is the time since the report came with an answer.
	Age time.Duration
}

// Sightings are reports as a message carries them.
type Sightings []Sighting

// Units of a sighting in a message: a byte each for the load and the age.
const (
	sightingBytes = 4 + 1 + 1
	loadUnit      = 1.0 / 32
	ageUnit       = 10 * time.Millisecond
)

// ErrSightings is returned for sightings that are cut short.
var ErrSightings = errors.New("upstream: sightings cut short")

// EncodeMsgpack implements msgpack.CustomEncoder: one string of bytes.
func (s Sightings) EncodeMsgpack(enc *msgpack.Encoder) error {
	raw := make([]byte, 0, len(s)*sightingBytes)
	for _, seen := range s {
		raw = binary.BigEndian.AppendUint32(raw, seen.Target)
		raw = append(raw, byteOf(seen.PerSlot/loadUnit), byteOf(float64(seen.Age/ageUnit)))
	}
	return enc.EncodeBytes(raw)
}

// byteOf rounds a value to a byte.
func byteOf(v float64) byte { return byte(min(max(math.Round(v), 0), math.MaxUint8)) }

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *Sightings) DecodeMsgpack(dec *msgpack.Decoder) error {
	raw, err := dec.DecodeBytes()
	if err != nil {
		return err
	}
	if len(raw)%sightingBytes != 0 {
		return ErrSightings
	}
	*s = make(Sightings, 0, len(raw)/sightingBytes)
	for ; len(raw) > 0; raw = raw[sightingBytes:] {
		*s = append(*s, Sighting{
			Target:  binary.BigEndian.Uint32(raw),
			PerSlot: float64(raw[4]) * loadUnit,
			Age:     time.Duration(raw[5]) * ageUnit,
		})
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

func (l *lastReport) take(at time.Time, perSlot float64) {
	l.perSlot, l.at = perSlot, at
	if perSlot >= busyFrom {
		l.busyAt = at
	}
}

// Sightings returns the reports to pass on to other instances of the region: those of busy
// targets, and of targets that were busy a moment ago.
func (p *Pool) Sightings(now time.Time) Sightings {
	var out Sightings
	for _, t := range p.targets {
		age := now.Sub(t.last.at)
		if age < sightingLife && now.Sub(t.last.busyAt) < busyFor && t.serves() {
			out = append(out, Sighting{Target: shortID(t.hash), PerSlot: t.last.perSlot, Age: age})
		}
	}
	return out
}

// Hear takes in reports that other instances had. Those of targets of other services are
// passed over.
func (p *Pool) Hear(now time.Time, seen Sightings) {
	for _, s := range seen {
		t := p.byShortID[s.Target]
		at := now.Add(-s.Age)
		if t == nil || !at.After(t.last.at) {
			continue
		}
		t.hear(at, s.PerSlot)
	}
}

// hear takes in a report that another instance had.
func (t *target) hear(at time.Time, perSlot float64) {
	t.last.take(at, perSlot)
	t.count(at, perSlot*float64(max(t.spec.Slots, 1)))
}

// shortID is the form of a target's ID in sightings.
func shortID(hash uint64) uint32 { return uint32(hash >> 32) }

// Sample returns at most n of the sightings, drawn at random.
func (s Sightings) Sample(n int, rnd *rand.Rand) Sightings {
	if len(s) <= n {
		return s
	}
	rnd.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
	return s[:n]
}
