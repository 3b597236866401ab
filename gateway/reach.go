package gateway

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/reach"
	"github.com/rainford/rainford/upstream"
)

const (
	// checkTimeout is how long a check waits for a connection to a target. Most are established
	// within one round trip, which takes up to 120 ms between regions.
	checkTimeout = 300 * time.Millisecond
	// checkPollInterval is the interval at which a due check is looked for while targets fail or are
	// lost.
	checkPollInterval = 50 * time.Millisecond
	// regainedDelay is how long an instance that reaches targets again still says that it has lost
	// them. Within that time the others learn that it did, and leave its part of the rate of cold
	// targets to it again.
	regainedDelay = 2 * time.Second
)

// reachability finds out whether this instance has lost its links to all targets. It is safe for
// concurrent use.
type reachability struct {
	clock *clock.Clock
	log   *slog.Logger
	// connect opens a connection to a target. sample returns up to n targets that are in service.
	connect func(t checkedTarget) error
	sample  func(n int) []checkedTarget
	// onRegained is called when the instance reaches targets again, and onSilent when it has lost them
	// and open connections don't work either.
	onRegained, onSilent func()
	// failing wakes the loop after the failure of a target, and after requests have stalled.
	failing chan struct{}
	// lost is the state of the tracker, for reading without the lock.
	lost atomic.Bool

	mu      sync.Mutex
	tracker reach.Tracker
	// answered are the targets that have answered last, the latest first.
	answered []checkedTarget
	// started are the targets that were first listed while the targets were lost. They have started since,
	// so that what was seen of the others says nothing of them.
	started []checkedTarget
	// dialing is canceled when the targets are lost, which ends the opening of connections for
	// requests.
	dialing       context.Context
	cancelDialing context.CancelFunc
	// waiting are the functions that wait for a proof that the instance reaches targets, or for the
	// opposite.
	waiting []waitingForProof
}

// checkedTarget is a target that a check connects to.
type checkedTarget struct{ id, addr string }

// maxAnswered is the number of targets that answered last that a check connects to. If any target is
// reached, it is likely to be one of these. The others are drawn, since all of these may be down.
const maxAnswered = 3

// waitingForProof is a function to call once the instance is known to have reached a target at a time
// after since (with true), or to have lost all targets (with false).
type waitingForProof struct {
	since time.Time
	call  func(reached bool)
}

func newReachability(g *Gateway) *reachability {
	dialing, cancel := context.WithCancel(context.Background())
	return &reachability{
		dialing:       dialing,
		cancelDialing: cancel,
		clock:         g.clock,
		log:           g.log,
		connect: func(t checkedTarget) error {
			return g.targets.Preconnect(t.id, t.addr, checkTimeout)
		},
		sample:     g.sampleTargets,
		onRegained: func() { g.pools.endSuspicions(g.clock.Now()) },
		onSilent:   g.targets.CloseIdle,
		failing:    make(chan struct{}, 1),
	}
}

// isLost reports whether this instance reaches no target.
func (r *reachability) isLost() bool { return r.lost.Load() }

// wasLostRecently reports whether this instance reaches no target, or did not until shortly before.
func (r *reachability) wasLostRecently(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Lost() || now.Sub(r.tracker.ChangedAt()) < regainedDelay
}

// dialContext returns the context of connections that are opened to a target for requests.
func (r *reachability) dialContext(id string) context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tracker.Lost() && r.hasStarted(id) {
		return context.Background()
	}
	return r.dialing
}

// dialIsSlow records that the opening of a connection to a target takes long.
func (r *reachability) dialIsSlow() {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.RequestCheck(now, reach.AtOnce)
	r.wake(now)
}

// start records that a request is sent to a target.
func (r *reachability) start() {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Start(now)
	r.wake(now)
}

// end records the end of an attempt that start was called for, with its result.
func (r *reachability) end(target upstream.Choice, a forward.Attempt) {
	now := r.clock.Now()
	outcome := a.TargetResult.Outcome
	answered := a.Response != nil || outcome == upstream.Rejected || outcome == upstream.Replaced
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.End(now, answered)
	if answered {
		r.rememberAnswer(checkedTarget{target.ID, target.Addr})
	}
	if a.Sent && !a.Reused {
		r.tracker.Connected(now.Add(-a.TargetResult.Latency))
		r.resolve()
	}
	if outcome == upstream.Unreachable || outcome == upstream.Broken {
		r.tracker.Failed(now, target.ID)
	}
	if outcome == upstream.Unreachable {
		// Others are told that the target is down only if it is not the fault of this instance.
		r.tracker.RequestCheck(now, reach.Soon)
	}
	r.wake(now)
}

// rememberAnswer moves a target to the front of those that have answered last. The caller holds mu.
func (r *reachability) rememberAnswer(t checkedTarget) {
	r.answered = slices.DeleteFunc(r.answered, func(other checkedTarget) bool { return other == t })
	r.answered = slices.Insert(r.answered, 0, t)
	r.answered = r.answered[:min(len(r.answered), maxAnswered)]
}

// targetStarted records that a target has been listed for the first time. While the targets are lost it is
// checked at once, and requests may open connections to it.
func (r *reachability) targetStarted(t checkedTarget) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.tracker.Lost() {
		return
	}
	r.started = append(r.started, t)
	r.tracker.TargetStarted()
	r.wake(now)
}

// mayDial reports whether a request may open a connection to a target: if the targets are not lost, or if
// the target has started since they were.
func (r *reachability) mayDial(id string) bool {
	if !r.isLost() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasStarted(id)
}

