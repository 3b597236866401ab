package availability_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/availability"
)

// TestDeparturesMergeInAnyOrder lets several sets learn departures from targets and from each
// other, in any order, late and repeatedly, and checks that all sets end up with the same
// departures. It does not compare the times at which they were first heard of.
func TestDeparturesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sets := make([]availability.Departures, 3)
		announced := make(map[availability.ID]bool)
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pass")) * time.Millisecond)
			set := &sets[rapid.IntRange(0, 2).Draw(t, "set")]
			if rapid.Bool().Draw(t, "own") {
				id := availability.IDOf(fmt.Sprint("i-", rapid.IntRange(0, 9).Draw(t, "target")))
				known, before := set.FirstHeard(id)
				require.Equal(t, !before, set.Add(now, id))
				if before {
					heard, _ := set.FirstHeard(id)
					require.Equal(t, known, heard)
				}
				announced[id] = true
				continue
			}
			other := &sets[rapid.IntRange(0, 2).Draw(t, "other")]
			set.Merge(now, roundTrip(t, other.Sample(now, rapid.IntRange(0, 5).Draw(t, "told"), rapid.Uint64().Draw(t, "salt"))))
		}
		for range 2 {
			for i := range sets {
				sets[i].Merge(now, roundTrip(t, sets[(i+1)%len(sets)].Sample(now, len(announced), 0)))
			}
		}
		for i := range sets {
			require.Equal(t, len(announced), sets[i].Len())
			require.Equal(t, sets[0].Checksum(now), sets[i].Checksum(now))
			for id := range announced {
				_, ok := sets[i].FirstHeard(id)
				require.True(t, ok)
			}
		}
	})
}

// roundTrip encodes and decodes departures.
func roundTrip(t require.TestingT, l availability.DepartureList) availability.DepartureList {
	raw, err := l.MarshalBinary()
	require.NoError(t, err)
	var out availability.DepartureList
	require.NoError(t, out.UnmarshalBinary(raw))
	return out
}

// TestDeparturesExpire checks that departures expire, and are not passed back and forth forever by
// two instances that each take them for slightly younger.
func TestDeparturesExpire(t *testing.T) {
	sets := make([]availability.Departures, 2)
	sets[0].Add(start, availability.IDOf("i-1"))
	for now := start; now.Before(start.Add(2 * time.Hour)); now = now.Add(500 * time.Millisecond) {
		for i := range sets {
			sets[i].Expire(now)
			sets[1-i].Merge(now, roundTrip(t, sets[i].Sample(now, 10, 0)))
		}
	}
	require.Zero(t, sets[0].Len())
	require.Zero(t, sets[1].Len())
}

// TestDeparturesBoundedAndSynchronized checks that a full set evicts the oldest departures, and
// that an empty set receives all departures by small samples.
func TestDeparturesBoundedAndSynchronized(t *testing.T) {
	var full availability.Departures
	for i := range 5000 {
		full.Add(start.Add(time.Duration(i)*time.Millisecond), availability.IDOf(fmt.Sprint("i-", i)))
	}
	require.Equal(t, 4096, full.Len())
	_, first := full.FirstHeard(availability.IDOf("i-0"))
	_, last := full.FirstHeard(availability.IDOf("i-4999"))
	require.False(t, first)
	require.True(t, last)
	var other availability.Departures
	now := start.Add(10 * time.Second)
	salt := uint64(0)
	for ; other.Checksum(now) != full.Checksum(now) && salt < 10000; salt++ {
		other.Merge(now, full.Sample(now, 64, salt))
	}
	t.Logf("%d messages with 64 departures each for a set of %d", salt, full.Len())
	require.Equal(t, full.Len(), other.Len())
}

func TestTruncatedDepartures(t *testing.T) {
	raw, err := availability.DepartureList{{ID: 1}, {ID: 2}}.MarshalBinary()
	require.NoError(t, err)
	var out availability.DepartureList
	require.ErrorIs(t, out.UnmarshalBinary(slices.Clone(raw[:len(raw)-1])), availability.ErrTruncatedDepartures)
}
