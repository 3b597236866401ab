package gateway

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/internal/mix"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/upstream"
)

const (
	// shortRetryAfter is the Retry-After if a target with free slots has rejected the request, or a
	// target that restricts its requests. In the first case that target may well accept the next
	// request, in the second another target may, and a response is then still in time. Clients'
	// timers hardly resolve shorter times.
	shortRetryAfter = 20 * time.Millisecond
	// maxUnsentAttempts is the number of attempts without sending after which a request may still
	// be tried again. They do not count as attempts that the route allows. The next attempt
	// without sending ends the request.
	maxUnsentAttempts = 3
	// queueTimeoutDivisor divides a route's latency objective to get its queue timeout. A client
	// that is refused after an eighth of the objective receives the refusal within a quarter of it,
	// including the network, and can still retry in time.
	queueTimeoutDivisor = 8
	defaultQueueTimeout = 250 * time.Millisecond
	// targetMargin is subtracted from the remaining time to get the timeout of the target.
	// lateResponseMargin is how long after the deadline the target's response is awaited. If the
	// target reports within that time that it never started the request, the client can be told
	// that the request may be repeated.
	targetMargin       = 10 * time.Millisecond
	lateResponseMargin = 60 * time.Millisecond
)

// reasonAnswered is the reason of a request that a target has answered.
const reasonAnswered = "answered"

// run sends the request to targets until one answers or no further attempt is allowed. If this
// instance reaches no target for it, another instance sends it.
func (g *Gateway) run(ex *exchange) (requestResult, *forward.Response) {
	defer g.endTrial(ex)
	p := g.pools.get(ex.service)
	if p == nil {
		return notRunResult("no-target", defaultRetryAfter), nil
	}
	if ex.handover == nil {
		p.recordArrival()
	}
	request := g.upstreamRequest(ex)
	header := forward.EndToEndHeaders(ex.r.Header)
	state := progress{backoff: defaultRetryAfter}
	defer func() { ex.recordProgress(state) }()
	for state.sent < ex.maxAttempts() && state.unsent <= maxUnsentAttempts {
		if g.reach.isLost() {
			final, done := g.runElsewhere(ex, p, &state, reasonTargetsLost)
			if done {
				return final.requestResult, final.response
			}
		}
		final, done := g.attempt(ex, p, &request, header, &state)
		if done {
			return final.requestResult, final.response
		}
	}
	if state.unreachable {
		final, done := g.runElsewhere(ex, p, &state, reasonUnreachable)
		if done {
			return final.requestResult, final.response
		}
	}
	reason := "no-attempt-left"
	if g.reach.isLost() {
		reason = reasonTargetsLost
	}
	return p.finalRefusal(request, state.unknown, reason, state.backoff), nil
}

// runElsewhere hands the request over to another instance, since this one does not reach its targets.
// One that was handed over to this instance is refused with the given reason, so that the instance it
// comes from tries another one. The result is false if no instance takes it.
func (g *Gateway) runElsewhere(ex *exchange, p *pool, state *progress, reason string) (finalResult, bool) {
	if ex.handover != nil {
		return withoutResponse(failedResult(state.unknown, reason, state.backoff)), true
	}
	if !ex.mayHandOver() || p.isUnreachableElsewhere() {
		return finalResult{}, false
	}
	return g.handOver(ex, p, state)
}

// attempt chooses a target for the request and sends it there. The result is true if the request ends
// with it.
func (g *Gateway) attempt(ex *exchange, p *pool, request *upstream.Request, header http.Header, state *progress) (finalResult, bool) {
	if result, ok := g.checkQuarantine(ex, state.unknown); !ok {
		return withoutResponse(result), true
	}
	if state.sent > 0 && !p.spendRetry() {
		return withoutResponse(p.finalRefusal(*request, state.unknown, "no-budget", state.backoff)), true
	}
	decision, final, ok := g.acquireTarget(ex, p, request, state)
	if !ok {
		return final, true
	}
	if !g.isStillAllowed(ex) {
		p.releaseUnsent(decision)
		return finalResult{}, false
	}
	if state.unreachable && decision.SendState.Probe && !g.reach.manyFail() {
		g.skipProbe(p, request, decision, state)
		return finalResult{}, false
	}
	if g.wouldWaitAgain(decision, state) {
		final, done := g.runElsewhere(ex, p, state, reasonUnreachable)
		if done {
			p.releaseUnsent(decision)
			return final, true
		}
	}
	last, other := g.sendWithHedge(ex, p, *request, header, state, decision)
	if a := last.Attempt; a.Response != nil {
		ex.answered = true
		g.bodySizes.record(ex.route.Name, len(ex.body)+len(a.Response.Body))
		return ex.clientResult(a.Response), true
	}
	if other != nil {
		state.record(*other, request)
	}
	state.record(last, request)
	if stop, result := g.afterAttempt(ex, last.Attempt, state.unknown); stop {
		return withoutResponse(result), true
	}
	return finalResult{}, false
}

