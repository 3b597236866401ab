package upstream_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/rainford/rainford/upstream"
)

// provenAt returns the argument of TargetReports for an instance that is known to have reached a target of
// each hall at a time.
func provenAt(at time.Time) func(string) time.Time { return func(string) time.Time { return at } }

// TestPeersLearnOfBusyTarget checks that a request goes to its key's second target after another
// instance reported that the first one is busy. It goes to the first one again after a report that
// this one is no longer busy, or without reports for a while. Received reports are passed on until
// they are too old, and a report that is not newer than the last one is ignored.
func TestPeersLearnOfBusyTarget(t *testing.T) {
	there, here := newPool(), newPool()
	for _, p := range []*upstream.Pool{there, here} {
		p.SetTargets(start, specsInEachHall(6), nil)
	}
	tryRequest := func(p *upstream.Pool, now time.Time) upstream.Decision {
		d := p.Acquire(now, request("k"))
		p.Release(now, d.Target.ID, upstream.Result{Outcome: upstream.Abandoned})
		return d
	}
	first := tryRequest(here, start).Target.ID
	// Each of the two requests is released with one of the load reports below.
	for range 2 {
		require.Equal(t, first, there.Acquire(start, request("k")).Target.ID)
	}
	releaseWithLoad := func(now time.Time, running, waiting int) {
		there.Release(now, first, upstream.Result{LoadReport: &upstream.LoadReport{Running: running, Waiting: waiting, Slots: 3}, Latency: time.Second})
	}
	require.Empty(t, there.TargetReports(start, provenAt(start)))

	releaseWithLoad(start, 3, 4)
	reports := there.TargetReports(start, provenAt(start))
	require.Len(t, reports, 1)
	here.ApplyTargetReports(start.Add(50*time.Millisecond), reports)
	now := start.Add(100 * time.Millisecond)
	require.NotEqual(t, first, tryRequest(here, now).Target.ID)
	require.Equal(t, upstream.ReasonLoad, tryRequest(here, now).Reason)
	require.Len(t, here.TargetReports(now, provenAt(now)), 1, "received reports are passed on")
	require.Empty(t, here.TargetReports(start.Add(2*time.Second), provenAt(start.Add(2*time.Second))), "old reports are not passed on")
	require.Equal(t, first, tryRequest(here, start.Add(4*time.Second)).Target.ID, "the report has expired")

	// From here on the time is before the expiry of the first report.
	now = start.Add(200 * time.Millisecond)
	releaseWithLoad(now, 1, 0)
	after := there.TargetReports(now, provenAt(now))
	require.Len(t, after, 1, "a target that is no longer busy is reported too")
	here.ApplyTargetReports(now, after)
	here.ApplyTargetReports(now, reports)
	require.Equal(t, first, tryRequest(here, now).Target.ID, "reports that are not newer are ignored")
}

// TestPeersLearnOfDownTarget checks that a request goes to its key's second target after another
// instance reported the first one as down, and to the first one again after downPause. The report
// is ignored if the first target has recently responded to this instance, and it is not sent if no
// target responds to the other instance.
func TestPeersLearnOfDownTarget(t *testing.T) {
	there, here := newPool(), newPool()
	for _, p := range []*upstream.Pool{there, here} {
		p.SetTargets(start, specsInEachHall(6), nil)
	}
	runRequest := func(p *upstream.Pool, now time.Time, key string, outcome upstream.Outcome) string {
		d := p.Acquire(now, request(key))
		p.Release(now, d.Target.ID, upstream.Result{Outcome: outcome, Latency: time.Second})
		return d.Target.ID
	}
	first := runRequest(there, start, "k", upstream.Unreachable)
	require.Empty(t, there.TargetReports(start, provenAt(start)), "a target is reported as down although no target responds to the instance")
	for _, key := range []string{"l", "m", "n"} {
		runRequest(there, start, key, upstream.Answered)
	}
	require.Empty(t, there.TargetReports(start, provenAt(start.Add(-time.Millisecond))), "a target is reported as down although the instance has reached none since")
	reports := there.TargetReports(start, provenAt(start))
	require.Len(t, reports, 1)

	require.Equal(t, first, runRequest(here, start, "k", upstream.Abandoned))
	here.ApplyTargetReports(start, reports)
	require.NotEqual(t, first, runRequest(here, start.Add(time.Second), "k", upstream.Abandoned))
	now := start.Add(2 * time.Second)
	require.Equal(t, first, runRequest(here, now, "k", upstream.Answered))
	here.ApplyTargetReports(now.Add(time.Second), reports)
	require.Equal(t, first, runRequest(here, now.Add(time.Second), "k", upstream.Abandoned), "the target has responded recently")
}

// TestTargetReportsEncoding checks that reports are encoded in at most six bytes each after a header
// of two, that a load and an age out of range are clamped and other values are decoded unchanged,
// and that truncated reports are refused.
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
	// A report has six bytes.
	truncated, err := msgpack.Marshal([]byte("12345"))
	require.NoError(t, err)
	require.ErrorIs(t, msgpack.Unmarshal(truncated, &got), upstream.ErrTruncatedTargetReports)
}