// hasStarted reports whether a target has started since the targets were lost. The caller holds mu.
func (r *reachability) hasStarted(id string) bool {
	return slices.ContainsFunc(r.started, func(t checkedTarget) bool { return t.id == id })
}

// targetsToCheck returns up to n targets: half of them at most have just started or answered last, and the
// others are drawn.
func (r *reachability) targetsToCheck(n int) []checkedTarget {
	r.mu.Lock()
	out := slices.Clone(r.started[max(0, len(r.started)-n/2):])
	if len(out) == 0 {
		out = slices.Clone(r.answered[:min(len(r.answered), n/2)])
	}
	r.mu.Unlock()
	for _, t := range r.sample(n) {
		if len(out) < n && !slices.Contains(out, t) {
			out = append(out, t)
		}
	}
	return out
}

// verify calls a function with true once a connection to any target shows that the instance itself
// has not lost its links, or with false if it has. Without a request that shows it, the instance opens
// a connection after the given delay.
func (r *reachability) verify(delay time.Duration, call func(reached bool)) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tracker.Lost() {
		go call(false)
		return
	}
	r.waiting = append(r.waiting, waitingForProof{since: now, call: call})
	r.tracker.RequestCheck(now, delay)
	r.wake(now)
}

// provenAt returns the latest time at which this instance is known to have reached a target.
func (r *reachability) provenAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.ProvenAt()
}

// resolve calls the functions that have waited long enough. The caller holds mu.
func (r *reachability) resolve() {
	lost, provenAt := r.tracker.Lost(), r.tracker.ProvenAt()
	kept := r.waiting[:0]
	for _, w := range r.waiting {
		if lost || !provenAt.Before(w.since) {
			go w.call(!lost)
			continue
		}
		kept = append(kept, w)
	}
	clear(r.waiting[len(kept):])
	r.waiting = kept
}

// wake wakes the loop if a check is due or may become due soon. The caller holds mu.
func (r *reachability) wake(now time.Time) {
	if !r.tracker.CheckDue(now) && r.tracker.IsIdle(now) {
		return
	}
	select {
	case r.failing <- struct{}{}:
	default:
	}
}

// loop makes the checks that are due, one after the other, until ctx ends.
func (r *reachability) loop(ctx context.Context) {
	for ctx.Err() == nil {
		size := r.checkSize()
		switch {
		case size > 0:
			if r.check(size) && !r.isLost() {
				r.onRegained()
			}
		case r.isIdle():
			select {
			case <-ctx.Done():
			case <-r.failing:
			}
		default:
			r.pause(ctx)
		}
	}
}

// pause waits for checkPollInterval or the next event.
func (r *reachability) pause(ctx context.Context) {
	timer := time.NewTimer(checkPollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.failing:
	case <-timer.C:
	}
}

// isIdle reports whether no check becomes due without a further event.
func (r *reachability) isIdle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.IsIdle(r.clock.Now())
}

// checkSize returns the number of targets to check now, or 0 if no check is due.
func (r *reachability) checkSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if !r.tracker.CheckDue(now) {
		return 0
	}
	return r.tracker.CheckSize(now)
}

// check tries to connect to up to n targets, all at the same time, until one is connected. It reports
// whether the targets have been lost or regained, and logs that.
func (r *reachability) check(n int) (changed bool) {
	c := reach.Check{StartedAt: r.clock.Now(), Size: n}
	lastErr := r.connectAny(&c, r.targetsToCheck(n))
	c.EndedAt = r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	failed, since, silent := r.tracker.FailedCount(c.EndedAt), r.tracker.ChangedAt(), r.tracker.IsSilent(c.EndedAt)
	changed = r.tracker.Checked(c)
	r.lost.Store(r.tracker.Lost())
	r.resolve()
	if c.Tried == 0 {
		// There is no other target by which to tell, so what was seen counts.
		r.resolveAll()
	}
	switch {
	case changed && r.tracker.Lost():
		r.log.Warn(logTargetsLost, "failed", failed, "checked", c.Tried, "silent", silent, "error", lastErr.Error())
		r.cancelDialing()
		r.started = nil
		if silent {
			r.onSilent()
		}
	case changed:
		r.dialing, r.cancelDialing = context.WithCancel(context.Background())
		r.started = nil
		r.log.Info(logTargetsRegained, "lost_ms", c.EndedAt.Sub(since).Milliseconds())
	}
	return changed
}

// connectAny connects to targets, all at the same time, until one is connected, and records the numbers
// in c. It returns the last error.
func (r *reachability) connectAny(c *reach.Check, targets []checkedTarget) error {
	results := make(chan error, len(targets))
	for _, t := range targets {
		go func() { results <- r.connect(t) }()
	}
	var lastErr error
	for range targets {
		c.Tried++
		err := <-results
		if err == nil {
			c.Connected++
			return nil
		}
		lastErr = err
	}
	return lastErr
}

// resolveAll calls all waiting functions with true. The caller holds mu.
func (r *reachability) resolveAll() {
	for _, w := range r.waiting {
		go w.call(true)
	}
	r.waiting = nil
}

// sampleTargets returns up to n targets that are in service by the list, chosen at random.
func (g *Gateway) sampleTargets(n int) []checkedTarget {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]checkedTarget, 0, n)
	// The iteration begins at a random entry.
	for _, spec := range g.targetList.specs {
		if len(out) == n {
			break
		}
		if !spec.Leaving && !g.evacuated[spec.Hall] {
			out = append(out, checkedTarget{spec.ID, spec.Addr})
		}
	}
	return out
}
