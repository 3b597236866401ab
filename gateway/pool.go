package gateway

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/hedge"
	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/ratelimit"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/upstream"
)

// queueTickInterval is the interval at which the queue and the pending permit requests are checked in
// the absence of events.
const queueTickInterval = 20 * time.Millisecond

// pool holds the targets of one service and the requests that wait for them. It is safe for
// concurrent use.
type pool struct {
	mu             sync.Mutex
	upstream       *upstream.Pool
	retryBudget    *retry.TokenBucket
	hedgeBudget    hedge.Budget
	waiting        map[uint64]chan upstream.Decision
	lastID         uint64
	ticking        bool
	requestPermits func(requests []ratelimit.PermitRequest, unresponsive []string)
	log            *slog.Logger
	clock          *clock.Clock
	// rollout is the latest rollout of the service, nil if there was none.
	rollout atomic.Pointer[serviceRollout]
	// unreachableElsewhere is the time, in nanoseconds of Unix time, at which other instances last did
	// not reach the targets either.
	unreachableElsewhere atomic.Int64
}

// elsewherePause is how long no request is handed over after other instances did not reach its targets
// either.
const elsewherePause = 500 * time.Millisecond

// setUnreachableElsewhere records that other instances do not reach the targets either.
func (p *pool) setUnreachableElsewhere() { p.unreachableElsewhere.Store(p.clock.Now().UnixNano()) }

// isUnreachableElsewhere reports whether other instances recently did not reach the targets either.
func (p *pool) isUnreachableElsewhere() bool {
	return p.clock.Since(time.Unix(0, p.unreachableElsewhere.Load())) < elsewherePause
}

// update changes the pool and wakes the requests that the change grants a target.
func (p *pool) update(change func(*upstream.Pool) []upstream.Grant) {
	p.mu.Lock()
	defer p.unlock()
	p.wake(change(p.upstream))
	p.logEvents()
}

// unlock releases mu and sends the permit requests that have accumulated meanwhile.
func (p *pool) unlock() {
	requests, unresponsive := p.upstream.TakePermitRequests(), p.upstream.TakeUnresponsiveOwners()
	if p.upstream.AwaitingPermits() {
		p.tick()
	}
	p.mu.Unlock()
	if len(requests)+len(unresponsive) > 0 {
		p.requestPermits(requests, unresponsive)
	}
}

// maxTargetEventLines is the number of target state changes at a time up to which each is
// logged in a line of its own. New targets, or halls that return to service, bring hundreds of
// changes at a time at every instance.
const maxTargetEventLines = 4

// logEvents logs changes in the states of targets. Logging never blocks.
func (p *pool) logEvents() {
	events := p.upstream.TakeEvents()
	if len(events) > maxTargetEventLines {
		p.logEventSummary(events)
		return
	}
	for _, e := range events {
		attrs := []slog.Attr{slog.String("target", e.Target), slog.String("belief", string(e.Kind)),
			slog.String("cause", e.Cause.String()), slog.Int("in_flight", e.InFlight), slog.Int("failures", e.Failures)}
		if !e.Until.IsZero() {
			attrs = append(attrs, slog.Int64("for_ms", p.clock.Until(e.Until).Milliseconds()))
		}
		p.log.LogAttrs(context.Background(), p.eventLevel(e), logTargetEvent, attrs...)
	}
}

// logEventSummary logs many changes in one line, with their number by kind.
func (p *pool) logEventSummary(events []upstream.Event) {
	counts := make(map[upstream.EventKind]int)
	level := slog.LevelInfo
	for _, e := range events {
		counts[e.Kind]++
		level = max(level, p.eventLevel(e))
	}
	p.log.LogAttrs(context.Background(), level, logTargetEvents, slog.Int("changes", len(events)), slog.Any("beliefs", counts))
}

// longBackoff is the requested back-off above which a warning is logged. A target that is merely
// full requests seconds.
const longBackoff = time.Minute

func (p *pool) eventLevel(e upstream.Event) slog.Level {
	switch e.Kind {
	case upstream.EventSuspected, upstream.EventReplaced:
		return slog.LevelWarn
	case upstream.EventBackoff:
		if p.clock.Until(e.Until) > longBackoff {
			return slog.LevelWarn
		}
	}
	return slog.LevelInfo
}

func (p *pool) wake(grants []upstream.Grant) {
	for _, grant := range grants {
		wait := p.waiting[grant.ID]
		if wait != nil {
			delete(p.waiting, grant.ID)
			wait <- grant.Decision
		}
	}
}

