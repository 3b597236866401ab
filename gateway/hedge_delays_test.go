package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/quarantine"
	"github.com/rainford/rainford/reach"
	"github.com/rainford/rainford/rollout"
	"github.com/rainford/rainford/upstream"
)

// newHedgedExchange returns a gateway with two targets, the decision on the first attempt of an idempotent
// request, and its exchange. The route's attempts take 50 ms, and the budgets hold a hedge.
func newHedgedExchange(t *testing.T) (*Gateway, *exchange, upstream.Request, upstream.Decision) {
	g := newTestGateway(t)
	router, err := catalog.NewRouter(&catalog.Config{Version: 1})
	require.NoError(t, err)
	g.router.Store(router)
	g.applyDelta(feed.Delta{Kind: KindTargets, To: feed.At(0, 1), Full: true, Changes: []feed.Change{change("i-1", false), change("i-2", false)}}, sourceStore)
	p := g.pools.get("s")
	p.retryBudget.SetCapacity(64, 1)
	for range 100 {
		p.recordArrival()
	}
	now := g.clock.Now()
	ex := &exchange{r: httptest.NewRequest("GET", "/x/", nil), ctx: t.Context(), id: "q", uri: "/x/", service: "s", version: 1, start: now,
		deadline: now.Add(time.Minute), route: &catalog.Route{Name: "r", Kind: catalog.Idempotent, MaxAttempts: 2}}
	request := g.upstreamRequest(ex)
	first := p.acquire(t.Context(), request)
	require.Equal(t, upstream.Send, first.Action)
	for range learnedAttempts {
		g.hedging.record(now, ex, first, upstream.Result{Latency: 50 * time.Millisecond})
	}
	return g, ex, request, first
}

// learnedAttempts is a number of attempts after which a route's attempts are hedged.
const learnedAttempts = 40

// TestHedgeDelay checks which attempts are hedged at all.
func TestHedgeDelay(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(ex *exchange)
		sent   int
		hedged bool
	}{
		{"idempotent", func(*exchange) {}, 0, true},
		{"non-idempotent", func(ex *exchange) { ex.route.Kind = catalog.NonIdempotent }, 0, false},
		{"upload", func(ex *exchange) { ex.route.Kind = catalog.Upload }, 0, false},
		{"no attempt left for it", func(*exchange) {}, 1, false},
		{"one attempt", func(ex *exchange) { ex.route.MaxAttempts = 1 }, 0, false},
		{"trial", func(ex *exchange) { ex.trial = quarantine.Digest{1} }, 0, false},
		{"handed over", func(ex *exchange) { ex.handover = &handoverRequest{attempts: 2} }, 0, false},
		{"hedged before", func(ex *exchange) { ex.hedgeTried = true }, 0, false},
		{"unknown route", func(ex *exchange) { ex.route.Name = "other" }, 0, false},
		{"deadline before the delay", func(ex *exchange) { ex.deadline = ex.start.Add(50 * time.Millisecond) }, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, ex, _, first := newHedgedExchange(t)
			c.change(ex)
			delay, ok := g.hedgeDelay(ex, first)
			require.Equal(t, c.hedged, ok && g.mayHedge(ex, c.sent))
			if ok {
				require.InDelta(t, 75, delay.Milliseconds(), 10)
			}
		})
	}
}