// skipProbe releases a target that is suspected, so that the request goes to another one. It has waited for one
// that is down. Whether the other is up again is left to the next request.
func (g *Gateway) skipProbe(p *pool, request *upstream.Request, decision upstream.Decision, state *progress) {
	p.releaseUnsent(decision)
	state.unsent++
	request.Tried = append(request.Tried, decision.Target.ID)
}

// wouldWaitAgain reports whether a request that has waited for connections would have to open another one
// although no time is left for it, or while many targets fail, or would find out whether a target that is
// suspected is still down. While few fail, the next one can probably be connected to. A helper would begin
// with the target that has failed here, and wait for it as well.
func (g *Gateway) wouldWaitAgain(decision upstream.Decision, state *progress) bool {
	if state.unreachable && decision.SendState.Probe {
		return true
	}
	avoidsWait := state.connect.Limit() == 0 || state.unreachable && state.connect.HasWaited() && g.reach.manyFail()
	return avoidsWait && !g.targets.HasIdle(decision.Target.ID, decision.Target.Addr)
}

// finalResult is the result of a request that ends, with the response of a target if there is one.
type finalResult struct {
	requestResult
	response *forward.Response
}

// withoutResponse returns the final result of a request without the response of a target.
func withoutResponse(result requestResult) finalResult { return finalResult{requestResult: result} }

// acquireTarget waits for a target. If there is none, it returns the result of the request and false.
func (g *Gateway) acquireTarget(ex *exchange, p *pool, request *upstream.Request, state *progress) (upstream.Decision, finalResult, bool) {
	queuedAt := g.clock.Now()
	request.Isolated = ex.isTrial()
	decision := p.acquire(ex.ctx, *request)
	g.metrics.queueDuration.Record(g.clock.Since(queuedAt).Seconds(), ex.service)
	if decision.Action != upstream.Send {
		return decision, g.withoutTarget(ex, p, decision, state), false
	}
	result, ok := g.recheckKey(ex)
	if ok {
		return decision, finalResult{}, true
	}
	p.releaseUnsent(decision)
	if state.unknown {
		result = failedResult(true, result.reason, 0)
	}
	return decision, withoutResponse(result), false
}

// withoutTarget returns the result of a request for which this instance has no target. If that may be because
// it can't reach some, another instance may have one.
func (g *Gateway) withoutTarget(ex *exchange, p *pool, decision upstream.Decision, state *progress) finalResult {
	if decision.Unreachable || ex.handover == nil && g.mayLackConnections(decision.Reason) {
		final, done := g.runElsewhere(ex, p, state, reasonUnreachable)
		if done {
			return final
		}
	}
	return withoutResponse(failedResult(state.unknown, string(decision.Reason), decision.RetryAfter))
}

// mayLackConnections reports whether a request may be refused for the given reason because connections to
// targets can't be opened: requests that wait for these take the place of others, and targets that can't be
// connected to are suspected.
func (g *Gateway) mayLackConnections(reason upstream.Reason) bool {
	switch reason {
	case upstream.ReasonFull, upstream.ReasonQueueFull, upstream.ReasonNoTarget:
		return g.reach.halls.mayBeLost()
	default:
		return false
	}
}

// finalRefusal returns the result of a request that is not sent to another target. If none of the
// targets is available for a while, the result has that as its reason, and its Retry-After is the
// time until one is available. Otherwise the result has the given reason and Retry-After.
func (p *pool) finalRefusal(request upstream.Request, unknown bool, reason string, retryAfter time.Duration) requestResult {
	refusal, unavailable := p.refuseIfUnavailable(request)
	if unavailable {
		return failedResult(unknown, string(refusal.Reason), refusal.RetryAfter)
	}
	return failedResult(unknown, reason, retryAfter)
}

