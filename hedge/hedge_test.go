package hedge

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestDelay checks the delay against the exact quantile, up to the width of a bucket.
func TestDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimator
		n := rapid.IntRange(minSamples, 500).Draw(t, "samples")
		var took []time.Duration
		for range n {
			d := time.Duration(rapid.IntRange(20, 20_000).Draw(t, "ms")) * time.Millisecond
			took = append(took, d)
			e.Record(start, d)
		}
		slices.Sort(took)
		exact := func(q float64) time.Duration { return took[int(math.Ceil(q*float64(n)-1e-9))-1] }
		width := math.Exp2(1.0 / bucketsPerDoubling)
		delay, ok := e.Delay(start, 0)
		require.True(t, ok)
		high := float64(exact(delayQuantile))
		require.GreaterOrEqual(t, float64(delay), delayFactor*high*0.999)
		require.LessOrEqual(t, float64(delay), delayFactor*high*width*1.001)
		median, ok := e.Median(start)
		require.True(t, ok)
		require.GreaterOrEqual(t, float64(median), float64(exact(0.5))*0.999)
		require.LessOrEqual(t, float64(median), float64(exact(0.5))*width*1.001)
	})
}

func TestDelayNeedsSamples(t *testing.T) {
	var e Estimator
	for range minSamples - 1 {
		e.Record(start, 100*time.Millisecond)
	}
	_, ok := e.Delay(start, 0)
	require.False(t, ok)
	e.Record(start, 100*time.Millisecond)
	_, ok = e.Delay(start, 0)
	require.True(t, ok)
	_, ok = e.Delay(start.Add(maxAge), 0)
	require.False(t, ok, "samples that are too old are not used")
}

func TestShortestDelay(t *testing.T) {
	var e Estimator
	for range minSamples {
		e.Record(start, time.Microsecond)
	}
	delay, _ := e.Delay(start, 0)
	require.Equal(t, minDelay, delay)
	delay, _ = e.Delay(start, 400*time.Millisecond)
	require.Equal(t, 100*time.Millisecond, delay)
}

// TestDelayFollowsChange guards against a delay that stays short after all targets have become slower,
// which would hedge nearly all requests.
func TestDelayFollowsChange(t *testing.T) {
	var e Estimator
	for i := range 2000 {
		e.Record(at(10*i), 50*time.Millisecond)
	}
	for i := range 100 {
		e.Record(at(20_000+10*i), 300*time.Millisecond)
	}
	delay, ok := e.Delay(at(21_000), 0)
	require.True(t, ok)
	require.Greater(t, delay, 300*time.Millisecond)
	for i := range 8000 {
		e.Record(at(21_000+10*i), 50*time.Millisecond)
	}
	delay, _ = e.Delay(at(101_000), 0)
	require.Less(t, delay, 100*time.Millisecond)
}

// TestFewSamplesAreKept guards against an instance with few requests on a route that never hedges,
// because its samples decay faster than they arrive.
func TestFewSamplesAreKept(t *testing.T) {
	var e Estimator
	for i := range 100 {
		e.Record(start.Add(time.Duration(i)*5*time.Second), 50*time.Millisecond)
	}
	_, ok := e.Delay(start.Add(500*time.Second), 0)
	require.True(t, ok)
}

// TestBudget checks over random sequences that the hedges of any window stay within a tenth of its
// requests plus maxHedges.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		requests, hedges := []int{0}, []int{0}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			earned, spent := 0, 0
			if rapid.Bool().Draw(t, "earn") {
				earned = rapid.IntRange(1, 100).Draw(t, "requests")
				for range earned {
					b.Earn()
				}
			} else {
				for b.HasHedge() {
					require.True(t, b.Spend())
					spent++
				}
				require.False(t, b.Spend())
			}
			requests = append(requests, requests[len(requests)-1]+earned)
			hedges = append(hedges, hedges[len(hedges)-1]+spent)
		}
		for from := range requests {
			for to := from; to < len(requests); to++ {
				allowed := float64(requests[to]-requests[from])/requestsPerHedge + maxHedges
				require.LessOrEqual(t, float64(hedges[to]-hedges[from]), allowed)
			}
		}
	})
}

// BenchmarkEstimator measures what an attempt costs: one delay and one sample.
func BenchmarkEstimator(b *testing.B) {
	for _, perSecond := range []int{10, 1000} {
		b.Run(fmt.Sprintf("per_second=%d", perSecond), func(b *testing.B) {
			var e Estimator
			rnd := rand.New(rand.NewPCG(1, 2))
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second / time.Duration(perSecond))
				e.Delay(now, 400*time.Millisecond)
				e.Record(now, time.Duration(50+rnd.IntN(100))*time.Millisecond)
			}
		})
	}
}
