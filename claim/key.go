package claim

import (
	"errors"
	"fmt"
	"hash/fnv"
	"strings"
	"time"
)

// TimeLayout is the layout of the UTC time at the start of a key.
const TimeLayout = "20060102T150405Z"

// Bounds on keys and shards.
const (
	MaxKeyBytes = 128
	// MaxAge is the age up to which a key is accepted.
	MaxAge = 5 * time.Hour
	// MaxClockSkew is the largest time by which a key may lie in the future. It allows for
	// errors of the caller's clock.
	MaxClockSkew = 5 * time.Minute
	// Retention is the time for which a shard is stored after the end of its time slice. It
	// exceeds MaxAge by a margin for clock errors.
	Retention = MaxAge + time.Hour
)

// TimeSlice is the length of a time slice. All keys created within a time slice share its
// shards.
const TimeSlice = 30 * time.Second

// ShardsPerSlice is the number of shards of a time slice. A small number makes the batches
// large. Each shard is written by one instance, as long as all instances agree on it; see
// WriterFor.
const ShardsPerSlice = 4

// ObjectPrefix is the prefix of the shards' object keys in the store.
const ObjectPrefix = "claims/"

// ErrBadKey is returned for a key that is malformed, older than MaxAge, or further in the
// future than MaxClockSkew.
var ErrBadKey = errors.New("claim: bad operation key")

// NewKey returns the key of an operation created at the time now. The string random should hold
// at least 64 random bits.
func NewKey(now time.Time, random string) string {
	return now.UTC().Format(TimeLayout) + "-" + random
}

// ParseKey checks a key and returns the time at which it was created. The error wraps
// ErrBadKey.
func ParseKey(key string, now time.Time) (time.Time, error) {
	stamp, random, ok := strings.Cut(key, "-")
	if !ok || random == "" || len(key) > MaxKeyBytes {
		return time.Time{}, fmt.Errorf("%w: want TIME-RANDOM of at most %d bytes", ErrBadKey, MaxKeyBytes)
	}
	for _, r := range key {
		if r <= ' ' || r > '~' {
			return time.Time{}, fmt.Errorf("%w: want printable ASCII", ErrBadKey)
		}
	}
	createdAt, err := time.Parse(TimeLayout, stamp)
	if err != nil {
		return time.Time{}, fmt.Errorf("%w: %w", ErrBadKey, err)
	}
	if now.Sub(createdAt) > MaxAge {
		return time.Time{}, fmt.Errorf("%w: made %s ago, at most %s", ErrBadKey, now.Sub(createdAt).Round(time.Second), MaxAge)
	}
	if createdAt.Sub(now) > MaxClockSkew {
		return time.Time{}, fmt.Errorf("%w: made %s ahead", ErrBadKey, createdAt.Sub(now).Round(time.Second))
	}
	return createdAt, nil
}

// ShardID identifies the shard that holds the claim of an operation.
type ShardID struct {
	TimeSlice string `msgpack:"s"`
	Number    int    `msgpack:"n"`
}

// ShardOf returns the shard of an operation key that was created at the time made. The result
// depends only on the arguments, so every instance determines the same shard.
func ShardOf(key string, createdAt time.Time) ShardID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return ShardID{TimeSlice: sliceOf(createdAt), Number: int(h.Sum32() % ShardsPerSlice)}
}

func sliceOf(t time.Time) string { return t.UTC().Truncate(TimeSlice).Format(TimeLayout) }

// ObjectKey returns the key of the shard's object in the store.
func (id ShardID) ObjectKey() string {
	return fmt.Sprintf("%s%s/%02d", ObjectPrefix, id.TimeSlice, id.Number)
}

// ExpiredSlicePrefixes returns the object key prefixes of the time slices whose retention ended
// within the given time before now.
func ExpiredSlicePrefixes(now time.Time, within time.Duration) []string {
	var out []string
	last := now.Add(-Retention - TimeSlice)
	for t := last.Add(-within); !t.After(last); t = t.Add(TimeSlice) {
		out = append(out, ObjectPrefix+sliceOf(t)+"/")
	}
	return out
}

// WriterFor returns the instance that writes the shards with the given number, chosen among the
// given live instances by rendezvous hashing (Thaler and Ravishankar, 1998). It returns "" if
// instances is empty.
//
// Agreement on the writer avoids write conflicts. Correctness does not depend on it, because
// every write is conditional.
func WriterFor(number int, instances []string) string {
	best, bestHash := "", uint32(0)
	for _, id := range instances {
		h := fnv.New32a()
		_, _ = fmt.Fprintf(h, "%s/%d", id, number)
		if sum := h.Sum32(); best == "" || sum > bestHash || sum == bestHash && id < best {
			best, bestHash = id, sum
		}
	}
	return best
}
