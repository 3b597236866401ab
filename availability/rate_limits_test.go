package availability_test

import (
	"encoding/binary"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/availability"
)

// settleTime is longer than raiseDelay.
const settleTime = time.Second

// TestRateLimitsMergeInAnyOrder lets several instances observe limits and exchange them, in any
// order and repeatedly. It checks that all sets have equal limits and checksums once each instance
// has sent its limits to each other one, in as many rounds as there are instances.
func TestRateLimitsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sets := make([]availability.RateLimits, rapid.IntRange(2, 4).Draw(t, "instances"))
		now := time.Unix(1000, 0)
		draw := rapid.IntRange(0, len(sets)-1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			set := &sets[draw.Draw(t, "instance")]
			id := availability.ID(rapid.IntRange(1, 3).Draw(t, "target"))
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				set.Observe(now, now, id, float64(rapid.IntRange(0, 9).Draw(t, "limit")))
			case 1:
				set.ObserveNone(now, now, id)
			default:
				set.Merge(now, sets[draw.Draw(t, "from")].Sample(now, 64, 1))
			}
		}
		for range sets {
			for i := range sets {
				for k := range sets {
					sets[i].Merge(now, sets[k].Sample(now, 64, 1))
				}
			}
		}
		for i := range sets {
			require.Equal(t, sets[0].Checksum(now), sets[i].Checksum(now))
			for id := range availability.ID(4) {
				a, limitedA := sets[0].Get(id)
				b, limitedB := sets[i].Get(id)
				require.Equal(t, limitedA, limitedB)
				require.Equal(t, a.PerSecond, b.PerSecond)
			}
		}
	})
}

// TestRateLimitAnnouncements checks which of a target's successive announcements change its limit.
func TestRateLimitAnnouncements(t *testing.T) {
	const id = 7
	now := time.Unix(1000, 0)
	var l availability.RateLimits
	require.True(t, l.Observe(now, now, id, 6))
	require.False(t, l.Observe(now, now, id, 6.3), "within minRelativeRise")
	require.False(t, l.Observe(now, now, id, 60), "the lower limit was announced within raiseDelay")
	require.True(t, l.Observe(now, now, id, 5), "lower limits hold at once")
	later := now.Add(settleTime)
	require.False(t, l.Observe(later, now, id, 60), "the request was sent within raiseDelay")
	require.True(t, l.Observe(later, later, id, 60))
	limit, limited := l.Get(id)
	require.True(t, limited)
	require.Equal(t, 60.0, limit.PerSecond)
	require.False(t, l.ObserveNone(later, later, id), "the limit was announced within raiseDelay")
	end := later.Add(settleTime)
	require.False(t, l.ObserveNone(end, later, id), "the request was sent within raiseDelay")
	require.True(t, l.ObserveNone(end, end, id))
	_, limited = l.Get(id)
	require.False(t, limited)
	require.False(t, l.Observe(end, later, id, 5), "the request was sent before the removal")
	require.True(t, l.Observe(end, end, id, 5), "announced again after the removal")
}

// TestRateLimitsExpire checks that tombstones expire after a short time, and limits that are not
// refreshed after a longer one.
func TestRateLimitsExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	var l availability.RateLimits
	l.Observe(now, now, 1, 5)
	l.Observe(now, now, 2, 5)
	ended := now.Add(settleTime)
	require.True(t, l.ObserveNone(ended, ended, 1))
	require.Empty(t, l.Expire(ended.Add(2*time.Minute)))
	require.Equal(t, 1, l.Len())
	require.True(t, l.Observe(now.Add(30*time.Minute), now.Add(30*time.Minute), 2, 5), "refreshed before it expires")
	require.Empty(t, l.Expire(now.Add(61*time.Minute)))
	require.Equal(t, []availability.ID{2}, l.Expire(now.Add(2*time.Hour)))
	require.Zero(t, l.Checksum(now))
}

// TestRateLimitsRoundTrip checks that decoding returns the limits that were encoded.
func TestRateLimitsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list availability.RateLimitList
		for range rapid.IntRange(0, 9).Draw(t, "n") {
			limit := availability.RateLimit{
				ID:      availability.ID(rapid.Uint64().Draw(t, "id")),
				Version: rapid.Uint32().Draw(t, "version"),
				Removed: rapid.Bool().Draw(t, "ended"),
				Age:     time.Duration(rapid.IntRange(0, 3600).Draw(t, "s")) * time.Second,
			}
			if !limit.Removed {
				limit.PerSecond = float64(rapid.Float32Range(0, 1e9).Draw(t, "limit"))
			}
			list = append(list, limit)
		}
		raw, err := list.MarshalBinary()
		require.NoError(t, err)
		var got availability.RateLimitList
		require.NoError(t, got.UnmarshalBinary(raw))
		require.Equal(t, list, got)
	})
}

// TestMalformedRateLimits checks that truncated limits and limits that are not finite, non-negative
// numbers are rejected.
func TestMalformedRateLimits(t *testing.T) {
	raw, err := availability.RateLimitList{{ID: 1, Version: 1, PerSecond: 2}}.MarshalBinary()
	require.NoError(t, err)
	var got availability.RateLimitList
	require.ErrorIs(t, got.UnmarshalBinary(raw[:len(raw)-1]), availability.ErrMalformedRateLimits)
	for _, wrong := range []float64{math.NaN(), math.Inf(1), -2} {
		binary.BigEndian.PutUint32(raw[12:], math.Float32bits(float32(wrong)))
		require.ErrorIs(t, got.UnmarshalBinary(raw), availability.ErrMalformedRateLimits)
	}
}
