package gateway

import (
	"context"
	"log/slog"
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

// reachability finds out whether this instance has lost its links to all targets, or to those of a hall.
// It is safe for concurrent use.
type reachability struct {
	clock *clock.Clock
	log   *slog.Logger
	// connect opens a connection to a target. sample returns up to n targets that are in service.
	connect func(t reach.Target) error
	sample  func(n int) []reach.Target
	// onRegained is called when the instance reaches targets again, and onSilent when it has lost them
	// and open connections don't work either.
	onRegained, onSilent func()
	// halls finds out which halls are lost.
	halls *hallLinks
	// failing wakes the loop after the failure of a target, and after requests have stalled.
	failing chan struct{}
	// lost is the state of the tracker, for reading without the lock.
	lost atomic.Bool

	mu      sync.Mutex
	tracker reach.Tracker
	proofs  reach.Proofs
	// recent are the targets that have answered last, and those that have started while the targets
	// were lost, which started holds by ID. What was seen of the others says nothing of these.
	recent  reach.Recent
	started map[string]bool
	// dialing is canceled when the targets are lost, which ends the opening of connections for
	// requests.
	dialing       context.Context
	cancelDialing context.CancelFunc
}

func newReachability(g *Gateway) *reachability {
	r := &reachability{
		clock:      g.clock,
		log:        g.log,
		connect:    g.connectTo,
		sample:     g.sampleTargets,
		onRegained: func() { g.pools.endSuspicions(g.clock.Now()) },
		onSilent:   g.targets.CloseIdle,
		failing:    make(chan struct{}, 1),
		started:    make(map[string]bool),
	}
	r.halls = newHallLinks(g, r)
	r.dialing, r.cancelDialing = context.WithCancel(context.Background())
	return r
}

// isLost reports whether this instance reaches no target.
func (r *reachability) isLost() bool { return r.lost.Load() }

// wasLostRecently reports whether this instance reaches no target, or did not until shortly before.
func (r *reachability) wasLostRecently(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Lost() || now.Sub(r.tracker.ChangedAt()) < regainedDelay
}

// manyFail reports whether so many targets have failed lately that the cause may be the links of this instance.
func (r *reachability) manyFail() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.FailedCount(r.clock.Now()) >= minProvingHall
}

// dialContext returns the context of connections that are opened to a target for requests.
func (r *reachability) dialContext(target upstream.Choice) context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tracker.Lost() && r.started[target.ID] {
		return context.Background()
	}
	return r.halls.dialContext(r.dialing, target.Hall)
}

// dialIsSlow records that the opening of a connection to a target takes long.
func (r *reachability) dialIsSlow(target upstream.Choice) {
	now := r.clock.Now()
	r.halls.failed(now, target, reach.Unconnected)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.RequestCheck(now, reach.AtOnce)
	r.wake(now)
}

// start records that a request is sent to a target.
func (r *reachability) start(target upstream.Choice) {
	now := r.clock.Now()
	r.halls.start(now, target)
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
	connectedAt := time.Time{}
	if a.Sent && !a.Reused {
		connectedAt = now.Add(-a.TargetResult.Latency)
	}
	r.halls.end(now, target, outcome, answered, connectedAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.End(now, answered)
	if answered {
		r.recent.Add(checkedTarget(target))
	}
	if !connectedAt.IsZero() {
		r.tracker.Connected(connectedAt)
		r.call(r.proofs.Resolve(&r.tracker))
	}
	if outcome == upstream.Unreachable || outcome == upstream.Broken {
		r.tracker.Failed(now, target.ID)
	}
	if outcome == upstream.Unreachable {
		r.proveSoon(target)
	}
	r.wake(now)
}

// targetStarted records that a target has been listed for the first time. While the targets are lost it is
// checked at once, and requests may open connections to it.
func (r *reachability) targetStarted(t reach.Target) {
	now := r.clock.Now()
	r.halls.targetStarted(t)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.tracker.Lost() {
		return
	}
	r.started[t.ID] = true
	r.recent.Add(t)
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
	return r.started[id]
}

// targetsToCheck returns up to n targets: half of them at most have just started or answered last, and the
// others are drawn.
func (r *reachability) targetsToCheck(n int) []reach.Target {
	drawn := r.sample(n)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recent.Pick(n, drawn)
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
	r.proofs.Add(now, call)
	r.tracker.RequestCheck(now, delay)
	r.wake(now)
}

// requestCheck requests a check of all targets at once.
func (r *reachability) requestCheck() {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.RequestCheck(now, reach.AtOnce)
	r.wake(now)
}

// provenAt returns the latest time at which this instance is known to have reached a target.
func (r *reachability) provenAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.ProvenAt()
}

// call calls functions whose wait for a proof has ended.
func (r *reachability) call(ended []func()) {
	for _, f := range ended {
		go f()
	}
}

// wake wakes the loop if a check is due or may become due soon. The caller holds mu.
func (r *reachability) wake(now time.Time) {
	if !r.tracker.CheckDue(now) && r.tracker.IsIdle(now) {
		return
	}
	signal(r.failing)
}

// loop makes the checks that are due, one after the other, until ctx ends.
func (r *reachability) loop(ctx context.Context) {
	for ctx.Err() == nil {
		size := r.checkSize()
		switch {
		case size > 0:
			if r.check(size) {
				r.halls.reset()
				if !r.isLost() {
					r.onRegained()
				}
			}
		case r.isIdle():
			awaitSignal(ctx, r.failing)
		default:
			awaitSignalFor(ctx, r.failing, checkPollInterval)
		}
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
	c := reach.Check{StartedAt: r.clock.Now(), Size: n, Timeout: checkTimeout}
	targets := r.targetsToCheck(n)
	c.Tried = len(targets)
	reached, lastErr := tryAny(targets, r.connect)
	if lastErr == nil && c.Tried > 0 {
		c.Connected = 1
		r.halls.connected(c.StartedAt, reached)
	}
	c.EndedAt = r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	failed, since, silent := r.tracker.FailedCount(c.EndedAt), r.tracker.ChangedAt(), r.tracker.IsSilent(c.EndedAt)
	changed = r.tracker.Checked(c)
	r.lost.Store(r.tracker.Lost())
	r.call(r.proofs.Resolve(&r.tracker))
	if c.Tried == 0 {
		r.call(r.proofs.ResolveAll())
	}
	switch {
	case changed && r.tracker.Lost():
		r.log.Warn(logTargetsLost, "failed", failed, "checked", c.Tried, "silent", silent, "error", lastErr.Error())
		r.cancelDialing()
		clear(r.started)
		if silent {
			r.onSilent()
		}
	case changed:
		r.dialing, r.cancelDialing = context.WithCancel(context.Background())
		clear(r.started)
		r.log.Info(logTargetsRegained, "lost_ms", c.EndedAt.Sub(since).Milliseconds())
	}
	return changed
}
