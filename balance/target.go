package balance

import (
	"time"

	"github.com/rainford/rainford/availability"
)

// Spec is what the pool is told of a target.
type Spec struct {
	ID   string
	Addr string
	// Slots is this instance's share of the requests that the target runs at
	// the same time.
	Slots int
}

// Result is how a request on a target ended.
type Result int

// The results of a request.
const (
	// Answered means that the target gave an answer.
	Answered Result = iota
	// Refused means that the target declined the work before running it.
	Refused
	// Unreachable means that no connection to the target could be had.
	Unreachable
	// Broken means that the exchange ended without a whole answer.
	Broken
	// Abandoned means that the caller went away.
	Abandoned
)

// Settings of a target's limit.
const (
	// initialLimit is the limit of a target that has not answered yet.
	initialLimit = 1
	// halveCooldown is the time within which further refusals do not cut the
	// limit again.
	halveCooldown = time.Second
	// warmFactor bounds a warm target's latency against the pool's usual.
	warmFactor = 2
	// warmSlack keeps latencies of a few milliseconds from counting as cold.
	warmSlack = 5 * time.Millisecond
	// growInterval is the time after which a target that is at its limit and
	// refuses nothing gets one more, whether or not it has answered: long
	// uploads would else hold a new target at one request.
	growInterval = 100 * time.Millisecond
	// latencyWeight is the weight of a new latency in the average.
	latencyWeight = 0.2
	minBackoff    = 500 * time.Millisecond
	// drainBackoff is how long a target that said that it drains gets nothing. The list does not
	// tell when a target has started again, so after that it is asked by one request, which
	// it refuses if it still drains.
	drainBackoff = time.Minute
	maxBackoff   = 10 * time.Second
	// maxBroken is the number of exchanges in a row that break before a
	// target is left out. Below that a part of good answers is better than
	// none.
	maxBroken = 3
)

// target is one target's state.
type target struct {
	spec Spec
	// state is what keeps requests from the target. One that can't be reached is
	// suspected until it is tried again.
	state    availability.State
	inFlight int
	limit    int
	// slowStart is true until the first cut.
	slowStart  bool
	successes  int
	lastHalved time.Time
	// fullSince is when the target reached its limit, or the zero time.
	fullSince time.Time
	latency   time.Duration
	backoff   time.Duration
	// broken counts the exchanges in a row that broke.
	broken int
}

func newTarget(spec Spec) *target {
	return &target{spec: spec, limit: initialLimit, slowStart: true}
}

// allowed returns the requests that the target may have in flight.
func (t *target) allowed() int {
	return min(t.limit, t.spec.Slots)
}

func (t *target) usable(now time.Time) bool {
	return t.state.Available(now)
}

// applySelfReport takes in what the target said of itself.
func (t *target) applySelfReport(now time.Time, w availability.SelfReport) {
	if w.Leaving {
		t.state.BackOff(now, drainBackoff)
		t.resetLimit()
	}
	if w.Backoff > 0 {
		t.state.BackOff(now, w.Backoff)
	}
}

func (t *target) free(now time.Time) int {
	if !t.usable(now) {
		return 0
	}
	return max(t.allowed()-t.inFlight, 0)
}

func (t *target) observe(latency time.Duration) {
	if t.latency == 0 {
		t.latency = latency
		return
	}
	t.latency += time.Duration(latencyWeight * float64(latency-t.latency))
}

// growOnAnswer raises the limit after an answer.
func (t *target) growOnAnswer(warm bool) {
	t.backoff = 0
	t.broken = 0
	t.successes++
	if t.successes < t.limit {
		return
	}
	t.successes = 0
	if t.slowStart && warm {
		t.limit *= 2
	} else {
		t.limit++
	}
	t.limit = min(t.limit, max(t.spec.Slots, initialLimit))
}

// growFull raises the limit of a target that has been at it for growEvery.
func (t *target) growFull(now time.Time) {
	switch {
	case t.inFlight < t.limit || t.limit >= t.spec.Slots || !t.usable(now):
		t.fullSince = time.Time{}
	case t.fullSince.IsZero():
		t.fullSince = now
	case now.Sub(t.fullSince) >= growInterval:
		t.limit++
		t.fullSince = now
	}
}

// halveLimit halves the limit, once per cooldown.
func (t *target) halveLimit(now time.Time) {
	t.successes = 0
	t.slowStart = false
	t.fullSince = now
	if !t.lastHalved.IsZero() && now.Sub(t.lastHalved) < halveCooldown {
		return
	}
	t.lastHalved = now
	t.limit = max(t.limit/2, initialLimit)
}

// recordBroken takes in an exchange that broke.
func (t *target) recordBroken(now time.Time) {
	t.broken++
	if t.broken < maxBroken {
		t.halveLimit(now)
		return
	}
	t.suspect(now)
}

// suspect leaves the target out for a while. Failures of requests that were
// in flight together count once.
func (t *target) suspect(now time.Time) {
	if now.Before(t.state.SuspectedUntil()) {
		return
	}
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	t.state.Suspect(now, now.Add(t.backoff))
	t.resetLimit()
}

// resetLimit has the target begin with one request, as a new one does.
func (t *target) resetLimit() {
	t.limit = initialLimit
	t.slowStart = true
	t.successes = 0
}