// acquire returns a target for the request, or a refusal. It waits in the queue if necessary.
func (p *pool) acquire(ctx context.Context, r upstream.Request) upstream.Decision {
	p.mu.Lock()
	p.lastID++
	r.ID = p.lastID
	decision := p.upstream.Acquire(p.clock.Now(), r)
	if decision.Action != upstream.Wait {
		p.unlock()
		return decision
	}
	wait := make(chan upstream.Decision, 1)
	p.waiting[r.ID] = wait
	p.tick()
	p.unlock()
	select {
	case decision = <-wait:
		return decision
	case <-ctx.Done():
		return p.abandon(r.ID, wait)
	}
}

// abandon ends the wait of a request whose client has disconnected.
func (p *pool) abandon(id uint64, wait chan upstream.Decision) upstream.Decision {
	p.mu.Lock()
	defer p.unlock()
	delete(p.waiting, id)
	p.upstream.Cancel(id)
	select {
	case granted := <-wait:
		if granted.Action == upstream.Send {
			p.wake(p.upstream.Release(p.clock.Now(), granted.Target.ID, notSentResult(granted)))
		}
	default:
	}
	return upstream.Decision{Action: upstream.Refuse, Reason: upstream.ReasonLate}
}

// tick schedules the next check of the queue. The caller holds mu.
func (p *pool) tick() {
	if p.ticking {
		return
	}
	p.ticking = true
	time.AfterFunc(queueTickInterval, p.onTick)
}

func (p *pool) onTick() {
	p.mu.Lock()
	defer p.unlock()
	p.ticking = false
	p.wake(p.upstream.Tick(p.clock.Now()))
	if p.upstream.Waiting() > 0 {
		p.tick()
	}
}

// notSentResult returns the result of a decision for which no request was sent.
func notSentResult(d upstream.Decision) upstream.Result {
	return upstream.Result{Outcome: upstream.Abandoned, NotSent: true, SendState: d.SendState}
}

// releaseUnsent ends a decision for which no request was sent.
func (p *pool) releaseUnsent(d upstream.Decision) { p.release(d.Target.ID, notSentResult(d)) }

func (p *pool) release(target string, r upstream.Result) {
	p.mu.Lock()
	defer p.unlock()
	p.wake(p.upstream.Release(p.clock.Now(), target, r))
	p.logEvents()
}

// maySend reports whether a request that was granted a target may still be sent to it.
func (p *pool) maySend(d upstream.Decision) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstream.MaySend(p.clock.Now(), d.Target.ID, d.SendState)
}

// refuseIfUnavailable returns a refusal and true if none of the request's targets is available for
// a while.
func (p *pool) refuseIfUnavailable(r upstream.Request) (upstream.Decision, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstream.RefuseIfUnavailable(p.clock.Now(), r)
}

func (p *pool) applyDepartures(now time.Time, departures availability.DepartureList, source availability.Source) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.logEvents()
	return p.upstream.ApplyDepartures(now, departures, source)
}

func (p *pool) targetReports(now time.Time, provenIn func(hall string) time.Time) upstream.TargetReports {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstream.TargetReports(now, provenIn)
}

func (p *pool) applyTargetReports(now time.Time, seen upstream.TargetReports) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstream.ApplyTargetReports(now, seen)
	p.logEvents()
}

// recordArrival counts a client's request, which earns a part of a retry and of a hedge.
func (p *pool) recordArrival() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget.Earn()
	p.hedgeBudget.Earn()
}

// acquireHedge returns the target of a hedge, which is then paid for, or why there is none. It does not wait.
func (p *pool) acquireHedge(r upstream.Request) (d upstream.Decision, withheld string) {
	p.mu.Lock()
	defer p.unlock()
	if p.retryBudget.Available() < 1 || !p.hedgeBudget.HasHedge() {
		return d, "no-budget"
	}
	p.lastID++
	r.ID = p.lastID
	d = p.upstream.AcquireHedge(p.clock.Now(), r)
	if d.Action != upstream.Send {
		return d, string(d.Reason)
	}
	p.retryBudget.Spend()
	p.hedgeBudget.Spend()
	return d, ""
}

// recordUnreachable records that no connection to a target could be established while no request opened one.
func (p *pool) recordUnreachable(target string) {
	now := p.clock.Now()
	p.update(func(u *upstream.Pool) []upstream.Grant { return u.RecordUnreachable(now, target) })
}

// isSuspected reports whether a target is suspected to have failed.
func (p *pool) isSuspected(target string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstream.IsSuspected(target)
}

// mayRetry reports whether the budget holds a retry.
func (p *pool) mayRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget.Available() >= 1
}

// isUnreachable reports whether a target is suspected because it could not be connected to.
func (p *pool) isUnreachable(target string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstream.IsUnreachable(target)
}

// spendRetry takes one retry from the budget. It reports false if the budget is exhausted.
func (p *pool) spendRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget.Spend()
}
