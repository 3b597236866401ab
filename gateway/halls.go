package gateway

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/reach"
	"github.com/rainford/rainford/upstream"
)

// hallLinks finds out which halls this instance has lost its links to. It is safe for concurrent use.
type hallLinks struct {
	clock *clock.Clock
	log   *slog.Logger
	// connect opens a connection to a target, and respond sends it a health request. sample returns up
	// to n targets of a hall that are in service.
	connect, respond func(reach.Target) error
	sample           func(hall string, n int) []reach.Target
	// all is the state of the links to all targets. While these are lost, no hall is checked.
	all *reachability
	// onLost is called with all lost halls when one has been lost, and onRegained when the given one
	// has been regained, whose first failures were seen at since. onSilent is called with a lost hall
	// whose targets don't respond on open connections, and again when such a hall is regained.
	onLost     func(lost map[string]bool)
	onRegained func(lost map[string]bool, hall string, since time.Time)
	onSilent   func(hall string)
	failing    chan struct{}
	// anyLost is true while a hall is lost, for reading without the lock.
	anyLost atomic.Bool

	// changing is held while a change takes effect, so that changes do so in their order.
	changing sync.Mutex

	mu      sync.Mutex
	tracker reach.Halls
	// recent holds, by hall, the targets that have answered or started last, and responsive the target
	// to which the last check has connected.
	recent     map[string]*reach.Recent
	responsive map[string]reach.Target
	// proving holds the halls to which a connection is opened to find out whether a failure of a target
	// is due to the links of this instance.
	proving map[string]bool
	// dialing and exchanging hold, by hall, the contexts of connections that are opened for requests and
	// of requests that wait for their response.
	dialing, exchanging map[string]cancelable
}

func newHallLinks(g *Gateway, all *reachability) *hallLinks {
	return &hallLinks{
		clock:   g.clock,
		log:     g.log,
		connect: g.connectTo,
		respond: g.checkHealth,
		sample:  g.sampleHall,
		all:     all,
		onLost:  func(lost map[string]bool) { g.pools.setUnreachableHalls(g.clock.Now(), lost) },
		onRegained: func(lost map[string]bool, hall string, since time.Time) {
			g.pools.endSuspicionsIn(g.clock.Now(), hall, since)
			g.pools.setUnreachableHalls(g.clock.Now(), lost)
		},
		onSilent:   g.closeIdleIn,
		failing:    make(chan struct{}, 1),
		recent:     make(map[string]*reach.Recent),
		responsive: make(map[string]reach.Target),
		proving:    make(map[string]bool),
		dialing:    make(map[string]cancelable),
		exchanging: make(map[string]cancelable),
	}
}

// hasLostHalls reports whether this instance has lost its links to any hall.
func (r *reachability) hasLostHalls() bool { return r.halls.anyLost.Load() }

// isHallLost reports whether this instance has lost its links to a hall, or to all.
func (r *reachability) isHallLost(hall string) bool {
	return r.isLost() || r.hasLostHalls() && r.halls.isLost(hall)
}

func (h *hallLinks) isLost(hall string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.IsLost(hall)
}

// mayBeLost reports whether connections to a hall have failed, or take long to open, and none has been opened
// there since.
func (h *hallLinks) mayBeLost() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.MayBeLost(h.clock.Now())
}

// lost returns the lost halls in order of their names.
func (h *hallLinks) lost() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.Lost()
}

// allLostBut reports whether all halls with targets except for the given one are lost.
func (h *hallLinks) allLostBut(hall string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.AllLostBut(hall)
}

// inspect requests checks of the halls other than the given one none of whose targets has been reached
// since a time.
func (h *hallLinks) inspect(halls map[string]string, except string, since time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for hall := range halls {
		if hall != except {
			h.tracker.Inspect(hall, since)
		}
	}
	signal(h.failing)
}

func (h *hallLinks) setSizes(sizes map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.SetSizes(sizes)
}

// connectedAt returns the latest time at which this instance is known to have reached a target of a hall.
func (h *hallLinks) connectedAt(hall string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.ConnectedAt(hall)
}

// start records that a request is sent to a target.
func (h *hallLinks) start(now time.Time, target upstream.Choice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.Start(now, target.Hall, target.ID)
	h.wake(now, target.Hall)
}

// end records the end of an attempt. ConnectedAt is when the connection for it was begun, or zero if an
// open one was used or none could be opened.
func (h *hallLinks) end(now time.Time, target upstream.Choice, outcome upstream.Outcome, answered bool, connectedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.End(now, target.Hall, target.ID, answered)
	if answered {
		h.recentIn(target.Hall).Add(checkedTarget(target))
	}
	if !connectedAt.IsZero() {
		h.tracker.Connected(connectedAt, target.Hall, target.ID)
	}
	switch outcome {
	case upstream.Unreachable:
		h.tracker.Failed(now, target.Hall, target.ID, reach.Unconnected)
	case upstream.Broken, upstream.TimedOut:
		h.tracker.Failed(now, target.Hall, target.ID, reach.Unanswered)
	}
	h.wake(now, target.Hall)
}

// connected records that a connection to a target, which was begun at the given time, was opened.
func (h *hallLinks) connected(at time.Time, t reach.Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.Connected(at, t.Hall, t.ID)
}

// failed records the failure of a target while a request is at it.
func (h *hallLinks) failed(now time.Time, target upstream.Choice, failure reach.Failure) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.Failed(now, target.Hall, target.ID, failure)
	h.wake(now, target.Hall)
}

// targetStarted records that a target has been listed for the first time.
func (h *hallLinks) targetStarted(t reach.Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tracker.IsLost(t.Hall) {
		h.recentIn(t.Hall).Add(t)
	}
}

