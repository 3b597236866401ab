package locality_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/internal/mix"
	"github.com/rainford/rainford/locality"
)

func drawShares(t *rapid.T) []locality.Share {
	slots := drawSlots(t)
	slots["a"]++
	return locality.FromSlots("a", slots, len(regions))
}

// TestCalibratedSharesDivideKeys checks that each region gets its share of a small number of keys,
// give or take less than two keys, whatever the keys' hashes. At each boundary the error is less
// than one key.
func TestCalibratedSharesDivideKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawShares(t)
		n := rapid.IntRange(8, 60).Draw(t, "keys")
		name := rapid.String().Draw(t, "name")
		var points locality.Points
		var keys []float64
		now := time.Unix(0, 0)
		for i := range n {
			keys = append(keys, mix.Unit(mix.Hash(name, fmt.Sprint(i))))
			points.Add(now, keys[i])
		}
		got := locality.Calibrate("a", want, points.Sorted(now))
		require.InDelta(t, 1, sum(got), 1e-9)
		counts := map[string]int{}
		for _, key := range keys {
			counts[locality.Draw("a", got, key)]++
		}
		for _, s := range want {
			require.Less(t, math.Abs(s.Fraction*float64(n)-float64(counts[s.Region])), 2.0, s.Region)
		}
	})
}

// TestManyKeysNeedNoCalibration checks that shares hardly change if there are many keys, and do not
// change if no keys are known.
func TestManyKeysNeedNoCalibration(t *testing.T) {
	want := []locality.Share{{Region: "a", Fraction: 0.3}, {Region: "b", Fraction: 0.3}, {Region: "c", Fraction: 0.4}}
	require.Equal(t, want, locality.Calibrate("a", want, nil))
	var points locality.Points
	now := time.Unix(0, 0)
	for i := range 5000 {
		points.Add(now, mix.Unit(mix.Hash(fmt.Sprint(i))))
	}
	got := locality.Calibrate("a", want, points.Sorted(now))
	require.LessOrEqual(t, moved(want, got), 0.06)
}

// TestNewKeyMovesFew checks that a new key moves at most two of the other keys.
func TestNewKeyMovesFew(t *testing.T) {
	want := []locality.Share{{Region: "a", Fraction: 0.3}, {Region: "b", Fraction: 0.3}, {Region: "c", Fraction: 0.4}}
	now := time.Unix(0, 0)
	for n := 8; n < 60; n++ {
		var points locality.Points
		for i := range n {
			points.Add(now, mix.Unit(mix.Hash("k", fmt.Sprint(i))))
		}
		before := points.Sorted(now)
		points.Add(now, mix.Unit(mix.Hash("k", fmt.Sprint(n))))
		one, other := locality.Calibrate("a", want, before), locality.Calibrate("a", want, points.Sorted(now))
		changed := 0
		for _, key := range before {
			if locality.Draw("a", one, key) != locality.Draw("a", other, key) {
				changed++
			}
		}
		require.LessOrEqual(t, changed, 2, "%d keys", n)
	}
}

func TestPointsExpire(t *testing.T) {
	var points locality.Points
	now := time.Unix(0, 0)
	points.Add(now, 0.25)
	points.Add(now.Add(20*time.Second), 0.5)
	require.Equal(t, []float64{0.5}, points.Sorted(now.Add(40*time.Second)))
	require.Empty(t, points.Sorted(now.Add(80*time.Second)))
}
