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

// settled is later than a limit was heard by so much that a higher one, or its end, counts.
const settled = time.Second

// TestLimitsMergeInAnyOrder draws what several instances hear of targets and what they tell each
// other, in any order and more than once, and checks that all come to know the same once each has
// told each.
func TestLimitsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sets := make([]availability.Limits, rapid.IntRange(2, 4).Draw(t, "instances"))
		now := time.Unix(1000, 0)
		one := rapid.IntRange(0, len(sets)-1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			set := &sets[one.Draw(t, "instance")]
			id := availability.ID(rapid.IntRange(1, 3).Draw(t, "target"))
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				set.Name(now, now, id, float64(rapid.IntRange(0, 9).Draw(t, "limit")))
			case 1:
				set.NameNone(now, now, id)
			default:
				set.Merge(now, sets[one.Draw(t, "from")].Some(now, 64, 1))
			}
		}
		for range sets {
			for i := range sets {
				for k := range sets {
					sets[i].Merge(now, sets[k].Some(now, 64, 1))
				}
			}
		}
		for i := range sets {
			require.Equal(t, sets[0].Sum(now), sets[i].Sum(now))
			for id := range availability.ID(4) {
				a, limitedA := sets[0].Of(id)
				b, limitedB := sets[i].Of(id)
				require.Equal(t, limitedA, limitedB)
				require.Equal(t, a.PerSecond, b.PerSecond)
			}
		}
	})
}

// TestLimitNamed checks what counts of the limits that a target names one after the other.
func TestLimitNamed(t *testing.T) {
	const id = 7
	now := time.Unix(1000, 0)
	var l availability.Limits
	require.True(t, l.Name(now, now, id, 6))
	require.False(t, l.Name(now, now, id, 6.3), "about the same")
	require.False(t, l.Name(now, now, id, 60), "the lower one was heard a moment ago")
	require.True(t, l.Name(now, now, id, 5), "a lower one at once")
	later := now.Add(settled)
	require.False(t, l.Name(later, now, id, 60), "an answer to a request of before")
	require.True(t, l.Name(later, later, id, 60))
	limit, limited := l.Of(id)
	require.True(t, limited)
	require.Equal(t, 60.0, limit.PerSecond)
	require.False(t, l.NameNone(later, later, id), "it was named a moment ago")
	end := later.Add(settled)
	require.False(t, l.NameNone(end, later, id), "an answer to a request of before")
	require.True(t, l.NameNone(end, end, id))
	_, limited = l.Of(id)
	require.False(t, limited)
	require.False(t, l.Name(end, later, id, 5), "an answer to a request of before its end")
	require.True(t, l.Name(end, end, id, 5), "named again")
}

// TestLimitsForgotten checks that ends are remembered for a while, and limits that nobody hears
// for longer.
func TestLimitsForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	var l availability.Limits
	l.Name(now, now, 1, 5)
	l.Name(now, now, 2, 5)
	ended := now.Add(settled)
	require.True(t, l.NameNone(ended, ended, 1))
	require.Empty(t, l.Expire(ended.Add(2*time.Minute)))
	require.Equal(t, 1, l.Len())
	require.True(t, l.Name(now.Add(30*time.Minute), now.Add(30*time.Minute), 2, 5), "told again in time")
	require.Empty(t, l.Expire(now.Add(61*time.Minute)))
	require.Equal(t, []availability.ID{2}, l.Expire(now.Add(2*time.Hour)))
	require.Zero(t, l.Sum(now))
}

// TestLimitsOnTheWire checks that limits come out of a message as they went in.
func TestLimitsOnTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list availability.LimitList
		for range rapid.IntRange(0, 9).Draw(t, "n") {
			one := availability.Limit{
				ID:      availability.ID(rapid.Uint64().Draw(t, "id")),
				Version: rapid.Uint32().Draw(t, "version"),
				Ended:   rapid.Bool().Draw(t, "ended"),
				Age:     time.Duration(rapid.IntRange(0, 3600).Draw(t, "s")) * time.Second,
			}
			if !one.Ended {
				one.PerSecond = float64(rapid.Float32Range(0, 1e9).Draw(t, "limit"))
			}
			list = append(list, one)
		}
		raw, err := list.MarshalBinary()
		require.NoError(t, err)
		var got availability.LimitList
		require.NoError(t, got.UnmarshalBinary(raw))
		require.Equal(t, list, got)
	})
}

// TestLimitsCutShort checks that limits that are cut short or no numbers are refused.
func TestLimitsCutShort(t *testing.T) {
	raw, err := availability.LimitList{{ID: 1, Version: 1, PerSecond: 2}}.MarshalBinary()
	require.NoError(t, err)
	var got availability.LimitList
	require.ErrorIs(t, got.UnmarshalBinary(raw[:len(raw)-1]), availability.ErrLimits)
	for _, wrong := range []float64{math.NaN(), math.Inf(1), -2} {
		binary.BigEndian.PutUint32(raw[12:], math.Float32bits(float32(wrong)))
		require.ErrorIs(t, got.UnmarshalBinary(raw), availability.ErrLimits)
	}
}
