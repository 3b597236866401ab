package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDetector checks that the first reading after a suspension detects it, that setting the wall
// clock does not count as a suspension, and that the boot time clock, which costs a system call, is
// read only after the wall clock has moved relative to the monotonic clock.
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
	require.Equal(t, 1, reads, "the boot time clock is read at the start only")

	// The wall clock is set forward.
	wall += int64(2 * time.Second)
	require.Zero(t, d.suspendedAt(wall, monotonic))
	require.Zero(t, d.suspendedAt(wall, monotonic))
	require.Equal(t, 2, reads)

	// The machine is suspended. The suspension goes unnoticed while the wall clock is set back by
	// exactly its length, and is counted once the wall clock differs.
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

// TestClock checks that the clock's times include suspensions, that System converts them to the
// runtime's time, and that a nil clock and a fresh Real clock include none.
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
