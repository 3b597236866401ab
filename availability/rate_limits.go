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

const (
	// limitRise is how much higher, as a part, a limit has to be than the one in force to
	// replace it: targets name a little more or less each time. A lower one always does.
	limitRise = 0.1
	// limitSettle is how long nothing as low as the limit in force may have been heard for a
	// higher one, or its end, to count. Answers that were on their way when the target
	// first named it are older than it.
	limitSettle = 500 * time.Millisecond
	// limitRefresh is the age from which on a limit that is still named is told again, and
	// limitLife that at which one that nobody hears any more is forgotten.
	limitRefresh = 20 * time.Minute
	limitLife    = time.Hour
	// endLife is how long it is remembered that a limit has ended, for those that missed it.
	endLife = time.Minute
	// leastLimitLeft is how much longer a limit has to be remembered for it to be told: its age
	// grows a little shorter on each step of its way, and it could be passed around for good.
	leastLimitLeft = 10 * time.Second
	// maxLimits bounds the limits remembered, more than a fleet has targets.
	maxLimits = 4096
)

// Limit is what one target has named last of how much it takes.
type Limit struct {
	ID ID
	// Version orders what is said of a target: whoever finds out something new takes the next
	// one. Of two of the same version the lower limit holds, so that all come to the same.
	Version uint32
	// PerSecond is the number of requests a second from all instances together. Ended says
	// that the target no longer names a limit.
	PerSecond float64
	Ended     bool
	// Age is the time since it was found out.
	Age time.Duration
}

// overrides tells whether l holds where both are known.
func (l Limit) overrides(other Limit) bool {
	switch {
	case l.Version != other.Version:
		return l.Version > other.Version
	case l.Ended != other.Ended:
		return other.Ended
	default:
		return !l.Ended && l.PerSecond < other.PerSecond
	}
}

// Limits are the limits that targets have named, and that ended a moment ago. Two sets come to be
// the same whatever the order in which they hear of each other, however often. The zero value is
// empty. It is not safe for concurrent use.
type Limits struct {
	known map[ID]*knownLimit
}

type knownLimit struct {
	Limit
	// at is when it was found out, and heardAt when this instance last heard the target
	// name it, or a lower one.
	at, heardAt time.Time
}

// Len returns the number of limits, those too that have ended a moment ago.
func (l *Limits) Len() int { return len(l.known) }

// Of returns the limit of a target, false if there is none.
func (l *Limits) Of(id ID) (Limit, bool) {
	k := l.known[id]
	if k == nil || k.Ended {
		return Limit{}, false
	}
	return k.Limit, true
}

// About returns what is known of a target's limit for others, nothing if there is none.
func (l *Limits) About(now time.Time, id ID) LimitList {
	k := l.known[id]
	if k == nil || !k.told(now) {
		return nil
	}
	return LimitList{k.aged(now)}
}

// Name takes in that a target named a limit in its answer to a request of this instance that was
// sent at a time. It reports whether others are to be told.
func (l *Limits) Name(now, sentAt time.Time, id ID, perSecond float64) bool {
	// As messages carry it.
	perSecond = float64(float32(perSecond))
	k := l.known[id]
	switch {
	case k == nil:
		return l.put(now, Limit{ID: id, Version: 1, PerSecond: perSecond})
	case k.Ended && sentAt.Before(k.at):
		return false
	case k.Ended || perSecond < k.PerSecond:
		return l.put(now, Limit{ID: id, Version: k.Version + 1, PerSecond: perSecond})
	case perSecond <= (1+limitRise)*k.PerSecond && now.Sub(k.at) < limitRefresh:
		k.heardAt = now
		return false
	case perSecond > (1+limitRise)*k.PerSecond && sentAt.Before(k.heardAt.Add(limitSettle)):
		return false
	default:
		return l.put(now, Limit{ID: id, Version: k.Version + 1, PerSecond: perSecond})
	}
}

// NameNone takes in that a whole answer of a target to a request of this instance that was sent at
// a time named no limit. It reports whether one has ended by that, so that others are to be told.
func (l *Limits) NameNone(now, sentAt time.Time, id ID) bool {
	k := l.known[id]
	if k == nil || k.Ended || sentAt.Before(k.heardAt.Add(limitSettle)) {
		return false
	}
	return l.put(now, Limit{ID: id, Version: k.Version + 1, Ended: true})
}

func (l *Limits) put(at time.Time, limit Limit) bool {
	if l.known == nil {
		l.known = make(map[ID]*knownLimit)
	}
	if l.known[limit.ID] == nil && len(l.known) >= maxLimits {
		return false
	}
	l.known[limit.ID] = &knownLimit{Limit: limit, at: at, heardAt: at}
	return true
}