// clientResult returns the response for the client, given a target's response. A non-idempotent
// request needs care: clients take some statuses of an instance as a promise that the request has
// not run, and repeat it. The target has not made that promise, so the instance sends 502 in place
// of such a status.
func (ex *exchange) clientResult(answer *forward.Response) finalResult {
	if ex.route.Kind != catalog.Idempotent && impliesNotRun(answer.Status) {
		return withoutResponse(requestResult{status: http.StatusBadGateway, reason: "false-promise"})
	}
	return finalResult{requestResult{reason: reasonAnswered}, answer}
}

// impliesNotRun reports whether clients take a status to mean that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// retryAfterAttempt returns the Retry-After for the client if the given attempt was the last one.
// After a rejection by a target that has announced back-off, a limit or its departure, the client's
// next request goes to another target and can be sent soon.
func retryAfterAttempt(a forward.Attempt) time.Duration {
	if a.TargetResult.Outcome == upstream.Rejected && a.TargetResult.SelfReport.Restricts() {
		return shortRetryAfter
	}
	return defaultRetryAfter
}

// maxAttempts returns how often the request may be sent, to the same target or to different ones.
func (ex *exchange) maxAttempts() int {
	switch {
	case ex.isTrial():
		return 1
	case ex.handover != nil:
		return min(ex.handover.attempts, ex.route.MaxAttempts)
	default:
		return ex.route.MaxAttempts
	}
}

// upstreamRequest returns the requirements that the request has for a target.
func (g *Gateway) upstreamRequest(ex *exchange) upstream.Request {
	key := ex.r.Header.Get(g.headers.Key)
	request := upstream.Request{
		Key:          key,
		Sticky:       key != "",
		Regions:      ex.homeRegions,
		Priority:     catalog.PriorityOf(ex.route, ex.account),
		Heavy:        g.bodySizes.isHeavy(ex.route.Name, len(ex.body)),
		Deadline:     ex.deadline,
		QueueTimeout: defaultQueueTimeout,
		HandedOver:   ex.handover != nil,
	}
	if key == "" {
		request.Key = ex.id
	} else {
		// The key is qualified by the route, since the same key on another route names another
		// object.
		request.Key = ex.route.Name + "/" + key
	}
	if ex.route.LatencyObjective > 0 {
		request.QueueTimeout = ex.route.LatencyObjective / queueTimeoutDivisor
	}
	return request
}

// afterAttempt reports whether the request ends after an attempt without a response, and with which
// result. unknown is true if the outcome of this attempt or an earlier one is unknown.
func (g *Gateway) afterAttempt(ex *exchange, a forward.Attempt, unknown bool) (bool, requestResult) {
	late := !g.clock.Now().Before(ex.deadline)
	switch {
	case ex.ctx.Err() != nil:
		return true, requestResult{reason: reasonClientLeft}
	case a.Outcome == retry.NotRun && late && !unknown:
		return true, notRunResult("late-not-run", defaultRetryAfter)
	case a.Outcome == retry.NotRun && !late:
		return false, requestResult{}
	case late || errors.Is(a.Err, os.ErrDeadlineExceeded):
		return true, requestResult{status: http.StatusGatewayTimeout, reason: "timeout"}
	case !retry.Allowed(a.Outcome, ex.route.Kind == catalog.Idempotent):
		return true, requestResult{status: http.StatusBadGateway, reason: "unknown-outcome"}
	default:
		return false, requestResult{}
	}
}

// failedResult returns the result of a request that is not retried. It is a refusal, which tells
// the client that the request did not run, unless the outcome of an attempt is unknown.
func failedResult(unknown bool, reason string, retryAfter time.Duration) requestResult {
	if unknown {
		return requestResult{status: http.StatusBadGateway, reason: reason}
	}
	return notRunResult(reason, retryAfter)
}

func notRunResult(reason string, retryAfter time.Duration) requestResult {
	return requestResult{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// isSampled reports whether an ordinary request is logged. About one request in the
// given number is, chosen by its ID, and none if the number is 0.
func isSampled(id string, one int) bool {
	return one > 0 && mix.Pair(id, "log")%uint64(one) == 0
}
