package upstream_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/upstream"
)

var (
	leavingReport = availability.SelfReport{Leaving: true}
	backoffReport = availability.SelfReport{Backoff: 3 * time.Second}
)

// maxTypicalRetryAfter is the longest retry delay of a refused request when no target has requested
// a back-off: 3.5 typical latencies of 200 ms.
const maxTypicalRetryAfter = 700 * time.Millisecond

// withSelfReport returns the result of an attempt whose response contains a self-report.
func withSelfReport(outcome upstream.Outcome, report availability.SelfReport) upstream.Result {
	return upstream.Result{Outcome: outcome, SelfReport: report, Latency: time.Millisecond}
}

// firstOf returns the target that a key is granted, and releases it. It returns "" if there is
// none.
func firstOf(p *upstream.Pool, now time.Time, key string) string {
	d := p.Acquire(now, request(key))
	if d.Action != upstream.Send {
		return ""
	}
	p.Release(now, d.Target.ID, upstream.Result{Outcome: upstream.Abandoned})
	return d.Target.ID
}

// TestSelfReportAppliesToEveryOutcome checks that a self-report keeps requests from the target
// regardless of the outcome of the attempt that carried it.
func TestSelfReportAppliesToEveryOutcome(t *testing.T) {
	for _, outcome := range []upstream.Outcome{upstream.Answered, upstream.Rejected, upstream.Broken, upstream.Abandoned} {
		for name, report := range map[string]availability.SelfReport{"leaving": leavingReport, "back-off": backoffReport} {
			t.Run(outcome.String()+" "+name, func(t *testing.T) {
				p := newPool()
				p.SetTargets(start, specsInEachHall(3), nil)
				first := p.Acquire(start, request("k")).Target.ID
				require.True(t, p.MaySend(start, first, upstream.SendState{}))
				p.Release(start, first, withSelfReport(outcome, report))
				require.False(t, p.MaySend(start, first, upstream.SendState{}), "a request that was granted the target before")
				second := firstOf(p, start, "k")
				require.NotEqual(t, first, second)
				require.NotEmpty(t, second)
			})
		}
	}
}

// TestKeysReturnAfterBackoff checks that the keys of a target in a back-off go to one other target,
// and return when the back-off ends.
func TestKeysReturnAfterBackoff(t *testing.T) {
	p := newPool()
	p.SetTargets(start, specsInEachHall(3), nil)
	first := p.Acquire(start, request("k")).Target.ID
	p.Release(start, first, withSelfReport(upstream.Rejected, backoffReport))
	second := firstOf(p, start, "k")
	for at := start; at.Before(start.Add(backoffReport.Backoff)); at = at.Add(50 * time.Millisecond) {
		require.Equal(t, second, firstOf(p, at, "k"))
	}
	require.Equal(t, first, firstOf(p, start.Add(backoffReport.Backoff), "k"))
}

// TestAnswerDoesNotEndBackoff checks that the response to an earlier request does not end the
// back-off of a target.
func TestAnswerDoesNotEndBackoff(t *testing.T) {
	p := newPool()
	p.SetTargets(start, specsInEachHall(3), nil)
	first := p.Acquire(start, request("k")).Target.ID
	require.Equal(t, first, p.Acquire(start, request("k")).Target.ID)
	p.Release(start, first, withSelfReport(upstream.Rejected, backoffReport))
	p.Release(start, first, withSelfReport(upstream.Answered, availability.SelfReport{}))
	require.NotEqual(t, first, firstOf(p, start.Add(time.Second), "k"))
}

// TestSelfReportOverridesTargetList checks that a list entry, whether received before or after the
// target's announcement that it leaves, does not bring the target back, and that its next
// incarnation is used.
func TestSelfReportOverridesTargetList(t *testing.T) {
	specs := specsInEachHall(1)[:1]
	departed := availability.DepartureList{{ID: availability.IDOf(specs[0].ID)}}
	again := changedSpec(specs[0], func(s *catalog.Target) { s.ID += "#2" })
	for name, announce := range map[string]func(p *upstream.Pool){
		"announced before the list": func(p *upstream.Pool) {
			p.ApplyDepartures(start, departed, availability.SourcePeer)
			p.SetTargets(start, specs, nil)
		},
		"announced after the list": func(p *upstream.Pool) {
			p.SetTargets(start, specs, nil)
			require.Equal(t, []string{specs[0].ID}, p.ApplyDepartures(start, departed, availability.SourcePeer))
			require.Empty(t, p.ApplyDepartures(start, departed, availability.SourcePeer), "already known")
		},
		"announced in a response": func(p *upstream.Pool) {
			p.SetTargets(start, specs, nil)
			p.Release(start, p.Acquire(start, request("k")).Target.ID, withSelfReport(upstream.Answered, leavingReport))
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool()
			announce(p)
			require.Empty(t, firstOf(p, start, "k"))
			p.ChangeTargets(start, specs, nil, nil)
			require.Empty(t, firstOf(p, start, "k"), "an update that lists the target as serving")
			p.SetTargets(start, nil, nil)
			p.SetTargets(start, specs, nil)
			require.Empty(t, firstOf(p, start, "k"), "an entry that expired and is back")
			p.ChangeTargets(start, []*catalog.Target{again}, []string{specs[0].ID}, nil)
			require.Equal(t, again.ID, firstOf(p, start, "k"))
		})
	}
}

