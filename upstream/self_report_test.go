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

// maxTypicalRetryAfter is the longest time after which a refused request is told to come back where no
// target rests: three and a half usual times of 200 ms.
const maxTypicalRetryAfter = 700 * time.Millisecond

// withSelfReport returns the result of an attempt whose answer holds a target's word.
func withSelfReport(outcome upstream.Outcome, w availability.SelfReport) upstream.Result {
	return upstream.Result{Outcome: outcome, SelfReport: w, Latency: time.Millisecond}
}

// firstOf returns the target of a key, which is free again.
func firstOf(p *upstream.Pool, now time.Time, key string) string {
	d := p.Acquire(now, request(key))
	if d.Action != upstream.Send {
		return ""
	}
	p.Release(now, d.Target.ID, upstream.Result{Outcome: upstream.Abandoned})
	return d.Target.ID
}

// TestSelfReportAppliesToEveryOutcome checks that a target's word keeps requests from it
// however the attempt ended that brought it.
func TestSelfReportAppliesToEveryOutcome(t *testing.T) {
	for _, outcome := range []upstream.Outcome{upstream.Answered, upstream.Rejected, upstream.Broken, upstream.Abandoned} {
		for name, word := range map[string]availability.SelfReport{"leaves": leavingReport, "rests": backoffReport} {
			t.Run(outcome.String()+" "+name, func(t *testing.T) {
				p := newPool()
				p.SetTargets(start, spread(3), nil)
				first := p.Acquire(start, request("k")).Target.ID
				require.True(t, p.MaySend(start, first, upstream.SendState{}))
				p.Release(start, first, withSelfReport(outcome, word))
				require.False(t, p.MaySend(start, first, upstream.SendState{}), "a request that was granted it before")
				second := firstOf(p, start, "k")
				require.NotEqual(t, first, second)
				require.NotEmpty(t, second)
			})
		}
	}
}

// TestKeysReturnAfterBackoff checks that the keys of a target that rests go to one other target
// meanwhile, and back as soon as the rest is over.
func TestKeysReturnAfterBackoff(t *testing.T) {
	p := newPool()
	p.SetTargets(start, spread(3), nil)
	first := p.Acquire(start, request("k")).Target.ID
	p.Release(start, first, withSelfReport(upstream.Rejected, backoffReport))
	second := firstOf(p, start, "k")
	for at := start; at.Before(start.Add(backoffReport.Backoff)); at = at.Add(50 * time.Millisecond) {
		require.Equal(t, second, firstOf(p, at, "k"))
	}
	require.Equal(t, first, firstOf(p, start.Add(backoffReport.Backoff), "k"))
}

// TestAnswerDoesNotEndBackoff checks that the answer to a request that was on its way does not
// bring the next ones to a target that rests.
func TestAnswerDoesNotEndBackoff(t *testing.T) {
	p := newPool()
	p.SetTargets(start, spread(3), nil)
	first := p.Acquire(start, request("k")).Target.ID
	require.Equal(t, first, p.Acquire(start, request("k")).Target.ID)
	p.Release(start, first, withSelfReport(upstream.Rejected, backoffReport))
	p.Release(start, first, withSelfReport(upstream.Answered, availability.SelfReport{}))
	require.NotEqual(t, first, firstOf(p, start.Add(time.Second), "k"))
}

// TestSelfReportOverridesTargetList checks that a list that says that a target serves, before or after its
// own word, does not bring it back, and that its next incarnation is used.
func TestSelfReportOverridesTargetList(t *testing.T) {
	specs := spread(1)[:1]
	departed := availability.DepartureList{{ID: availability.IDOf(specs[0].ID)}}
	again := altered(specs[0], func(s *catalog.Target) { s.ID += "#2" })
	for name, tell := range map[string]func(p *upstream.Pool){
		"before the list": func(p *upstream.Pool) {
			p.ApplyDepartures(start, departed, availability.SourcePeer)
			p.SetTargets(start, specs, nil)
		},
		"after the list": func(p *upstream.Pool) {
			p.SetTargets(start, specs, nil)
			require.Equal(t, []string{specs[0].ID}, p.ApplyDepartures(start, departed, availability.SourcePeer))
			require.Empty(t, p.ApplyDepartures(start, departed, availability.SourcePeer), "known")
		},
		"by an answer": func(p *upstream.Pool) {
			p.SetTargets(start, specs, nil)
			p.Release(start, p.Acquire(start, request("k")).Target.ID, withSelfReport(upstream.Answered, leavingReport))
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool()
			tell(p)
			require.Empty(t, firstOf(p, start, "k"))
			p.ChangeTargets(start, specs, nil, nil)
			require.Empty(t, firstOf(p, start, "k"), "a change that says that it serves")
			p.SetTargets(start, nil, nil)
			p.SetTargets(start, specs, nil)
			require.Empty(t, firstOf(p, start, "k"), "an entry that lapsed and is back")
			p.ChangeTargets(start, []*catalog.Target{again}, []string{specs[0].ID}, nil)
			require.Equal(t, again.ID, firstOf(p, start, "k"))
		})
	}
}

