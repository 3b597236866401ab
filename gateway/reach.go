package gateway

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/reach"
	"github.com/rainford/rainford/upstream"
)

const (
	// checkTimeout is how long a check waits for a connection to a target. Most are established
	// within one round trip, which takes up to 120 ms between regions.
	checkTimeout = 400 * time.Millisecond
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
	connect func(spec *catalog.Target) error
	sample  func(n int) []*catalog.Target
	// onRegained is called when the instance reaches targets again.
	onRegained func()
	// failing wakes the loop after the failure of a target, and after requests have stalled.
	failing chan struct{}
	// lost is the state of the tracker, for reading without the lock.
	lost atomic.Bool

	mu      sync.Mutex
	tracker reach.Tracker
}

func newReachability(g *Gateway) *reachability {
	return &reachability{
		clock: g.clock,
		log:   g.log,
		connect: func(spec *catalog.Target) error {
			return g.targets.Preconnect(spec.ID, spec.Addr, checkTimeout)
		},
		sample:     g.sampleTargets,
		onRegained: func() { g.pools.endSuspicions(g.clock.Now()) },
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

// start records that a request is sent to a target.
func (r *reachability) start() {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Start(now)
	r.wake(now)
}

// end records the end of an attempt that start was called for.
func (r *reachability) end(target string, a forward.Attempt) {
	now := r.clock.Now()
	outcome := a.TargetResult.Outcome
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.End(now, a.Response != nil || outcome == upstream.Rejected || outcome == upstream.Replaced)
	if a.Sent && !a.Reused {
		r.tracker.Connected()
	}
	if outcome == upstream.Unreachable || outcome == upstream.Broken {
		r.tracker.Failed(now, target)
	}
	r.wake(now)
}

// wake wakes the loop if a check is due or may become due soon. The caller holds mu.
func (r *reachability) wake(now time.Time) {
	if !r.tracker.CheckDue(now) && r.tracker.FailedCount(now) == 0 {
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
		if !r.isIdle() {
			pause.For(ctx, checkPollInterval)
		} else {
			select {
			case <-ctx.Done():
			case <-r.failing:
			}
		}
		size := r.checkSize()
		if size > 0 && r.check(size) && !r.isLost() {
			r.onRegained()
		}
	}
}

// isIdle reports whether no check becomes due without a further event.
func (r *reachability) isIdle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.tracker.Lost() && r.tracker.FailedCount(r.clock.Now()) == 0
}

// checkSize returns the number of targets to check now, or 0 if no check is due.
func (r *reachability) checkSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.tracker.CheckDue(r.clock.Now()) {
		return 0
	}
	return r.tracker.CheckSize()
}

// check tries to connect to up to n targets, all at the same time. It reports whether the targets have
// been lost or regained, and logs that.
func (r *reachability) check(n int) (changed bool) {
	targets := r.sample(n)
	results := make(chan error, len(targets))
	for _, spec := range targets {
		go func() { results <- r.connect(spec) }()
	}
	connected := 0
	var lastErr error
	for range targets {
		err := <-results
		if err != nil {
			lastErr = err
			continue
		}
		connected++
	}
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	failed, since := r.tracker.FailedCount(now), r.tracker.ChangedAt()
	if !r.tracker.Checked(now, len(targets), connected) {
		return false
	}
	r.lost.Store(r.tracker.Lost())
	if r.tracker.Lost() {
		r.log.Warn(logTargetsLost, "failed", failed, "checked", len(targets), "error", lastErr.Error())
		return true
	}
	r.log.Info(logTargetsRegained, "lost_ms", now.Sub(since).Milliseconds(), "checked", len(targets), "connected", connected)
	return true
}

// sampleTargets returns up to n targets that are in service by the list, chosen at random.
func (g *Gateway) sampleTargets(n int) []*catalog.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]*catalog.Target, 0, n)
	// The iteration begins at a random entry.
	for _, spec := range g.targetList.specs {
		if len(out) == n {
			break
		}
		if !spec.Leaving && !g.evacuated[spec.Hall] {
			out = append(out, spec)
		}
	}
	return out
}
