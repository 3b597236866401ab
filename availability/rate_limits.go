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
	// minRelativeRise is how much higher, as a part, a limit has to be than the one in force to
	// replace it: targets name a little more or less each time. A lower one always does.
	minRelativeRise = 0.1
	// raiseDelay is how long nothing as low as the limit in force may have been heard for a
	// higher one, or its end, to count. Answers that were on their way when the target
	// first named it are older than it.
	raiseDelay = 500 * time.Millisecond
	// limitRefreshAge is the age from which on a limit that is still named is told again, and
	// limitLife that at which one that nobody hears any more is forgotten.
	limitRefreshAge = 20 * time.Minute
	limitTTL        = time.Hour
	// tombstoneTTL is how long it is remembered that a limit has ended, for those that missed it.
	tombstoneTTL = time.Minute
	// minRemainingLimitTTL is how much longer a limit has to be remembered for it to be told: its age
	// grows a little shorter on each step of its way, and it could be passed around for good.
	minRemainingLimitTTL = 10 * time.Second
	// maxLimits bounds the limits remembered, more than a fleet has targets.
	maxLimits = 4096
)

// RateLimit is what one target has named last of how much it takes.
type RateLimit struct {
	ID ID
	// Version orders what is said of a target: whoever finds out something new takes the next
	// one. Of two of the same version the lower limit holds, so that all come to the same.
	Version uint32
	// PerSecond is the number of requests a second from all instances together. Ended says
	// that the target no longer names a limit.
	PerSecond float64
	Removed   bool
	// Age is the time since it was found out.
	Age time.Duration
}

// supersedes tells whether l holds where both are known.
func (l RateLimit) supersedes(other RateLimit) bool {
	switch {
	case l.Version != other.Version:
		return l.Version > other.Version
	case l.Removed != other.Removed:
		return other.Removed
	default:
		return !l.Removed && l.PerSecond < other.PerSecond
	}
}

// RateLimits are the limits that targets have named, and that ended a moment ago. Two sets come to be
// the same whatever the order in which they hear of each other, however often. The zero value is
// empty. It is not safe for concurrent use.
type RateLimits struct {
	entries map[ID]*rateLimitEntry
}

type rateLimitEntry struct {
	RateLimit
	// createdAt is when it was found out, and confirmedAt when this instance last heard the target
	// name it, or a lower one.
	createdAt, confirmedAt time.Time
}

// Len returns the number of limits, those too that have ended a moment ago.
func (l *RateLimits) Len() int { return len(l.entries) }

// Get returns the limit of a target, false if there is none.
func (l *RateLimits) Get(id ID) (RateLimit, bool) {
	entry := l.entries[id]
	if entry == nil || entry.Removed {
		return RateLimit{}, false
	}
	return entry.RateLimit, true
}

// Update returns what is known of a target's limit for others, nothing if there is none.
func (l *RateLimits) Update(now time.Time, id ID) RateLimitList {
	entry := l.entries[id]
	if entry == nil || !entry.isShared(now) {
		return nil
	}
	return RateLimitList{entry.withAge(now)}
}

// Announce takes in that a target named a limit in its answer to a request of this instance that was
// sent at a time. It reports whether others are to be told.
func (l *RateLimits) Announce(now, sentAt time.Time, id ID, perSecond float64) bool {
	// As messages carry it.
	perSecond = float64(float32(perSecond))
	entry := l.entries[id]
	switch {
	case entry == nil:
		return l.put(now, RateLimit{ID: id, Version: 1, PerSecond: perSecond})
	case entry.Removed && sentAt.Before(entry.createdAt):
		return false
	case entry.Removed || perSecond < entry.PerSecond:
		return l.put(now, RateLimit{ID: id, Version: entry.Version + 1, PerSecond: perSecond})
	case perSecond <= (1+minRelativeRise)*entry.PerSecond && now.Sub(entry.createdAt) < limitRefreshAge:
		entry.confirmedAt = now
		return false
	case perSecond > (1+minRelativeRise)*entry.PerSecond && sentAt.Before(entry.confirmedAt.Add(raiseDelay)):
		return false
	default:
		return l.put(now, RateLimit{ID: id, Version: entry.Version + 1, PerSecond: perSecond})
	}
}

// AnnounceNone takes in that a whole answer of a target to a request of this instance that was sent at
// a time named no limit. It reports whether one has ended by that, so that others are to be told.
func (l *RateLimits) AnnounceNone(now, sentAt time.Time, id ID) bool {
	entry := l.entries[id]
	if entry == nil || entry.Removed || sentAt.Before(entry.confirmedAt.Add(raiseDelay)) {
		return false
	}
	return l.put(now, RateLimit{ID: id, Version: entry.Version + 1, Removed: true})
}

func (l *RateLimits) put(at time.Time, limit RateLimit) bool {
	if l.entries == nil {
		l.entries = make(map[ID]*rateLimitEntry)
	}
	if l.entries[limit.ID] == nil && len(l.entries) >= maxLimits {
		return false
	}
	l.entries[limit.ID] = &rateLimitEntry{RateLimit: limit, createdAt: at, confirmedAt: at}
	return true
}

