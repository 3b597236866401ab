package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDetector checks that a suspension is found out by the first reading after it, that a
// time of day that is set is none, and that the clock that costs a system call is read only
// when the time of day has moved.
func TestDetector(t *testing.T) {
	booted, reads := time.Hour, 0
	d := newDetector(func() time.Duration { reads++; return booted })
	day, steady := d.start.UnixNano(), time.Duration(0)
	pass := func(length time.Duration) {
		day += int64(length)
		booted += length
	}
	require.Zero(t, d.suspendedAt(day, steady))
	pass(time.Second)
	steady += time.Second
	require.Zero(t, d.suspendedAt(day, steady))
	require.Equal(t, 1, reads, "at the begin")

	// The time of day is set.
	day += int64(2 * time.Second)
	require.Zero(t, d.suspendedAt(day, steady))
	require.Zero(t, d.suspendedAt(day, steady))
	require.Equal(t, 2, reads)

	// Suspended, and set back by as much and a little more.
	for _, length := range []time.Duration{5 * time.Second, time.Minute} {
		pass(length)
		before := d.suspendedAt(day-int64(length), steady)
		require.Equal(t, before+length, d.suspendedAt(day, steady))
		require.Equal(t, before+length, d.suspendedAt(day, steady))
	}
	pass(time.Second)
	day -= int64(time.Second + minSuspension + 1)
	require.Equal(t, 66*time.Second, d.suspendedAt(day, steady))
}

// TestClock checks that times count suspensions and are turned back for the runtime.
func TestClock(t *testing.T) {
	away := time.Duration(0)
	c := New(func(time.Time) time.Duration { return away })
	before := c.Now()
	away = time.Minute
	require.GreaterOrEqual(t, c.Since(before), time.Minute)
	require.Less(t, c.Since(before), time.Minute+10*time.Second)
	require.Less(t, time.Until(c.System(c.Now().Add(time.Second))), 2*time.Second)
	require.Equal(t, time.Minute, c.Suspended())
	var plain *Clock
	require.Less(t, plain.Since(plain.Now()), time.Second)
	require.Zero(t, plain.Suspended())
	require.Zero(t, Real().Suspended())
}

func BenchmarkNow(b *testing.B) {
	for _, c := range []struct {
		name  string
		clock *Clock
	}{{"runtime", nil}, {"real", Real()}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				_ = c.clock.Now()
			}
		})
	}
}
