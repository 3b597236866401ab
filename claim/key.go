package claim

import (
	"errors"
	"fmt"
	"hash/fnv"
	"strings"
	"time"
)

// TimeLayout is the form of the time that a key starts with, in UTC.
const TimeLayout = "20060102T150405Z"

// Bounds on a key.
const (
	MaxKeyBytes = 128
	// MaxAge is the oldest key that is taken.
	MaxAge = 5 * time.Hour
	// MaxClockSkew bounds the error of a caller's clock.
	MaxClockSkew = 5 * time.Minute
	// Retention is how long a shard is kept after its slice has ended. It is over
	// MaxAge by a margin for the errors of clocks.
	Retention = MaxAge + time.Hour
)

// TimeSlice is the length of time whose keys share a set of shards.
const TimeSlice = 30 * time.Second

// ShardsPerSlice is the number of shards of a slice. Few shards make large groups, and
// each is written by one instance as long as all agree which one: see Writer.
const ShardsPerSlice = 4

// ObjectPrefix is the prefix of the shards' object keys.
const ObjectPrefix = "claims/"

// ErrBadKey means that a key has not the form that this package takes, or is
// too old or too new.
var ErrBadKey = errors.New("claim: bad operation key")

// NewKey returns the key of an operation made at a time; random should have
// at least 64 random bits.
func NewKey(now time.Time, random string) string {
	return now.UTC().Format(TimeLayout) + "-" + random
}

// ParseKey checks a key and returns the time it was made.
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

// ShardID names the record that an operation's claim belongs to.
type ShardID struct {
	TimeSlice string `msgpack:"s"`
	Number    int    `msgpack:"n"`
}

// ShardOf returns the shard of an operation key made at a time. It depends on
// nothing else, so every instance finds the same shard.
func ShardOf(key string, createdAt time.Time) ShardID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return ShardID{TimeSlice: sliceOf(createdAt), Number: int(h.Sum32() % ShardsPerSlice)}
}

func sliceOf(t time.Time) string { return t.UTC().Truncate(TimeSlice).Format(TimeLayout) }

// ObjectKey returns the platform's key of the shard.
func (id ShardID) ObjectKey() string {
	return fmt.Sprintf("%s%s/%02d", ObjectPrefix, id.TimeSlice, id.Number)
}

// ExpiredSlicePrefixes returns the prefixes of the shards' object keys of the slices
// whose keys became too old within a time before now.
func ExpiredSlicePrefixes(now time.Time, within time.Duration) []string {
	var out []string
	last := now.Add(-Retention - TimeSlice)
	for t := last.Add(-within); !t.After(last); t = t.Add(TimeSlice) {
		out = append(out, ObjectPrefix+sliceOf(t)+"/")
	}
	return out
}

// WriterFor returns the instance that should write the shards of a number, out of
// those that are alive, by rendezvous hashing (Thaler and Ravishankar, 1998).
// That all agree saves conflicts; correctness does not rest on it, since every
// write is conditional. It returns "" when there is none.
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