// Merge takes in what another instance has told, and returns what is new.
func (l *RateLimits) Merge(now time.Time, updates RateLimitList) RateLimitList {
	var changed RateLimitList
	for _, limit := range updates {
		entry := l.entries[limit.ID]
		if entry != nil && !limit.supersedes(entry.RateLimit) {
			continue
		}
		if l.put(now.Add(-limit.Age), limit) {
			changed = append(changed, limit)
		}
	}
	return changed
}

func (entry *rateLimitEntry) ttl() time.Duration {
	if entry.Removed {
		return tombstoneTTL
	}
	return limitTTL
}

// isShared tells whether a limit is isShared to others.
func (entry *rateLimitEntry) isShared(now time.Time) bool {
	return now.Sub(entry.createdAt) < entry.ttl()-minRemainingLimitTTL
}

// withAge returns the limit as others are told of it.
func (entry *rateLimitEntry) withAge(now time.Time) RateLimit {
	out := entry.RateLimit
	out.Age = max(now.Sub(entry.createdAt), 0)
	return out
}

// Expire forgets what is no longer remembered, and returns the targets whose limits it forgets.
func (l *RateLimits) Expire(now time.Time) []ID {
	var expired []ID
	for id, entry := range l.entries {
		if now.Sub(entry.createdAt) < entry.ttl() {
			continue
		}
		delete(l.entries, id)
		if !entry.Removed {
			expired = append(expired, id)
		}
	}
	return expired
}

// Checksum returns a number that is the same for sets of the same limits, 0 for none.
func (l *RateLimits) Checksum(now time.Time) uint32 {
	var sum uint64
	for id, entry := range l.entries {
		if entry.isShared(now) {
			sum += mix.Join(uint64(id), mix.Join(uint64(entry.Version), math.Float64bits(entry.wireValue())))
		}
	}
	return uint32(sum>>32) ^ uint32(sum)
}

// Sample returns at most n of the limits that are told to others. The salt draws which, so that one
// that misses many is told all of them in time.
func (l *RateLimits) Sample(now time.Time, n int, salt uint64) RateLimitList {
	out := make(RateLimitList, 0, len(l.entries))
	for _, entry := range l.entries {
		if entry.isShared(now) {
			out = append(out, entry.withAge(now))
		}
	}
	slices.SortFunc(out, func(a, b RateLimit) int {
		return cmp.Or(cmp.Compare(mix.Join(uint64(a.ID), salt), mix.Join(uint64(b.ID), salt)), cmp.Compare(a.ID, b.ID))
	})
	return out[:min(n, len(out))]
}

// RateLimitList are limits as a message carries them.
type RateLimitList []RateLimit

// Sizes of a limit in a message, the unit of ages there, and what stands for the end of a limit in
// place of a number of requests a second.
const (
	limitBytes    = 8 + 4 + 4 + 2
	limitAgeUnit  = time.Second
	maxLimitAge   = math.MaxUint16 * limitAgeUnit
	removedOnWire = -1
)

// ErrMalformedRateLimits is returned for limits that are cut short or are none.
var ErrMalformedRateLimits = errors.New("availability: limits cut short or no numbers")

// wireValue returns the number that stands for the limit in a message.
func (l RateLimit) wireValue() float64 {
	if l.Removed {
		return removedOnWire
	}
	return l.PerSecond
}

// MarshalBinary implements encoding.BinaryMarshaler.
func (l RateLimitList) MarshalBinary() ([]byte, error) {
	raw := make([]byte, 0, len(l)*limitBytes)
	for _, limit := range l {
		raw = binary.BigEndian.AppendUint64(raw, uint64(limit.ID))
		raw = binary.BigEndian.AppendUint32(raw, limit.Version)
		raw = binary.BigEndian.AppendUint32(raw, math.Float32bits(float32(limit.wireValue())))
		raw = binary.BigEndian.AppendUint16(raw, uint16(min(max(limit.Age, 0), maxLimitAge)/limitAgeUnit))
	}
	return raw, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (l *RateLimitList) UnmarshalBinary(raw []byte) error {
	if len(raw)%limitBytes != 0 {
		return ErrMalformedRateLimits
	}
	*l = nil
	for ; len(raw) > 0; raw = raw[limitBytes:] {
		perSecond := float64(math.Float32frombits(binary.BigEndian.Uint32(raw[12:])))
		if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || (perSecond < 0 && perSecond != removedOnWire) {
			return ErrMalformedRateLimits
		}
		*l = append(*l, RateLimit{
			ID:        ID(binary.BigEndian.Uint64(raw)),
			Version:   binary.BigEndian.Uint32(raw[8:]),
			PerSecond: max(perSecond, 0),
			Removed:   perSecond == removedOnWire,
			Age:       time.Duration(binary.BigEndian.Uint16(raw[16:])) * limitAgeUnit,
		})
	}
	return nil
}
