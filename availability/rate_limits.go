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
	// minRelativeRise is the relative difference by which a limit must exceed the current one to
	// replace it, since targets announce slightly different values each time. A lower limit
	// replaces the current one at once.
	minRelativeRise = 0.1
	// raiseDelay is the least time between the last confirmation of the current limit and the
	// sending of a request whose answer may raise or remove the limit. Answers that were under way
	// when the target first announced the current limit are older than the limit and must not
	// override it.
	raiseDelay = 500 * time.Millisecond
	// limitRefreshAge is the age from which on a limit that the target still announces is sent to
	// the other instances again. limitTTL is the age at which a limit that has not been refreshed
	// expires.
	limitRefreshAge = 20 * time.Minute
	limitTTL        = time.Hour
	// tombstoneTTL is how long a removed limit is kept for instances that have not received the
	// removal.
	tombstoneTTL = time.Minute
	// minRemainingLimitTTL is the remaining time to live below which a limit is no longer sent to
	// other instances. It serves the same purpose as minRemainingTTL.
	minRemainingLimitTTL = 10 * time.Second
	// maxLimits bounds the number of limits. It is more than the number of targets in a fleet.
	maxLimits = 4096
)

// RateLimit is the rate limit that a target announced last.
type RateLimit struct {
	ID ID
	// Version orders the states of a target's limit: an instance that observes a change assigns the
	// next version. Two instances may assign the same version. The lower limit then holds, and a
	// limit holds over a removal, so that all instances converge.
	Version uint32
	// PerSecond is the number of requests a second that the target admits from all instances
	// together. Removed marks a tombstone: the target no longer announces a limit.
	PerSecond float64
	Removed   bool
	// Age is the time since the instance that assigned the version observed the change.
	Age time.Duration
}

// supersedes reports whether l replaces other.
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

// RateLimits is a replicated set of the rate limits that targets have announced, including
// tombstones of removed limits. Sets that have merged the same limits are equal, independently of
// order and repetition, as long as there are at most maxLimits: a full set ignores the limits of
// further targets. The zero value is an empty set. A RateLimits is not safe for concurrent use.
type RateLimits struct {
	entries map[ID]*rateLimitEntry
}

type rateLimitEntry struct {
	RateLimit
	// createdAt is the time at which the version was assigned. confirmedAt is the time at which
	// this instance last heard about the same limit from the target, and createdAt if it has not
	// heard of it since.
	createdAt, confirmedAt time.Time
}

// Len returns the number of limits, including tombstones.
func (l *RateLimits) Len() int { return len(l.entries) }

// Get returns the limit of a target, and false if the target has none.
func (l *RateLimits) Get(id ID) (RateLimit, bool) {
	entry := l.entries[id]
	if entry == nil || entry.Removed {
		return RateLimit{}, false
	}
	return entry.RateLimit, true
}

// Update returns the state of a target's limit for a message. It is empty if there is none to send.
func (l *RateLimits) Update(now time.Time, id ID) RateLimitList {
	entry := l.entries[id]
	if entry == nil || !entry.isShared(now) {
		return nil
	}
	return RateLimitList{entry.withAge(now)}
}

// Observe records a limit that a target announced in an answer to a request that this instance
// sent at sentAt. It reports whether the limit has changed or has to be refreshed, and is to be
// sent to the other instances.
func (l *RateLimits) Observe(now, sentAt time.Time, id ID, perSecond float64) bool {
	// Messages carry limits as float32.
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

// ObserveNone records that a target announced no limit in a complete answer to a request that this
// instance sent at sentAt. It reports whether this has removed a limit, so that the other instances
// are to be notified.
func (l *RateLimits) ObserveNone(now, sentAt time.Time, id ID) bool {
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

// Merge applies the limits received from another instance. It returns those that have changed.
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

// isShared reports whether the limit is still sent to other instances.
func (entry *rateLimitEntry) isShared(now time.Time) bool {
	return now.Sub(entry.createdAt) < entry.ttl()-minRemainingLimitTTL
}

// withAge returns the limit with its current age, for a message.
func (entry *rateLimitEntry) withAge(now time.Time) RateLimit {
	out := entry.RateLimit
	out.Age = max(now.Sub(entry.createdAt), 0)
	return out
}

// Expire removes expired limits and tombstones. It returns the targets whose limits it has removed.
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

// Checksum returns a checksum of the limits that are still sent, by which instances detect that
// their sets differ. It is 0 for an empty set.
func (l *RateLimits) Checksum(now time.Time) uint32 {
	var sum uint64
	for id, entry := range l.entries {
		if entry.isShared(now) {
			sum += mix.Combine(uint64(id), mix.Combine(uint64(entry.Version), math.Float64bits(entry.wireValue())))
		}
	}
	return uint32(sum>>32) ^ uint32(sum)
}

// Sample returns at most n of the limits that are still sent to other instances. The salt selects
// them. An instance that misses many limits receives all of them over time if the salt varies.
func (l *RateLimits) Sample(now time.Time, n int, salt uint64) RateLimitList {
	out := make(RateLimitList, 0, len(l.entries))
	for _, entry := range l.entries {
		if entry.isShared(now) {
			out = append(out, entry.withAge(now))
		}
	}
	slices.SortFunc(out, func(a, b RateLimit) int {
		return cmp.Or(cmp.Compare(mix.Combine(uint64(a.ID), salt), mix.Combine(uint64(b.ID), salt)), cmp.Compare(a.ID, b.ID))
	})
	return out[:min(n, len(out))]
}

// RateLimitList holds the limits of one message.
type RateLimitList []RateLimit

// Size of an encoded limit, the unit and the maximum of encoded ages, and the value that is encoded
// in place of the requests a second for a removed limit.
const (
	limitBytes    = 8 + 4 + 4 + 2
	limitAgeUnit  = time.Second
	maxLimitAge   = math.MaxUint16 * limitAgeUnit
	removedOnWire = -1
)

// ErrMalformedRateLimits is returned for encoded limits that are truncated or are not finite,
// non-negative numbers of requests. The value that marks a removed limit is valid.
var ErrMalformedRateLimits = errors.New("availability: rate limits truncated or not finite, non-negative numbers")

// wireValue returns the number that encodes the limit in a message.
func (l RateLimit) wireValue() float64 {
	if l.Removed {
		return removedOnWire
	}
	return l.PerSecond
}

// MarshalBinary implements encoding.BinaryMarshaler. It is the encoding of limits in messages.
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