// TestRegionWithoutTargets checks that requests leave a region whose targets have all announced
// that they leave, and that the slots of these targets do not count any more.
func TestRegionWithoutTargets(t *testing.T) {
	p := newPool()
	specs := specsInEachHall(2)
	p.SetTargets(start, specs, nil)
	var departed availability.DepartureList
	for _, spec := range specs {
		if regionOfHall[spec.Hall] == "a" {
			departed = append(departed, availability.Departure{ID: availability.IDOf(spec.ID)})
		}
	}
	p.ApplyDepartures(start, departed, availability.SourcePeer)
	for _, key := range []string{"k1", "k2", "k3", "k4"} {
		d := p.Acquire(start, request(key))
		require.Equal(t, upstream.Send, d.Action)
		require.NotEqual(t, "a", d.Target.Region)
	}
}

// TestRefusedWhileAllBackOff checks that a request is refused at once while all its targets are in
// a back-off. Its caller is told to retry after the first back-off ends, and different callers get
// different times. A request waits if a back-off ends within its queue timeout.
func TestRefusedWhileAllBackOff(t *testing.T) {
	p := newPool()
	specs := specsInEachHall(1)[:2]
	p.SetTargets(start, specs, nil)
	for i, spec := range specs {
		backoff := time.Duration(2+i) * time.Second
		for p.MaySend(start, spec.ID, upstream.SendState{}) {
			d := p.Acquire(start, request("k"))
			p.Release(start, d.Target.ID, withSelfReport(upstream.Rejected, availability.SelfReport{Backoff: backoff}))
		}
	}
	delays := make(map[time.Duration]bool)
	for id := range uint64(50) {
		r := request("k")
		r.ID = id
		d := p.Acquire(start, r)
		require.Equal(t, upstream.Refuse, d.Action)
		require.Equal(t, upstream.ReasonBackoff, d.Reason)
		require.Greater(t, d.RetryAfter, 2*time.Second, "not before the first back-off ends")
		require.Less(t, d.RetryAfter, 3*time.Second+maxTypicalRetryAfter, "at most half of the remaining time and the usual retry delay")
		delays[d.RetryAfter] = true
	}
	require.Greater(t, len(delays), 25)
	require.Zero(t, p.Waiting())
	almost := start.Add(2*time.Second - 50*time.Millisecond)
	require.Equal(t, upstream.Wait, p.Acquire(almost, request("k")).Action)
	grants := p.Tick(start.Add(2 * time.Second))
	require.Len(t, grants, 1)
	require.Equal(t, upstream.Send, grants[0].Decision.Action)
}

// TestRefusedWhileAllLeave checks that a request is refused at once when all its targets are
// leaving.
func TestRefusedWhileAllLeave(t *testing.T) {
	p := newPool()
	specs := specsInEachHall(1)[:2]
	p.SetTargets(start, specs, nil)
	for _, spec := range specs {
		p.ApplyDepartures(start, availability.DepartureList{{ID: availability.IDOf(spec.ID)}}, availability.SourcePeer)
	}
	d := p.Acquire(start, request("k"))
	require.Equal(t, upstream.Refuse, d.Action)
	require.Equal(t, upstream.ReasonNoTarget, d.Reason)
	require.NotZero(t, d.RetryAfter)
}

// TestEveryChoiceHonorsSelfReport checks that every way to select a target excludes targets that
// are leaving or in a back-off: the first and the second target of a key, the least loaded target,
// the target of an isolated request, and the queue.
func TestEveryChoiceHonorsSelfReport(t *testing.T) {
	for name, report := range map[string]availability.SelfReport{"leaving": leavingReport, "back-off": backoffReport} {
		t.Run(name, func(t *testing.T) {
			p := newPool()
			specs := specsInEachHall(3)[:3]
			p.SetTargets(start, specs, nil)
			open := specs[0].ID
			queued := request("full")
			queued.ID, queued.QueueTimeout = 1, time.Minute
			for p.Acquire(start, queued).Action != upstream.Wait {
			}
			// Fill all targets. Then one request at each target but the first ends with a self-report.
			for _, spec := range specs[1:] {
				p.Release(start, spec.ID, withSelfReport(upstream.Abandoned, report))
			}
			alone := request("alone")
			alone.Isolated = true
			plain := request("plain")
			plain.Sticky = false
			for _, r := range []upstream.Request{request("k1"), request("k2"), alone, plain} {
				for {
					d := p.Acquire(start, r)
					if d.Action != upstream.Send {
						break
					}
					require.Equal(t, open, d.Target.ID)
				}
			}
			for _, spec := range specs {
				for _, g := range p.Release(start, spec.ID, upstream.Result{Outcome: upstream.Abandoned}) {
					require.Equal(t, open, g.Decision.Target.ID)
				}
			}
		})
	}
}