// TestRegionWithoutTargets checks that requests leave a region all of whose targets have said
// that they leave, and that its slots do not count any more.
func TestRegionWithoutTargets(t *testing.T) {
	p := newPool()
	specs := spread(2)
	p.SetTargets(start, specs, nil)
	var departed availability.DepartureList
	for _, spec := range specs {
		if halls[spec.Hall] == "a" {
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

// TestRefusedWhileAllBackOff checks that a request is refused at once while all its targets rest,
// that its caller is told when the first one is back, and others other times; and that one
// waits whose targets are back soon enough for it.
func TestRefusedWhileAllBackOff(t *testing.T) {
	p := newPool()
	specs := spread(1)[:2]
	p.SetTargets(start, specs, nil)
	for i, spec := range specs {
		rest := time.Duration(2+i) * time.Second
		for p.MaySend(start, spec.ID, upstream.SendState{}) {
			d := p.Acquire(start, request("k"))
			p.Release(start, d.Target.ID, withSelfReport(upstream.Rejected, availability.SelfReport{Backoff: rest}))
		}
	}
	told := make(map[time.Duration]bool)
	for id := range uint64(50) {
		r := request("k")
		r.ID = id
		d := p.Acquire(start, r)
		require.Equal(t, upstream.Refuse, d.Action)
		require.Equal(t, upstream.ReasonBackoff, d.Reason)
		require.Greater(t, d.RetryAfter, 2*time.Second, "not before the first is back")
		require.Less(t, d.RetryAfter, 3*time.Second+maxTypicalRetryAfter, "at most half of what is left, and the usual time to come back")
		told[d.RetryAfter] = true
	}
	require.Greater(t, len(told), 25)
	require.Zero(t, p.Waiting())
	almost := start.Add(2*time.Second - 50*time.Millisecond)
	require.Equal(t, upstream.Wait, p.Acquire(almost, request("k")).Action)
	grants := p.Tick(start.Add(2 * time.Second))
	require.Len(t, grants, 1)
	require.Equal(t, upstream.Send, grants[0].Decision.Action)
}

// TestRefusedWhileAllLeave checks that a request is refused at once when all its targets leave.
func TestRefusedWhileAllLeave(t *testing.T) {
	p := newPool()
	specs := spread(1)[:2]
	p.SetTargets(start, specs, nil)
	for _, spec := range specs {
		p.ApplyDepartures(start, availability.DepartureList{{ID: availability.IDOf(spec.ID)}}, availability.SourcePeer)
	}
	d := p.Acquire(start, request("k"))
	require.Equal(t, upstream.Refuse, d.Action)
	require.Equal(t, upstream.ReasonNoTarget, d.Reason)
	require.NotZero(t, d.RetryAfter)
}

// TestEveryChoiceHonorsSelfReport checks that no way to a target passes by what it said: the first
// place of a key, the second, the least loaded target, a request sent alone, the queue.
func TestEveryChoiceHonorsSelfReport(t *testing.T) {
	for name, word := range map[string]availability.SelfReport{"leaves": leavingReport, "rests": backoffReport} {
		t.Run(name, func(t *testing.T) {
			p := newPool()
			specs := spread(3)[:3]
			p.SetTargets(start, specs, nil)
			open := specs[0].ID
			queued := request("full")
			queued.ID, queued.QueueTimeout = 1, time.Minute
			for p.Acquire(start, queued).Action != upstream.Wait {
			}
			// Fill each target, and let each of the others speak with its last request.
			for _, spec := range specs[1:] {
				p.Release(start, spec.ID, withSelfReport(upstream.Abandoned, word))
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
