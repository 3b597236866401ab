// Package clock provides a clock that goes on while the machine is suspended.
//
// The steady clock of the runtime stands still meanwhile, so that whatever is judged by it
// (a lease, a permit, a suspicion, how long a request has been here) seems younger after a
// suspension than it is. The times of a Clock are those of the runtime moved on by the time
// spent suspended: they may be compared and subtracted among each other, and say how much
// time has really passed. Their time of day is ahead by as much; where that counts, and for
// timers and deadlines of the runtime, System turns them back.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells times that count suspensions. The nil clock tells those of the runtime. It is
// safe for concurrent use.
type Clock struct {
	suspended func(now time.Time) time.Duration
}

// New returns a clock with a source of how long the machine was suspended since some moment.
func New(suspended func(now time.Time) time.Duration) *Clock { return &Clock{suspended: suspended} }

// Real returns a clock that reads the system's.
func Real() *Clock {
	return New(newDetector(bootTime).suspended)
}

// Now returns the current time.
func (c *Clock) Now() time.Time {
	now := time.Now()
	return now.Add(c.suspendedAt(now))
}

// Since returns the time that has passed since one of the clock's times.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time that is left until one of the clock's times.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// System returns the runtime's time of one of the clock's times.
func (c *Clock) System(t time.Time) time.Time { return t.Add(-c.Suspended()) }

// Suspended returns how long the machine was suspended so far.
func (c *Clock) Suspended() time.Duration { return c.suspendedAt(time.Now()) }

func (c *Clock) suspendedAt(now time.Time) time.Duration {
	if c == nil {
		return 0
	}
	return c.suspended(now)
}

// minSuspension is the smallest suspension that is counted. The time of day moves against the
// steady clock by less than that between two readings, unless it is set.
const minSuspension = 20 * time.Millisecond

// detector finds out how long the machine was suspended. The clock that counts suspensions
// costs a system call; it is read only where the time of day, which counts them too and costs
// none, has moved against the steady clock.
type detector struct {
	bootTime    func() time.Duration
	start       time.Time
	bootAtStart time.Duration
	// wallOffset is the time of day less the steady clock, when it was last looked at, and
	// total how long the machine was suspended until then.
	wallOffset, total atomic.Int64
}

func newDetector(boot func() time.Duration) *detector {
	d := &detector{bootTime: boot, start: time.Now()}
	d.bootAtStart = boot()
	d.wallOffset.Store(d.start.UnixNano())
	return d
}

func (d *detector) suspended(now time.Time) time.Duration {
	return d.suspendedAt(now.UnixNano(), now.Sub(d.start))
}

// suspendedAt returns how long the machine was suspended until a time of day, in Unix nanoseconds,
// that is a time after the begin on the steady clock.
func (d *detector) suspendedAt(wall int64, monotonic time.Duration) time.Duration {
	offset := wall - int64(monotonic)
	if change := time.Duration(offset - d.wallOffset.Load()); change > minSuspension || change < -minSuspension {
		d.measure(offset, monotonic)
	}
	return time.Duration(d.total.Load())
}

// measure reads the clock that counts suspensions.
func (d *detector) measure(offset int64, monotonic time.Duration) {
	total := d.bootTime() - d.bootAtStart - monotonic
	if total-time.Duration(d.total.Load()) > minSuspension {
		d.total.Store(int64(total))
	}
	d.wallOffset.Store(offset)
}

// bootTime returns the time since the machine was started, suspensions included. A system
// without that clock never counts one.
func bootTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
