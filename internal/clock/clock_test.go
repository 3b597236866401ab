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
	boot, reads := time.Hour, 0
	d := newDetector(func() time.Duration { reads++; return boot })
	wall, monotonic := d.start.UnixNano(), time.Duration(0)
	advance := func(step time.Duration) {
		wall += int64(step)
		boot += step
	}
	require.Zero(t, d.suspendedAt(wall, monotonic))
	advance(time.Second)
	monotonic += time.Second
	require.Zero(t, d.suspendedAt(wall, monotonic))
	require.Equal(t, 1, reads, "at the begin")

	// The time of day is set.
	wall += int64(2 * time.Second)
	require.Zero(t, d.suspendedAt(wall, monotonic))
	require.Zero(t, d.suspendedAt(wall, monotonic))
	require.Equal(t, 2, reads)

	// Suspended, and set back by as much and a little more.
	for _, step := range []time.Duration{5 * time.Second, time.Minute} {
		advance(step)
		before := d.suspendedAt(wall-int64(step), monotonic)
		require.Equal(t, before+step, d.suspendedAt(wall, monotonic))
		require.Equal(t, before+step, d.suspendedAt(wall, monotonic))
	}
	advance(time.Second)
	wall -= int64(time.Second + minSuspension + 1)
	require.Equal(t, 66*time.Second, d.suspendedAt(wall, monotonic))
}

// TestClock checks that times count suspensions and are turned back for the runtime.
func TestClock(t *testing.T) {
	suspended := time.Duration(0)
	c := New(func(time.Time) time.Duration { return suspended })
	before := c.Now()
	suspended = time.Minute
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
