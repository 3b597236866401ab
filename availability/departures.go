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

// ID stands for one incarnation of a target: the hash of its name and start.
type ID uint64

// IDOf returns the ID of an incarnation.
func IDOf(incarnation string) ID { return ID(mix.Hash(incarnation)) }

const (
	// departureTTL is how long it is remembered that a target said that it leaves, and told
	// to instances that do not know. A target leaves within seconds, at times many. It is
	// less than longestAge, the highest age that a message can tell.
	departureTTL = time.Hour
	// minRemainingTTL is how much longer a departure has to be remembered for it to be told: its
	// age grows a little shorter on each step of its way, and without this margin it could
	// be passed around for good.
	minRemainingTTL = 10 * time.Second
	// maxDepartures bounds the departures remembered, more than a fleet has targets: 40 kB
	// at 10 bytes each as a message carries them.
	maxDepartures = 4096
)

// Departure is that a target said that it leaves.
type Departure struct {
	ID ID
	// Age is the time since it was first heard.
	Age time.Duration
}

// Departures are the targets that have said themselves that they leave. Two sets come to be
// the same whatever the order in which they hear of each other, however often. The zero value
// is empty. It is not safe for concurrent use.
type Departures struct {
	firstHeard map[ID]time.Time
}

// Len returns the number of targets.
func (d *Departures) Len() int { return len(d.firstHeard) }

// FirstHeard tells whether a target said that it leaves, and when that was first heard.
func (d *Departures) FirstHeard(id ID) (time.Time, bool) {
	at, ok := d.firstHeard[id]
	return at, ok
}

// Add takes in that a target said at a time that it leaves. It reports whether that is new.
func (d *Departures) Add(at time.Time, id ID) bool {
	known, ok := d.firstHeard[id]
	if ok {
		if at.Before(known) {
			// Each step of the way to here has made it look younger.
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

// evictOldest drops the departure that was heard first, and of those heard together the one
// with the lowest ID, so that all instances drop the same one.
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

// Expire forgets what is no longer remembered.
func (d *Departures) Expire(now time.Time) {
	for id, at := range d.firstHeard {
		if now.Sub(at) >= departureTTL {
			delete(d.firstHeard, id)
		}
	}
}

// Merge takes in what another instance has told, and returns what is new.
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

// isShared tells whether a departure that was heard at a time is still isShared to others.
func isShared(now, at time.Time) bool { return now.Sub(at) < departureTTL-minRemainingTTL }

// Checksum returns a number that is the same for sets of the same targets, 0 for none.
func (d *Departures) Checksum(now time.Time) uint32 {
	var sum uint64
	for id, at := range d.firstHeard {
		if isShared(now, at) {
			sum += uint64(id)
		}
	}
	return uint32(sum>>32) ^ uint32(sum)
}

// Sample returns at most n of the departures that are told to others. The salt draws which, so
// that one that misses many is told all of them in time.
func (d *Departures) Sample(now time.Time, n int, salt uint64) DepartureList {
	out := make(DepartureList, 0, len(d.firstHeard))
	for id, at := range d.firstHeard {
		if isShared(now, at) {
			out = append(out, Departure{ID: id, Age: max(now.Sub(at), 0)})
		}
	}
	slices.SortFunc(out, func(a, b Departure) int {
		return cmp.Or(cmp.Compare(mix.Join(uint64(a.ID), salt), mix.Join(uint64(b.ID), salt)), cmp.Compare(a.ID, b.ID))
	})
	return out[:min(n, len(out))]
}

// DepartureList are departures as a message carries them.
type DepartureList []Departure

// Sizes of a departure in a message, and the unit of ages there.
const (
	departureBytes = 8 + 2
	ageUnit        = 100 * time.Millisecond
	maxAge         = math.MaxUint16 * ageUnit
)

// ErrTruncatedDepartures is returned for departures that are cut short.
var ErrTruncatedDepartures = errors.New("availability: departures cut short")

// MarshalBinary implements encoding.BinaryMarshaler.
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
