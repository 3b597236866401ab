// Package clock provides a clock that includes the time during which the machine is suspended.
//
// The monotonic clock of Go's runtime stops during a suspension. Ages measured by it, such as
// those of leases, permits, suspicions and requests, are too short after a suspension. The times
// of a Clock are those of the runtime plus the total time spent suspended. Differences between
// them are the time that has really passed. Their wall clock reading is ahead of the real one by
// the same total. Clock.System converts such a time to the runtime's, which is needed for the time
// of day and for timers and deadlines.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns times that include suspensions. A nil Clock returns the times of the runtime. It is
// safe for concurrent use.
type Clock struct {
	suspended func(now time.Time) time.Duration
}

// New returns a clock. The function suspended returns the total time that the machine has spent
// suspended at the given time of the runtime, counted from any fixed moment.
func New(suspended func(now time.Time) time.Duration) *Clock { return &Clock{suspended: suspended} }

// Real returns a clock that detects suspensions by the clocks of the operating system.
func Real() *Clock {
	return New(newDetector(bootTime).suspended)
}

// Now returns the current time.
func (c *Clock) Now() time.Time {
	now := time.Now()
	return now.Add(c.suspendedAt(now))
}

// Since returns the time elapsed since t, which is one of the clock's times.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time left until t, which is one of the clock's times.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// System converts t, which is one of the clock's times, to the runtime's time. It subtracts the
// time spent suspended so far.
func (c *Clock) System(t time.Time) time.Time { return t.Add(-c.Suspended()) }

// Suspended returns the total time that the machine has spent suspended so far.
func (c *Clock) Suspended() time.Duration { return c.suspendedAt(time.Now()) }

func (c *Clock) suspendedAt(now time.Time) time.Duration {
	if c == nil {
		return 0
	}
	return c.suspended(now)
}

// minSuspension is the shortest suspension that is counted. The offset between the wall clock and
// the monotonic clock changes by less than this between two readings, unless the wall clock is set.
const minSuspension = 20 * time.Millisecond

// detector measures how long the machine has been suspended. The boot time clock, which includes
// suspensions, costs a system call to read. The wall clock includes them too and needs no system
// call. The detector therefore reads the boot time clock only after the wall clock has moved
// relative to the monotonic clock.
type detector struct {
	// bootTime reads the boot time clock.
	bootTime    func() time.Duration
	start       time.Time
	bootAtStart time.Duration
	// wallOffset is the wall clock less the monotonic clock at the last measurement, and total
	// is the time spent suspended from start until then. Both are in nanoseconds.
	wallOffset, total atomic.Int64
}

func newDetector(boot func() time.Duration) *detector {
	d := &detector{bootTime: boot, start: time.Now()}
	d.bootAtStart = boot()
	d.wallOffset.Store(d.start.UnixNano())
	return d
}

// suspended returns the total time spent suspended from the detector's start until now.
func (d *detector) suspended(now time.Time) time.Duration {
	return d.suspendedAt(now.UnixNano(), now.Sub(d.start))
}

// suspendedAt returns the total time spent suspended at a reading of both clocks. The wall clock is
// in Unix nanoseconds, and the monotonic clock is relative to the detector's start.
func (d *detector) suspendedAt(wall int64, monotonic time.Duration) time.Duration {
	offset := wall - int64(monotonic)
	if change := time.Duration(offset - d.wallOffset.Load()); change > minSuspension || change < -minSuspension {
		d.measure(offset, monotonic)
	}
	return time.Duration(d.total.Load())
}

// measure updates the total from the boot time clock. It ignores an increase of at most
// minSuspension: the wall clock was set, and the machine was not suspended.
func (d *detector) measure(offset int64, monotonic time.Duration) {
	total := d.bootTime() - d.bootAtStart - monotonic
	if total-time.Duration(d.total.Load()) > minSuspension {
		d.total.Store(int64(total))
	}
	d.wallOffset.Store(offset)
}

// bootTime returns the time since the machine was booted, including suspensions. It returns 0 on a
// system without such a clock, so that no suspension is ever counted there.
func bootTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