// Merge takes in what another instance has told, and returns what is new.
func (l *Limits) Merge(now time.Time, told LimitList) LimitList {
	var fresh LimitList
	for _, one := range told {
		k := l.known[one.ID]
		if k != nil && !one.overrides(k.Limit) {
			continue
		}
		if l.put(now.Add(-one.Age), one) {
			fresh = append(fresh, one)
		}
	}
	return fresh
}

func (k *knownLimit) life() time.Duration {
	if k.Ended {
		return endLife
	}
	return limitLife
}

// told tells whether a limit is told to others.
func (k *knownLimit) told(now time.Time) bool { return now.Sub(k.at) < k.life()-leastLimitLeft }

// aged returns the limit as others are told of it.
func (k *knownLimit) aged(now time.Time) Limit {
	out := k.Limit
	out.Age = max(now.Sub(k.at), 0)
	return out
}

// Expire forgets what is no longer remembered, and returns the targets whose limits it forgets.
func (l *Limits) Expire(now time.Time) []ID {
	var gone []ID
	for id, k := range l.known {
		if now.Sub(k.at) < k.life() {
			continue
		}
		delete(l.known, id)
		if !k.Ended {
			gone = append(gone, id)
		}
	}
	return gone
}

// Sum returns a number that is the same for sets of the same limits, 0 for none.
func (l *Limits) Sum(now time.Time) uint32 {
	var sum uint64
	for id, k := range l.known {
		if k.told(now) {
			sum += mix.Join(uint64(id), mix.Join(uint64(k.Version), math.Float64bits(k.wire())))
		}
	}
	return uint32(sum>>32) ^ uint32(sum)
}

// Some returns at most n of the limits that are told to others. The salt draws which, so that one
// that misses many is told all of them in time.
func (l *Limits) Some(now time.Time, n int, salt uint64) LimitList {
	out := make(LimitList, 0, len(l.known))
	for _, k := range l.known {
		if k.told(now) {
			out = append(out, k.aged(now))
		}
	}
	slices.SortFunc(out, func(a, b Limit) int {
		return cmp.Or(cmp.Compare(mix.Join(uint64(a.ID), salt), mix.Join(uint64(b.ID), salt)), cmp.Compare(a.ID, b.ID))
	})
	return out[:min(n, len(out))]
}

// LimitList are limits as a message carries them.
type LimitList []Limit

// Sizes of a limit in a message, the unit of ages there, and what stands for the end of a limit in
// place of a number of requests a second.
const (
	limitBytes   = 8 + 4 + 4 + 2
	limitAgeUnit = time.Second
	longestLimit = math.MaxUint16 * limitAgeUnit
	endedOnWire  = -1
)

// ErrLimits is returned for limits that are cut short or are none.
var ErrLimits = errors.New("availability: limits cut short or no numbers")

// wire returns the number that stands for the limit in a message.
func (l Limit) wire() float64 {
	if l.Ended {
		return endedOnWire
	}
	return l.PerSecond
}

// MarshalBinary implements encoding.BinaryMarshaler.
func (l LimitList) MarshalBinary() ([]byte, error) {
	raw := make([]byte, 0, len(l)*limitBytes)
	for _, one := range l {
		raw = binary.BigEndian.AppendUint64(raw, uint64(one.ID))
		raw = binary.BigEndian.AppendUint32(raw, one.Version)
		raw = binary.BigEndian.AppendUint32(raw, math.Float32bits(float32(one.wire())))
		raw = binary.BigEndian.AppendUint16(raw, uint16(min(max(one.Age, 0), longestLimit)/limitAgeUnit))
	}
	return raw, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (l *LimitList) UnmarshalBinary(raw []byte) error {
	if len(raw)%limitBytes != 0 {
		return ErrLimits
	}
	*l = nil
	for ; len(raw) > 0; raw = raw[limitBytes:] {
		perSecond := float64(math.Float32frombits(binary.BigEndian.Uint32(raw[12:])))
		if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || (perSecond < 0 && perSecond != endedOnWire) {
			return ErrLimits
		}
		*l = append(*l, Limit{
			ID:        ID(binary.BigEndian.Uint64(raw)),
			Version:   binary.BigEndian.Uint32(raw[8:]),
			PerSecond: max(perSecond, 0),
			Ended:     perSecond == endedOnWire,
			Age:       time.Duration(binary.BigEndian.Uint16(raw[16:])) * limitAgeUnit,
		})
	}
	return nil
}
