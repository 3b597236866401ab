package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/reach"
	"github.com/rainford/rainford/upstream"
)

// hedgedAttempt is an attempt of which a hedge is sent if it has no response after a delay. It is a part of its
// exchange, which saves an allocation, and is used again for the next attempt unless its timer has expired.
type hedgedAttempt struct {
	g       *Gateway
	ex      *exchange
	p       *pool
	header  http.Header
	request upstream.Request
	first   upstream.Decision
	delay   time.Duration
	// dialTimeout is how long the hedge may wait for a connection.
	dialTimeout time.Duration
	// checkOnly means that no hedge is sent. Only the target is checked.
	checkOnly bool
	// dueAt is when the hedge is to be sent.
	dueAt time.Time
	state hedgeState

	// mu also guards the exchange from the time at which the hedge is started until both attempts have ended.
	mu sync.Mutex
	// firstEnded means that no hedge is started any more. hedgeEnded is nil if none was started, and closed when
	// it has ended.
	firstEnded bool
	hedgeEnded chan struct{}
	hedge      *sentAttempt
	// hedgeAnswered is true before the first attempt is aborted because the hedge was answered.
	hedgeAnswered atomic.Bool

	abortFirst, abortHedge forward.Aborter
}

// sendWithHedge sends the request to a target, and to a second one if the first has not responded when the
// hedge delay has passed, or checks the first target then if the request may not be hedged. It returns the
// attempt that was answered, or the last one, and the other if there was a hedge.
func (g *Gateway) sendWithHedge(ex *exchange, p *pool, request upstream.Request, header http.Header, state *progress, d upstream.Decision) (last sentAttempt, other *sentAttempt) {
	delay, ok := g.hedgeDelay(ex, d)
	if !ok {
		first := g.sendAttempt(ex, header, p, d, state.connect.Limit(), nil)
		g.recordAttempt(ex, p, request, first)
		return first, nil
	}
	h := &ex.hedge
	h.g, h.ex, h.p, h.header, h.request, h.first, h.delay, h.dueAt = g, ex, p, header, request, d, delay, g.clock.Now().Add(delay)
	h.dialTimeout = state.connect.HedgeLimit()
	h.checkOnly = !g.mayHedge(ex, state.sent)
	started := g.hedgeTimers.start(h)
	first := g.sendAttempt(ex, header, p, d, state.connect.Limit(), &h.abortFirst)
	if h.state.end(started) {
		g.recordAttempt(ex, p, request, first)
		return first, nil
	}
	ex.hedgeTried = true
	return h.join(first)
}

// sendHedge sends the second attempt unless the first one has ended, and checks the target of the first one.
// If there is no target for a hedge, an attempt at an unreachable target is ended, so that the request is sent
// to another one as after any failure.
func (h *hedgedAttempt) sendHedge() {
	if h.g.clock.Since(h.dueAt) > maxTimerLag {
		time.Sleep(maxTimerLag)
	}
	target := h.first.Target
	if h.checkOnly {
		h.g.checkTarget(h.p, target)
		return
	}
	d, ok := h.acquire()
	if !ok {
		if !h.isFirstEnded() && !h.g.checkTarget(h.p, target) && h.p.mayRetry() {
			h.abortFirst.Abort()
		}
		return
	}
	go h.g.checkTarget(h.p, target)
	defer close(h.hedgeEnded)
	hedge := h.g.sendAttempt(h.ex, h.header, h.p, d, h.dialTimeout, &h.abortHedge)
	hedge.hedgeDelay = h.delay
	if hedge.Response != nil {
		h.hedgeAnswered.Store(true)
		h.abortFirst.Abort()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hedge = &hedge
	h.g.recordAttempt(h.ex, h.p, h.request, hedge)
}

// isFirstEnded reports whether the first attempt has ended.
func (h *hedgedAttempt) isFirstEnded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.firstEnded
}

// acquire returns the target of the hedge, or false if the request is not hedged.
func (h *hedgedAttempt) acquire() (upstream.Decision, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.firstEnded || h.ex.ctx.Err() != nil {
		return upstream.Decision{}, false
	}
	d, withheld := h.g.acquireHedge(h.ex, h.p, h.request, h.first)
	if withheld != "" {
		h.g.metrics.hedgesWithheld.Add(1, h.ex.service, withheld)
		return d, false
	}
	h.hedgeEnded = make(chan struct{})
	return d, true
}

// join returns the result of both attempts after the first one has ended.
func (h *hedgedAttempt) join(first sentAttempt) (last sentAttempt, other *sentAttempt) {
	aborted := first.TargetResult.Outcome == upstream.Abandoned && h.abortFirst.Aborted()
	switch {
	case aborted && !h.hedgeAnswered.Load():
		// Its target is unreachable, and there was none for a hedge.
		first.TargetResult.Outcome = upstream.TimedOut
	case aborted:
		first.TargetResult.Outpaced = true
		first.TargetResult.Silent = first.NoResponse || !first.Sent
	}
	if first.Response != nil {
		h.abortHedge.Abort()
	}
	h.mu.Lock()
	h.firstEnded = true
	h.g.recordAttempt(h.ex, h.p, h.request, first)
	hedgeEnded := h.hedgeEnded
	h.mu.Unlock()
	if hedgeEnded == nil {
		return first, nil
	}
	<-hedgeEnded
	return h.result(first)
}

// result returns the attempt that was answered, or else the one that ended last, and the other one. It is
// called when both have ended.
func (h *hedgedAttempt) result(first sentAttempt) (last sentAttempt, other *sentAttempt) {
	outcome := hedgeFailed
	last, other = first, h.hedge
	switch {
	case first.Response != nil:
		outcome = hedgeLost
	case h.hedge.Response != nil:
		outcome = hedgeWon
		last, other = *h.hedge, &first
	case h.delay+h.hedge.took > first.took:
		last, other = *h.hedge, &first
	}
	h.g.metrics.hedges.Add(1, h.ex.service, outcome)
	if n := len(h.ex.attempts); h.ex.attempts[n-1].Hedge != (last.hedgeDelay > 0) {
		// The attempt that decides the result comes last.
		h.ex.attempts[n-1], h.ex.attempts[n-2] = h.ex.attempts[n-2], h.ex.attempts[n-1]
	}
	return last, other
}

// targetUnreachable records that a target has neither responded to a request nor accepted a connection.
func (r *reachability) targetUnreachable(target upstream.Choice) {
	now := r.clock.Now()
	r.halls.failed(now, target, reach.Unconnected)
	r.proveSoon(target)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Failed(now, target.ID)
	r.wake(now)
}

// targetSilent records that a target is suspected because attempts there had no response.
func (r *reachability) targetSilent(target upstream.Choice) {
	now := r.clock.Now()
	r.halls.failed(now, target, reach.Unanswered)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Failed(now, target.ID)
	r.wake(now)
}