// recentIn returns the recent targets of a hall. The caller holds mu.
func (h *hallLinks) recentIn(hall string) *reach.Recent {
	if h.recent[hall] == nil {
		h.recent[hall] = &reach.Recent{}
	}
	return h.recent[hall]
}

// wake wakes the loop if a check of a hall may become due. The caller holds mu.
func (h *hallLinks) wake(now time.Time, hall string) {
	if h.tracker.NeedsAttention(now, hall) {
		signal(h.failing)
	}
}

// loop makes the checks that are due until ctx ends. Those of different halls overlap.
func (h *hallLinks) loop(ctx context.Context) {
	var checks sync.WaitGroup
	defer checks.Wait()
	for ctx.Err() == nil {
		h.abandonRequests()
		c, due := h.nextCheck()
		switch {
		case due:
			checks.Go(func() { h.check(c) })
		case h.isIdle():
			awaitSignal(ctx, h.failing)
		default:
			awaitSignalFor(ctx, h.failing, checkPollInterval)
		}
	}
}

func (h *hallLinks) isIdle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.IsIdle(h.clock.Now())
}

func (h *hallLinks) nextCheck() (reach.HallCheck, bool) {
	if h.all.isLost() {
		return reach.HallCheck{}, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.NextCheck(h.clock.Now())
}

// abandonRequests ends the waits for responses of lost halls that will not arrive.
func (h *hallLinks) abandonRequests() {
	h.mu.Lock()
	silent := h.tracker.Abandon(h.clock.Now())
	h.mu.Unlock()
	for _, hall := range silent {
		h.cancelIn(h.exchanging, hall)
		h.onSilent(hall)
	}
}

// check makes a check and applies its result.
func (h *hallLinks) check(c reach.HallCheck) {
	r := reach.HallResult{HallCheck: c, StartedAt: h.clock.Now(), Timeout: checkTimeout}
	targets, try := h.targetsToCheck(c), h.connect
	if c.ByResponse {
		try, r.Timeout = h.respond, healthTimeout
	}
	reached, lastErr := tryAny(targets, try)
	r.Tried, r.EndedAt = len(targets), h.clock.Now()
	if lastErr == nil {
		r.Succeeded = min(1, r.Tried)
	}
	h.changing.Lock()
	defer h.changing.Unlock()
	h.mu.Lock()
	if r.Succeeded > 0 {
		h.responsive[c.Hall] = reached
	}
	before := h.tracker.Loss(c.Hall)
	changed := h.tracker.Checked(r)
	if r.Succeeded == 0 && !c.ByResponse && !r.IsLate() && !h.tracker.IsLost(c.Hall) {
		// These failures do not confirm themselves: another check has to.
		for _, t := range targets {
			h.tracker.Failed(r.EndedAt, c.Hall, t.ID, reach.Unconnected)
		}
	}
	after, lost := h.tracker.Loss(c.Hall), h.tracker.Lost()
	h.mu.Unlock()
	if changed {
		h.apply(c.Hall, before, after, lost, lastErr)
	}
	signal(h.failing)
}

// targetsToCheck returns the targets of a check. A check by response asks the target to which the check
// before has connected first, since it is to find out whether targets that can be connected to respond. A check
// that confirms the end of a loss tries the target first that was reached.
func (h *hallLinks) targetsToCheck(c reach.HallCheck) []reach.Target {
	drawn := h.sample(c.Hall, c.Size)
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.responsive[c.Hall]
	if !ok || !c.Confirming && (!c.ByResponse || h.tracker.IsLost(c.Hall)) {
		return h.recentIn(c.Hall).Pick(c.Size, drawn)
	}
	others := slices.DeleteFunc(drawn, func(other reach.Target) bool { return other == t })
	return append([]reach.Target{t}, others[:min(len(others), c.Size-1)]...)
}

// setUsualTime sets how long requests usually take.
func (h *hallLinks) setUsualTime(usual time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.SetUsualTime(usual)
}

// apply makes a change of a hall's loss take effect, and logs it. The caller holds changing.
func (h *hallLinks) apply(hall string, before, after reach.Loss, lost []string, err error) {
	h.anyLost.Store(len(lost) > 0)
	set := make(map[string]bool, len(lost))
	for _, name := range lost {
		set[name] = true
	}
	if after.At.IsZero() {
		h.log.Info(logHallRegained, "hall", hall, "lost_ms", h.clock.Since(before.At).Milliseconds(), "still_lost", lost)
		if before.ByResponse {
			// What accepted connections meanwhile may not have been the targets.
			h.onSilent(hall)
		}
		h.onRegained(set, hall, before.Since)
		return
	}
	h.log.Warn(logHallLost, "hall", hall, "unconnected", after.Unconnected, "unanswered", after.Unanswered, "stalled", after.Stalled,
		"checked", after.Checked, "by_response", after.ByResponse, "noticed_ms", after.At.Sub(after.Since).Milliseconds(),
		"error", err.Error(), "lost", lost)
	h.onLost(set)
	h.cancelIn(h.dialing, hall)
	if h.allLostBut("") {
		h.all.requestCheck()
	}
}

// reset ends all losses of halls, since the state of the links to all targets has changed.
func (h *hallLinks) reset() {
	h.changing.Lock()
	defer h.changing.Unlock()
	h.mu.Lock()
	lost := h.tracker.Lost()
	h.tracker.Reset()
	h.mu.Unlock()
	h.anyLost.Store(false)
	if len(lost) > 0 {
		h.onLost(nil)
	}
}
