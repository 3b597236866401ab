package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/hedge"
	"github.com/rainford/rainford/quarantine"
	"github.com/rainford/rainford/upstream"
)

// maxTimerLag is how late the timer of a hedge may be. If it is later, this process has not run for a while.
// A response may have arrived that it has not read yet, and gets as much time to be read.
const maxTimerLag = 20 * time.Millisecond

// hedgeDelays holds how long nearly all attempts of each route take. It is safe for concurrent use.
type hedgeDelays struct {
	mu         sync.Mutex
	estimators map[comparableAttempts]*hedge.Estimator
}

// comparableAttempts identifies attempts whose durations are compared: those of one route, at targets that
// have the object of the request or at others.
type comparableAttempts struct {
	route string
	warm  bool
}

// isWarm reports whether the target of a decision probably has the object of the request.
func isWarm(d upstream.Decision) bool { return d.SendState.KeyKnown && !d.Target.Cold }

// record records the duration of an attempt that was answered.
func (h *hedgeDelays) record(now time.Time, ex *exchange, d upstream.Decision, r upstream.Result) {
	if r.Outcome != upstream.Answered {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.estimators == nil {
		h.estimators = make(map[comparableAttempts]*hedge.Estimator)
	}
	key := comparableAttempts{ex.route.Name, isWarm(d)}
	e := h.estimators[key]
	if e == nil {
		e = &hedge.Estimator{}
		h.estimators[key] = e
	}
	e.Record(now, r.Latency)
}

// delay returns how long after its start an attempt is hedged, or false if too little is known.
func (h *hedgeDelays) delay(now time.Time, route *catalog.Route, warm bool) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.estimators[comparableAttempts{route.Name, warm}]
	if e == nil {
		return 0, false
	}
	return e.Delay(now, route.LatencyObjective)
}

// usual returns how long an attempt of a route usually takes. The target of a hedge often does not have the
// object, so that the longer of the two medians counts.
func (h *hedgeDelays) usual(now time.Time, route *catalog.Route) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	longest := time.Duration(0)
	for _, warm := range []bool{false, true} {
		if e := h.estimators[comparableAttempts{route.Name, warm}]; e != nil {
			median, _ := e.Median(now)
			longest = max(longest, median)
		}
	}
	return longest
}

// usualTime returns the longest median of the attempts of all routes, or 0 if too little is known.
func (h *hedgeDelays) usualTime(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	longest := time.Duration(0)
	for _, e := range h.estimators {
		if median, ok := e.Median(now); ok {
			longest = max(longest, median)
		}
	}
	return longest
}

// expire drops the estimators of routes without recent responses.
func (h *hedgeDelays) expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, e := range h.estimators {
		if e.Expired(now) {
			delete(h.estimators, key)
		}
	}
}

// hedgeDelay returns how long after its start an attempt is hedged, or its target checked. The result is false
// if neither is done.
func (g *Gateway) hedgeDelay(ex *exchange, d upstream.Decision) (time.Duration, bool) {
	if ex.hedgeTried {
		return 0, false
	}
	now := g.clock.Now()
	delay, ok := g.hedging.delay(now, ex.route, isWarm(d))
	return delay, ok && now.Add(delay).Before(ex.deadline)
}

// mayHedge reports whether a request that was sent the given number of times before may be hedged.
func (g *Gateway) mayHedge(ex *exchange, sent int) bool {
	return ex.route.Kind == catalog.Idempotent && !ex.isTrial() && ex.handover == nil && sent+2 <= ex.maxAttempts()
}

// acquireHedge returns the target of a hedge, or why there is none.
func (g *Gateway) acquireHedge(ex *exchange, p *pool, request upstream.Request, first upstream.Decision) (d upstream.Decision, withheld string) {
	now := g.clock.Now()
	switch {
	case g.leaving.Load():
		return d, reasonStopping
	case g.reach.isLost():
		return d, reasonTargetsLost
	case now.Add(g.hedging.usual(now, ex.route)).After(ex.deadline):
		return d, string(upstream.ReasonLate)
	case !g.mayHedgeContent(ex):
		return d, reasonCrashesTargets
	}
	if _, ok := g.recheckKey(ex); !ok {
		return d, reasonKeyRevoked
	}
	request.Tried = append(slices.Clone(request.Tried), first.Target.ID)
	return p.acquireHedge(request)
}

// mayHedgeContent reports whether a second attempt of a request may run beside the first one, as far as the
// quarantine is concerned. A request under which a target has crashed, or may have, runs at one target at a time.
func (g *Gateway) mayHedgeContent(ex *exchange) bool {
	if !g.quarantine.nonEmpty.Load() {
		return true
	}
	if !g.isStillAllowed(ex) {
		return false
	}
	status, pending := g.quarantine.status(g.clock.Now(), ex.contentDigest())
	return status.Verdict == quarantine.Allowed && status.Crashes+pending == 0
}

// recordSilence records that a target has not responded to an attempt in time. If the target is suspected
// because of it, its idle connections are closed, since what made one of them silent may affect all.
func (g *Gateway) recordSilence(p *pool, target upstream.Choice, r upstream.Result) {
	if !r.Silent && r.Outcome != upstream.TimedOut || !p.isSuspected(target.ID) {
		return
	}
	g.targets.CloseIdleTo(target.ID, target.Addr)
	g.reach.targetSilent(target)
}
