package endpoints_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/endpoints"
)

// observe records timers that fire late by a function of the measurement's number, for the given
// time, and returns the time until the state changed, or 0 if it did not.
func observe(d *endpoints.OverloadDetector, now *time.Time, lasts time.Duration, late func(i int) time.Duration) time.Duration {
	begin := *now
	for i := 0; now.Sub(begin) < lasts; i++ {
		l := late(i)
		*now = now.Add(endpoints.OverloadPeriod + l)
		if d.Observe(*now, l) {
			return now.Sub(begin)
		}
	}
	return 0
}

// TestOverload checks that a queue of the processor is detected after about a second and its end
// after about three, and guards against an instance that is taken for overloaded because of a pause or of
// short bursts, or that changes its state back and forth.
func TestOverload(t *testing.T) {
	constant := func(late time.Duration) func(int) time.Duration {
		return func(int) time.Duration { return late }
	}
	var d endpoints.OverloadDetector
	now := start
	require.Zero(t, observe(&d, &now, 20*time.Second, constant(5*time.Millisecond)), "normal")
	require.Zero(t, observe(&d, &now, 10*time.Second, func(i int) time.Duration {
		if i == 20 {
			return 3 * time.Second
		}
		return 0
	}), "a pause of the process")
	require.Zero(t, observe(&d, &now, 20*time.Second, func(i int) time.Duration {
		if i%10 == 0 {
			return 80 * time.Millisecond
		}
		return 0
	}), "bursts")
	require.InDelta(t, 1.1, observe(&d, &now, 10*time.Second, constant(50*time.Millisecond)).Seconds(), 0.3)
	require.True(t, d.Overloaded())
	require.Zero(t, observe(&d, &now, 10*time.Second, constant(15*time.Millisecond)), "between the thresholds")
	require.Zero(t, observe(&d, &now, time.Second, constant(time.Millisecond)), "a short relief")
	require.Zero(t, observe(&d, &now, 10*time.Second, constant(50*time.Millisecond)))
	require.InDelta(t, 3.2, observe(&d, &now, 10*time.Second, constant(time.Millisecond)).Seconds(), 0.5)
	require.False(t, d.Overloaded())
}
