package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/upstream"
)

// sentAttempt is an attempt that has ended, with the decision on its target.
type sentAttempt struct {
	forward.Attempt
	decision upstream.Decision
	// took is the time from the start of the attempt to its end.
	took time.Duration
	// hedgeDelay is the time from the start of the first attempt to that of this one, if this is a hedge.
	hedgeDelay time.Duration
}

// sendAttempt sends the request to the target of a decision. It waits for a connection for at most
// dialTimeout, and only uses one that is open if that is 0. The aborter, if it is not nil, ends the attempt.
func (g *Gateway) sendAttempt(ex *exchange, header http.Header, p *pool, d upstream.Decision, dialTimeout time.Duration, aborter *forward.Aborter) sentAttempt {
	p.recordSent(d)
	startedAt := g.clock.Now()
	g.reach.start(d.Target)
	a := g.targets.Do(ex.ctx, &forward.Request{
		Method:        ex.r.Method,
		URI:           ex.uri,
		Host:          ex.r.Host,
		Header:        header,
		Body:          ex.body,
		ID:            ex.id,
		Account:       accountName(ex.account),
		Target:        d.Target.ID,
		TargetName:    d.Target.Name,
		Addr:          d.Target.Addr,
		Timeout:       ex.deadline.Sub(startedAt) - targetMargin,
		Deadline:      ex.deadline.Add(lateResponseMargin),
		NonIdempotent: ex.route.Kind != catalog.Idempotent,
		DialTimeout:   dialTimeout,
		IdleConnOnly:  dialTimeout == 0 || !g.reach.mayDial(d.Target.ID),
		DialContext:   g.reach.dialContext(d.Target),
		OnSlowDial:    func() { g.reach.dialIsSlow(d.Target) },
		MaySend:       func() bool { return p.maySend(d) },
		Aborter:       aborter,
		Memory:        ex.memory,

		ExchangeContext: g.exchangeContext(ex, d.Target),
	})
	g.reach.end(d.Target, a)
	endedAt := g.clock.Now()
	if a.TargetResult.Outcome == upstream.Abandoned && a.NoResponse && !endedAt.Before(ex.deadline) {
		// Clients leave at their deadline, shortly before the attempt would have timed out.
		a.TargetResult.Silent = true
	}
	return sentAttempt{Attempt: a, decision: d, took: endedAt.Sub(startedAt)}
}

// recordAttempt records an attempt for the choice of later targets, the analysis of a rollout, the
// quarantine, the metrics, the log and the delay of later hedges.
func (g *Gateway) recordAttempt(ex *exchange, p *pool, request upstream.Request, s sentAttempt) {
	decision, a := s.decision, s.Attempt
	a.TargetResult.SendState, a.TargetResult.NotSent = decision.SendState, !a.Sent
	g.observeLimit(decision, a)
	p.release(decision.Target.ID, a.TargetResult)
	g.recordSilence(p, decision.Target, a.TargetResult)
	g.recordObservation(ex, p, request, decision, a)
	g.metrics.attempt(ex.service, decision.Target, a.TargetResult)
	ex.recordAttempt(s)
	g.hedging.record(g.clock.Now(), ex, decision, a.TargetResult)
	g.observeAttempt(ex, decision.Target, a)
	if a.TargetResult.SelfReport.Leaving {
		g.recordDeparture(decision.Target.ID)
	}
}

// recordAttempt adds an attempt to those of the request's log line.
func (ex *exchange) recordAttempt(s sentAttempt) {
	d, a := s.decision, s.Attempt
	h := attemptRecord{
		Target:    d.Target.ID,
		Region:    d.Target.Region,
		Reason:    string(d.Reason),
		Load:      d.SendState.Load,
		Outcome:   a.Outcome.String(),
		Reused:    a.Reused,
		Surplus:   a.Surplus,
		TookMs:    a.TargetResult.Latency.Milliseconds(),
		ConnectMs: a.ConnectTime.Milliseconds(),
		Leaving:   a.TargetResult.SelfReport.Leaving,
		BackoffMs: a.TargetResult.SelfReport.Backoff.Milliseconds(),
	}
	if s.hedgeDelay > 0 {
		h.Hedge, h.HedgeAfterMs = true, s.hedgeDelay.Milliseconds()
	}
	h.Outpaced = errors.Is(a.Err, forward.ErrAborted)
	if a.TargetResult.SelfReport.HasLimit {
		h.Limit = &a.TargetResult.SelfReport.RateLimit
	}
	if a.Err != nil {
		h.Error = a.Err.Error()
	}
	ex.attempts = append(ex.attempts, h)
}

// progress is how far the attempts for a request have come.
type progress struct {
	// sent is the number of times that the request was sent to targets, and unsent the number of
	// attempts without sending.
	sent, unsent int
	// unknown is true if the outcome of one of these is unknown.
	unknown bool
	// unreachable is true if the last attempt could not connect to its target.
	unreachable bool
	// connect bounds the time for which the request waits for connections.
	connect retry.ConnectBudget
	// backoff is the Retry-After if no further attempt is made.
	backoff time.Duration
}

// record records an attempt without a response, and the target as tried.
func (s *progress) record(sent sentAttempt, request *upstream.Request) {
	a := sent.Attempt
	if a.Sent {
		s.sent++
	} else {
		s.unsent++
	}
	s.unknown = s.unknown || a.Outcome == retry.Unknown
	s.unreachable = a.TargetResult.Outcome == upstream.Unreachable
	s.connect.Spend(a.ConnectTime)
	if a.TargetResult.Outcome == upstream.Rejected && sent.decision.SendState.Load < 1 && !a.TargetResult.SelfReport.Restricts() {
		// The request may go to the same target again: it was not full, and it probably has the
		// object cached.
		s.backoff = shortRetryAfter
		return
	}
	s.backoff = retryAfterAttempt(a)
	request.Tried = append(request.Tried, sent.decision.Target.ID)
}
