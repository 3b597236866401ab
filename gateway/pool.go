package gateway

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/ratelimit"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/upstream"
)

// queueTickInterval is how often requests that wait are looked at without an event.
const queueTickInterval = 20 * time.Millisecond

// pool is the targets of one service, with the requests that wait for them.
type pool struct {
	mu             sync.Mutex
	upstream       *upstream.Pool
	retryBudget    *retry.TokenBucket
	waiting        map[uint64]chan upstream.Decision
	lastID         uint64
	ticking        bool
	requestPermits func(asks []ratelimit.PermitRequest, silent []string)
	log            *slog.Logger
	clock          *clock.Clock
	// rollout is that of the service, nil if there was none.
	rollout atomic.Pointer[serviceRollout]
}

// update changes the pool and wakes the requests that this grants.
func (p *pool) update(change func(*upstream.Pool) []upstream.Grant) {
	p.mu.Lock()
	defer p.unlock()
	p.wake(change(p.upstream))
	p.logEvents()
}

// unlock releases mu and sends the questions for permits that came up meanwhile.
func (p *pool) unlock() {
	asks, silent := p.upstream.TakePermitRequests(), p.upstream.TakeUnresponsiveOwners()
	if p.upstream.AwaitingPermits() {
		p.tick()
	}
	p.mu.Unlock()
	if len(asks)+len(silent) > 0 {
		p.requestPermits(asks, silent)
	}
}

// maxTargetEventLines is the number of changes in the beliefs on targets that one cause brings
// and that are told in a line each. New targets and halls that are taken back bring
// hundreds at a time, at every instance.
const maxTargetEventLines = 4

// logEvents logs what has changed in the beliefs on targets. The log never blocks.
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

// logEventSummary logs many changes in one line: how many there are of each kind.
func (p *pool) logEventSummary(events []upstream.Event) {
	counts := make(map[upstream.EventKind]int)
	level := slog.LevelInfo
	for _, e := range events {
		counts[e.Kind]++
		level = max(level, p.eventLevel(e))
	}
	p.log.LogAttrs(context.Background(), level, logTargetEvents, slog.Int("changes", len(events)), slog.Any("beliefs", counts))
}

// longBackoff is the rest from which on operators should look: a target that is only full asks for
// seconds.
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

// acquire returns a target for the request, or a refusal. It waits in the queue
// if it must.
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

// abandon ends the wait of a request whose client has left.
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

// tick looks at the queue again and again while there is one. The caller holds
// mu.
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

// notSentResult is the result of a decision that nothing was sent by.
func notSentResult(d upstream.Decision) upstream.Result {
	return upstream.Result{Outcome: upstream.Abandoned, NotSent: true, SendState: d.SendState}
}

// releaseUnsent ends a decision that nothing was sent by.
func (p *pool) releaseUnsent(d upstream.Decision) { p.release(d.Target.ID, notSentResult(d)) }

func (p *pool) release(target string, r upstream.Result) {
	p.mu.Lock()
	defer p.unlock()
	p.wake(p.upstream.Release(p.clock.Now(), target, r))
	p.logEvents()
}

// maySend tells whether a request that was granted a target may still be sent there.
func (p *pool) maySend(d upstream.Decision) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstream.MaySend(p.clock.Now(), d.Target.ID, d.SendState)
}

// refuseIfUnavailable returns the refusal of a request if none of its targets may be sent to for a while.
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

func (p *pool) targetReports(now time.Time) upstream.TargetReports {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstream.TargetReports(now)
}

func (p *pool) applyTargetReports(now time.Time, seen upstream.TargetReports) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstream.ApplyTargetReports(now, seen)
	p.logEvents()
}

// recordArrival counts a request of a client for the budget of repeats.
func (p *pool) recordArrival() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget.Earn()
}

// spendRetry takes a repeat from the budget.
func (p *pool) spendRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget.Spend()
}
