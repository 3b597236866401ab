package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/internal/clock"
)

const (
	// Due hedges are looked for when the next one is due, but at intervals between minHedgeTick and
	// maxHedgeTick. The latter is how late a hedge may be if it is due before all that were started before
	// it.
	minHedgeTick = 10 * time.Millisecond
	maxHedgeTick = 50 * time.Millisecond
	// hedgeIdleTime is the time without an attempt after which the search ends.
	hedgeIdleTime = time.Second
)

// hedgeTimers starts the hedges that are due. A timer of its own for each attempt would wake the runtime's
// network poller for nearly every request, which costs more than all other steps of hedging together. It is
// safe for concurrent use.
type hedgeTimers struct {
	clock *clock.Clock

	mu      sync.Mutex
	pending []pendingHedge
	running bool
}

// pendingHedge is an attempt that waits for its hedge, in the state in which it was started.
type pendingHedge struct {
	attempt *hedgedAttempt
	state   uint32
	dueAt   time.Time
}

// hedgeState changes whenever an attempt is started, ends in time or is hedged, so that only one of the two
// latter happens.
type hedgeState struct{ atomic.Uint32 }

// end reports whether the state was still the given one, and changes it.
func (s *hedgeState) end(state uint32) bool { return s.CompareAndSwap(state, state+1) }

// start lets an attempt be hedged when it is due, until its state is ended. It returns the state.
func (ts *hedgeTimers) start(h *hedgedAttempt) (state uint32) {
	state = h.state.Add(1)
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.pending = append(ts.pending, pendingHedge{h, state, h.dueAt})
	if !ts.running {
		ts.running = true
		go ts.loop()
	}
	return state
}

// loop starts due hedges until there has been no attempt for a while.
func (ts *hedgeTimers) loop() {
	busyAt := ts.clock.Now()
	wait := minHedgeTick
	for {
		time.Sleep(wait)
		ts.mu.Lock()
		now := ts.clock.Now()
		if len(ts.pending) > 0 {
			busyAt = now
		}
		wait = min(max(ts.startDue(now), minHedgeTick), maxHedgeTick)
		if now.Sub(busyAt) >= hedgeIdleTime {
			ts.running = false
			ts.mu.Unlock()
			return
		}
		ts.mu.Unlock()
	}
}

// startDue starts the hedges that are due, and drops the attempts that have ended. It returns the time until
// the next one is due, at most maxHedgeTick. The caller holds mu.
func (ts *hedgeTimers) startDue(now time.Time) time.Duration {
	next := maxHedgeTick
	kept := ts.pending[:0]
	for _, p := range ts.pending {
		h := p.attempt
		switch {
		case h.state.Load() != p.state:
		case now.Before(p.dueAt):
			kept = append(kept, p)
			next = min(next, p.dueAt.Sub(now))
		case h.state.end(p.state):
			go h.sendHedge()
		}
	}
	clear(ts.pending[len(kept):])
	ts.pending = kept
	return next
}
