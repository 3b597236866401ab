package availability

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

// ID identifies one incarnation of a target by the hash of its name and start time.
type ID uint64

// IDOf returns the ID of the incarnation with the given identifier.
func IDOf(incarnation string) ID { return ID(mix.Hash(incarnation)) }

const (
	// departureTTL is how long a departure is kept and sent to instances that do not know it. It is
	// ample, as targets shut down within seconds, sometimes within many. It is less than maxAge,
	// the largest age that a message can carry.
	departureTTL = time.Hour
	// minRemainingTTL is the remaining time to live below which a departure is no longer sent to
	// other instances. Each hop makes a departure look slightly younger, since ages in messages are
	// rounded down and leave out the time in transit. Without this margin instances could pass a
	// departure back and forth forever.
	minRemainingTTL = 10 * time.Second
	// maxDepartures bounds the number of departures. It is more than the number of targets in a
	// fleet. That many departures take 40 kB in messages, at 10 bytes each.
	maxDepartures = 4096
)

// Departure states that a target announced its planned shutdown.
type Departure struct {
	ID ID
	// Age is the time since an instance first heard of the departure from the target.
	Age time.Duration
}

// Departures is a replicated set of the targets that announced that they are leaving. Sets that
// have merged the same departures are equal, independently of order and repetition, as long as there
// are at most maxDepartures. The zero value is an empty set. A Departures is not safe for concurrent
// use.
type Departures struct {
	firstHeard map[ID]time.Time
}

// Len returns the number of departures.
func (d *Departures) Len() int { return len(d.firstHeard) }

// FirstHeard returns the time at which the departure of a target was first heard of, and false if
// the target has not announced one.
func (d *Departures) FirstHeard(id ID) (time.Time, bool) {
	at, ok := d.firstHeard[id]
	return at, ok
}

// Add records that a target announced its departure at the given time. It reports whether the
// departure is new.
func (d *Departures) Add(at time.Time, id ID) bool {
	known, ok := d.firstHeard[id]
	if ok {
		if at.Before(known) {
			// Each hop makes a departure look younger, so the earliest time is the most accurate.
			d.firstHeard[id] = at
		}
		return false
	}
	if len(d.firstHeard) >= maxDepartures {
		d.evictOldest()
	}
	if d.firstHeard == nil {
		d.firstHeard = make(map[ID]time.Time)
	}
	d.firstHeard[id] = at
	return true
}

// evictOldest removes the departure that was heard of first. Among departures heard of at the same
// time it removes the one with the lowest ID, so that all instances remove the same one.
func (d *Departures) evictOldest() {
	var oldest ID
	var first time.Time
	for id, at := range d.firstHeard {
		if first.IsZero() || at.Before(first) || (at.Equal(first) && id < oldest) {
			oldest, first = id, at
		}
	}
	delete(d.firstHeard, oldest)
}

// Expire removes departures that are older than departureTTL.
func (d *Departures) Expire(now time.Time) {
	for id, at := range d.firstHeard {
		if now.Sub(at) >= departureTTL {
			delete(d.firstHeard, id)
		}
	}
}

// Merge adds the departures received from another instance. It returns those that are new.
func (d *Departures) Merge(now time.Time, updates DepartureList) DepartureList {
	var added DepartureList
	for _, departure := range updates {
		if departure.Age >= departureTTL {
			continue
		}
		if d.Add(now.Add(-departure.Age), departure.ID) {
			added = append(added, departure)
		}
	}
	return added
}

// isShared reports whether a departure that was first heard of at the given time is still sent to
// other instances.
func isShared(now, at time.Time) bool { return now.Sub(at) < departureTTL-minRemainingTTL }

// Checksum returns a checksum of the departures that are still sent, by which instances detect that
// their sets differ. It is 0 for an empty set.
func (d *Departures) Checksum(now time.Time) uint32 {
	var sum uint64
	for id, at := range d.firstHeard {
		if isShared(now, at) {
			sum += uint64(id)
		}
	}
	return uint32(sum>>32) ^ uint32(sum)
}

// Sample returns at most n of the departures that are still sent to other instances. The salt
// selects them. An instance that misses many departures receives all of them over time if the salt
// varies.
func (d *Departures) Sample(now time.Time, n int, salt uint64) DepartureList {
	out := make(DepartureList, 0, len(d.firstHeard))
	for id, at := range d.firstHeard {
		if isShared(now, at) {
			out = append(out, Departure{ID: id, Age: max(now.Sub(at), 0)})
		}
	}
	slices.SortFunc(out, func(a, b Departure) int {
		return cmp.Or(cmp.Compare(mix.Combine(uint64(a.ID), salt), mix.Combine(uint64(b.ID), salt)), cmp.Compare(a.ID, b.ID))
	})
	return out[:min(n, len(out))]
}

// DepartureList holds the departures of one message.
type DepartureList []Departure

// Size of an encoded departure, and the unit and the maximum of encoded ages.
const (
	departureBytes = 8 + 2
	ageUnit        = 100 * time.Millisecond
	maxAge         = math.MaxUint16 * ageUnit
)

// ErrTruncatedDepartures is returned for encoded departures that are truncated.
var ErrTruncatedDepartures = errors.New("availability: truncated departures")

// MarshalBinary implements encoding.BinaryMarshaler. It is the encoding of departures in messages.
func (l DepartureList) MarshalBinary() ([]byte, error) {
	raw := make([]byte, 0, len(l)*departureBytes)
	for _, departure := range l {
		raw = binary.BigEndian.AppendUint64(raw, uint64(departure.ID))
		raw = binary.BigEndian.AppendUint16(raw, uint16(min(max(departure.Age, 0), maxAge)/ageUnit))
	}
	return raw, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (l *DepartureList) UnmarshalBinary(raw []byte) error {
	if len(raw)%departureBytes != 0 {
		return ErrTruncatedDepartures
	}
	*l = nil
	for ; len(raw) > 0; raw = raw[departureBytes:] {
		*l = append(*l, Departure{
			ID:  ID(binary.BigEndian.Uint64(raw)),
			Age: time.Duration(binary.BigEndian.Uint16(raw[8:])) * ageUnit,
		})
	}
	return nil
}
