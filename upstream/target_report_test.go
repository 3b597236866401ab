package upstream_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/rainford/rainford/upstream"
)

// TestPeersLearnOfBusyTarget checks that a request goes to its key's second target after another
// instance reported that the first one is overloaded. It goes to the first one again after a report
// that the overload is over, or without reports for a while.
func TestPeersLearnOfBusyTarget(t *testing.T) {
	there, here := newPool(), newPool()
	for _, p := range []*upstream.Pool{there, here} {
		p.SetTargets(start, specsInEachHall(6), nil)
	}
	target := func(p *upstream.Pool, now time.Time) upstream.Decision {
		d := p.Acquire(now, request("k"))
		p.Release(now, d.Target.ID, upstream.Result{Outcome: upstream.Abandoned})
		return d
	}
	first := target(here, start).Target.ID
	for range 2 {
		require.Equal(t, first, there.Acquire(start, request("k")).Target.ID)
	}
	answer := func(now time.Time, running, waiting int) {
		there.Release(now, first, upstream.Result{LoadReport: &upstream.LoadReport{Running: running, Waiting: waiting, Slots: 3}, Latency: time.Second})
	}
	require.Empty(t, there.TargetReports(start))

	answer(start, 3, 4)
	reports := there.TargetReports(start)
	require.Len(t, reports, 1)
	here.ApplyTargetReports(start.Add(50*time.Millisecond), reports)
	now := start.Add(100 * time.Millisecond)
	require.NotEqual(t, first, target(here, now).Target.ID)
	require.Equal(t, upstream.ReasonLoad, target(here, now).Reason)
	require.Len(t, here.TargetReports(now), 1, "received reports are passed on")
	require.Empty(t, here.TargetReports(start.Add(2*time.Second)), "old reports are not passed on")
	require.Equal(t, first, target(here, start.Add(4*time.Second)).Target.ID)

	now = start.Add(200 * time.Millisecond)
	answer(now, 1, 0)
	after := there.TargetReports(now)
	require.Len(t, after, 1, "the end of the overload is reported too")
	here.ApplyTargetReports(now, after)
	here.ApplyTargetReports(now, reports)
	require.Equal(t, first, target(here, now).Target.ID, "older reports are ignored")
}

// TestPeersLearnOfDownTarget checks that a request goes to its key's second target for a moment
// after another instance reported the first one as down. The report is ignored if the first target
// has recently responded to this instance, and it is not sent if the other instance reaches hardly
// any target.
func TestPeersLearnOfDownTarget(t *testing.T) {
	there, here := newPool(), newPool()
	for _, p := range []*upstream.Pool{there, here} {
		p.SetTargets(start, specsInEachHall(6), nil)
	}
	end := func(p *upstream.Pool, now time.Time, key string, outcome upstream.Outcome) string {
		d := p.Acquire(now, request(key))
		p.Release(now, d.Target.ID, upstream.Result{Outcome: outcome, Latency: time.Second})
		return d.Target.ID
	}
	first := end(there, start, "k", upstream.Unreachable)
	require.Empty(t, there.TargetReports(start), "no target responds to that instance")
	for _, key := range []string{"l", "m", "n"} {
		end(there, start, key, upstream.Answered)
	}
	reports := there.TargetReports(start)
	require.Len(t, reports, 1)

	require.Equal(t, first, end(here, start, "k", upstream.Abandoned))
	here.ApplyTargetReports(start, reports)
	require.NotEqual(t, first, end(here, start.Add(time.Second), "k", upstream.Abandoned))
	now := start.Add(2 * time.Second)
	require.Equal(t, first, end(here, now, "k", upstream.Answered))
	here.ApplyTargetReports(now.Add(time.Second), reports)
	require.Equal(t, first, end(here, now.Add(time.Second), "k", upstream.Abandoned), "the target has responded recently")
}

// TestTargetReportsEncoding checks that reports are encoded in six bytes each, that they are
// decoded with the expected rounding, and that truncated reports are refused.
func TestTargetReportsEncoding(t *testing.T) {
	reports := upstream.TargetReports{
		{Target: 1 << 31, PerSlot: 1.5, Age: 730 * time.Millisecond},
		{Target: 7, PerSlot: 100, Age: time.Hour},
		{Target: 9, Down: true},
	}
	raw, err := msgpack.Marshal(reports)
	require.NoError(t, err)
	require.LessOrEqual(t, len(raw), 2+3*6)
	var got upstream.TargetReports
	require.NoError(t, msgpack.Unmarshal(raw, &got))
	require.Equal(t, reports[0], got[0])
	require.Equal(t, upstream.TargetReport{Target: 7, PerSlot: 254.0 / 32, Age: 2550 * time.Millisecond}, got[1])
	require.Equal(t, reports[2], got[2])
	truncated, err := msgpack.Marshal([]byte("12345"))
	require.NoError(t, err)
	require.ErrorIs(t, msgpack.Unmarshal(truncated, &got), upstream.ErrTruncatedTargetReports)
}
