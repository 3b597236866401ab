package reach

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// check returns the result of a check with as many targets as it was to try.
func check(ms, tried, connected int) Check {
	return Check{StartedAt: at(ms), EndedAt: at(ms), Tried: tried, Connected: connected, Size: max(tried, ProbeTargets)}
}

func TestCheckDue(t *testing.T) {
	for _, c := range []struct {
		name  string
		setUp func(*Tracker)
		ms    int
		due   bool
	}{
		{"nothing happened", func(*Tracker) {}, 1000, false},
		{"one target fails again and again", func(r *Tracker) { r.Failed(at(0), "i-1"); r.Failed(at(10), "i-1") }, 20, false},
		{"two targets fail", func(r *Tracker) { r.Failed(at(0), "i-1"); r.Failed(at(10), "i-2") }, 20, true},
		{"two targets fail far apart", func(r *Tracker) { r.Failed(at(0), "i-1"); r.Failed(at(2000), "i-2") }, 2010, false},
		{"another target was connected to in between", func(r *Tracker) { r.Failed(at(0), "i-1"); r.Connected(at(5)); r.Failed(at(10), "i-2") }, 20, false},
		{"requests stall", func(r *Tracker) { startAll(r, 0, stallRunning) }, 500, true},
		{"few requests stall", func(r *Tracker) { startAll(r, 0, stallRunning-1) }, 5000, false},
		{"one of the requests is answered", func(r *Tracker) { startAll(r, 0, stallRunning+1); r.End(at(400), true) }, 600, false},
		{"one of the requests fails", func(r *Tracker) { startAll(r, 0, stallRunning+1); r.End(at(400), false) }, 600, true},
		{"the last check found targets just before", func(r *Tracker) {
			r.Checked(check(0, 6, 1))
			r.Failed(at(10), "i-1")
			r.Failed(at(10), "i-2")
		}, 400, false},
		{"the last check found targets a while ago", func(r *Tracker) {
			r.Checked(check(0, 6, 1))
			r.Failed(at(10), "i-1")
			r.Failed(at(10), "i-2")
		}, 500, true},
		{"a check is requested", func(r *Tracker) { r.RequestCheck(at(0), Soon) }, 90, false},
		{"a check was requested a while ago", func(r *Tracker) { r.RequestCheck(at(0), Soon) }, 100, true},
		{"a requested check is not needed any more", func(r *Tracker) { r.RequestCheck(at(0), Soon); r.Connected(at(1)) }, 500, false},
		{"a requested check is still needed", func(r *Tracker) { r.RequestCheck(at(1), Soon); r.Connected(at(0)) }, 101, true},
		{"an urgent check is requested", func(r *Tracker) { r.RequestCheck(at(0), Soon); r.RequestCheck(at(10), AtOnce) }, 10, true},
		{"a check is requested during another one", func(r *Tracker) {
			r.RequestCheck(at(0), AtOnce)
			r.RequestCheck(at(2), AtOnce)
			r.Checked(Check{StartedAt: at(1), EndedAt: at(3), Tried: 2, Connected: 1, Size: 2})
		}, 50, false},
		{"a small check found none", func(r *Tracker) { r.Checked(check(0, 2, 0)) }, 0, true},
		{"lost", func(r *Tracker) { r.Checked(check(0, 6, 0)) }, 250, true},
		{"lost, probed just before", func(r *Tracker) { r.Checked(check(0, 6, 0)) }, 200, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &Tracker{}
			c.setUp(r)
			require.Equal(t, c.due, r.CheckDue(at(c.ms)))
		})
	}
}

func startAll(r *Tracker, ms, n int) {
	for range n {
		r.Start(at(ms))
	}
}

func TestLostAndRegained(t *testing.T) {
	r := &Tracker{}
	require.False(t, r.Checked(check(0, 0, 0)), "a check of no target shows nothing")
	require.False(t, r.Checked(check(0, 6, 1)))
	require.Equal(t, ProbeTargets, r.CheckSize(at(0)), "nothing is suspicious")
	require.False(t, r.Checked(check(900, 2, 0)), "a small check does not suffice")
	require.Equal(t, CheckTargets, r.CheckSize(at(900)))
	require.True(t, r.Checked(check(1000, 6, 0)))
	require.True(t, r.Lost())
	require.Equal(t, at(1000), r.ChangedAt())
	require.Equal(t, ProbeTargets, r.CheckSize(at(0)))
	require.False(t, r.CheckDue(at(1100)))
	r.TargetStarted()
	require.True(t, r.CheckDue(at(1100)), "a target that has started is checked at once")
	require.False(t, r.Checked(check(1100, 2, 0)))
	require.False(t, r.CheckDue(at(1101)))
	require.False(t, r.Checked(check(1250, 2, 1)), "one success does not end the loss")
	require.True(t, r.CheckDue(at(1250)), "it is confirmed at once")
	require.Equal(t, CheckTargets, r.CheckSize(at(0)))
	require.False(t, r.Checked(check(1260, 6, 0)))
	require.False(t, r.CheckDue(at(1270)))
	require.False(t, r.Checked(check(1510, 2, 2)))
	require.True(t, r.Checked(check(1520, 6, 3)))
	require.False(t, r.Lost())
	require.Zero(t, r.FailedCount(at(1520)))
}

// TestTrackerFollowsChecks checks over random sequences that only a check without any connection
// loses the targets, that only two checks in a row with one regain them, and that a loss is noticed
// and ended within a bounded time whatever requests show meanwhile.
func TestTrackerFollowsChecks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &Tracker{}
		now, successes, reached := start, 0, true
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			before := r.Lost()
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				r.Start(now)
			case 1:
				if r.running > 0 {
					r.End(now, rapid.Bool().Draw(t, "answered"))
				}
			case 2:
				r.Failed(now, rapid.SampledFrom([]string{"i-1", "i-2", "i-3"}).Draw(t, "target"))
			case 3:
				r.Connected(now)
			case 4:
				reached = !reached
			case 5:
				r.RequestCheck(now, rapid.SampledFrom([]time.Duration{AtOnce, Soon}).Draw(t, "delay"))
			}
			require.Equal(t, before, r.Lost(), "only checks change it")
			if !r.CheckDue(now) {
				continue
			}
			connected, size := 0, r.CheckSize(now)
			if reached {
				connected = rapid.IntRange(1, size).Draw(t, "connected")
				successes++
			} else {
				successes = 0
			}
			r.Checked(Check{StartedAt: now, EndedAt: now, Tried: size, Connected: connected, Size: size})
			if reached {
				require.Equal(t, now, r.ProvenAt())
			}
			switch {
			case !before:
				require.Equal(t, !reached && size == CheckTargets, r.Lost())
				successes = 0
			case r.Lost():
				require.Less(t, successes, 2)
			default:
				require.Equal(t, 2, successes)
			}
		}
	})
}

func TestIsSilent(t *testing.T) {
	r := &Tracker{}
	require.False(t, r.IsSilent(at(1000)), "no request is at a target")
	startAll(r, 1000, 2)
	require.False(t, r.IsSilent(at(1400)))
	require.True(t, r.IsSilent(at(1500)))
	r.End(at(1500), true)
	require.False(t, r.IsSilent(at(1900)))
}