// TestWithheldHedge checks why a hedge is not sent when its delay has passed, and that it then costs nothing.
func TestWithheldHedge(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(g *Gateway, ex *exchange)
		withheld string
	}{
		{"sent", func(*Gateway, *exchange) {}, ""},
		{"planned stop", func(g *Gateway, _ *exchange) { g.leaving.Store(true) }, "stopping"},
		{"targets lost", func(g *Gateway, _ *exchange) { g.reach.lost.Store(true) }, "targets-lost"},
		{"less time than an attempt takes", func(g *Gateway, ex *exchange) { ex.deadline = g.clock.Now().Add(20 * time.Millisecond) }, "too-late"},
		{"a target may have crashed under it", func(g *Gateway, ex *exchange) {
			g.quarantine.correlator.RequestInterrupted(g.clock.Now(), "i-9", quarantine.InterruptedRequest{Digest: ex.contentDigest()})
			g.quarantine.updateNonEmpty()
		}, "ends-targets"},
		{"a target may have crashed under another one", func(g *Gateway, _ *exchange) {
			g.quarantine.correlator.RequestInterrupted(g.clock.Now(), "i-9", quarantine.InterruptedRequest{Digest: quarantine.Digest{1}})
			g.quarantine.updateNonEmpty()
		}, ""},
		{"no retry left", func(g *Gateway, _ *exchange) {
			for g.pools.get("s").spendRetry() {
			}
		}, "no-budget"},
		{"no hedge left", func(g *Gateway, _ *exchange) {
			for g.pools.get("s").hedgeBudget.Spend() {
			}
		}, "no-budget"},
		{"second target is suspected", func(g *Gateway, _ *exchange) {
			for _, id := range []string{"i-1", "i-2"} {
				g.pools.get("s").release(id, upstream.Result{Outcome: upstream.Unreachable})
			}
		}, "no-target"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, ex, request, first := newHedgedExchange(t)
			c.change(g, ex)
			p := g.pools.get("s")
			before := p.retryBudget.Available()
			d, withheld := g.acquireHedge(ex, p, request, first)
			require.Equal(t, c.withheld, withheld)
			if withheld == "" {
				require.NotEqual(t, first.Target.ID, d.Target.ID)
				require.InDelta(t, before-1, p.retryBudget.Available(), 1e-9)
				return
			}
			require.InDelta(t, before, p.retryBudget.Available(), 1e-9)
		})
	}
}

// TestOutpacedAttemptIsObserved guards against a slow version of a rollout that passes for a fast one because
// hedges end its slow attempts.
func TestOutpacedAttemptIsObserved(t *testing.T) {
	outpaced := upstream.Result{Outcome: upstream.Abandoned, Outpaced: true, Silent: true}
	outcome, conclusive := rolloutOutcome(outpaced)
	require.True(t, conclusive)
	require.Equal(t, rollout.Answered, outcome)
	outpaced.NotSent = true
	_, conclusive = rolloutOutcome(outpaced)
	require.False(t, conclusive, "the request has not reached the target")
	_, conclusive = rolloutOutcome(upstream.Result{Outcome: upstream.Abandoned})
	require.False(t, conclusive)
}

// TestSilentTargetIsReported checks that a target is reported to the check of the links once it is suspected
// because of missing responses, and not for a single one.
func TestSilentTargetIsReported(t *testing.T) {
	g, ex, request, first := newHedgedExchange(t)
	p := g.pools.get("s")
	silent := sentAttempt{decision: first, Attempt: forward.Attempt{Sent: true, TargetResult: upstream.Result{Outcome: upstream.Abandoned, Silent: true, Outpaced: true}}}
	for failed := range 2 {
		g.recordAttempt(ex, p, request, silent)
		require.Equal(t, failed, g.reach.tracker.FailedCount(g.clock.Now()))
	}
	require.Equal(t, reach.ProbeTargets, g.reach.tracker.CheckSize(g.clock.Now()), "one target is not enough for a check")
}

// TestLateTimer guards against hedges that are sent because this process has not run, while the response of the
// first attempt waits to be read.
func TestLateTimer(t *testing.T) {
	for _, late := range []bool{false, true} {
		g, ex, request, first := newHedgedExchange(t)
		h := &hedgedAttempt{g: g, ex: ex, p: g.pools.get("s"), request: request, first: first, dueAt: g.clock.Now()}
		if late {
			h.dueAt = h.dueAt.Add(-time.Second)
		}
		h.firstEnded = true
		began := time.Now()
		h.sendHedge()
		require.Nil(t, h.hedgeEnded)
		if late {
			require.GreaterOrEqual(t, time.Since(began), maxTimerLag)
		}
	}
}
