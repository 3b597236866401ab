package balance

import (
	"time"

	"github.com/rainford/rainford/availability"
)

// Spec describes a target to the pool.
type Spec struct {
	ID   string
	Addr string
	// Slots is this instance's share of the requests that the target runs at the same time.
	Slots int
}

// Result is the outcome of a request at a target.
type Result int

// The results of a request.
const (
	// Answered means that the target responded.
	Answered Result = iota
	// Refused means that the target refused the request before running it.
	Refused
	// Unreachable means that no connection to the target could be established.
	Unreachable
	// Broken means that the connection failed before the response was complete.
	Broken
	// Abandoned means that the client went away.
	Abandoned
)

// Parameters of the control of a target's limit.
const (
	// initialLimit is the limit of a new target.
	initialLimit = 1
	// halveCooldown is the time after a halving in which further refusals do not halve the limit.
	halveCooldown = time.Second
	// warmFactor is the latency of a warm target, as a multiple of the lowest latency of the pool,
	// that must not be exceeded.
	warmFactor = 2
	// warmSlack is added to that bound, so that differences of a few milliseconds do not count.
	warmSlack = 5 * time.Millisecond
	// growInterval is the time at the limit after which the limit of a target that refuses nothing
	// rises by one, whether or not requests have finished. Otherwise long uploads would keep a new
	// target at one request.
	growInterval = 100 * time.Millisecond
	// latencyWeight is the weight of a new value in the moving averages of latencies and intervals.
	latencyWeight = 0.2
	minBackoff    = 500 * time.Millisecond
	// drainBackoff is how long a target that reported that it is leaving gets no requests. The
	// target list does not show when the target has restarted. After this time one request probes
	// the target, which refuses it if it is still leaving.
	drainBackoff = time.Minute
	maxBackoff   = 10 * time.Second
	// maxBroken is the number of consecutive broken exchanges after which a target is suspected.
	// With fewer, using the target is better than losing it, since some of its responses succeed.
	maxBroken = 3
)

// target is the state of one target.
type target struct {
	spec Spec
	// state holds the conditions that keep requests from the target. A target that cannot be
	// reached is suspected until it is probed.
	state    availability.State
	inFlight int
	limit    int
	// slowStart is true until a request is refused or broken, and again after a reset.
	slowStart  bool
	successes  int
	lastHalved time.Time
	// fullSince is the start of the current growInterval. It is set when growFull first finds the
	// target at its limit, and again by each increase there and by each call of halveLimit. growFull sets it to
	// zero if the target is below its limit, cannot be used, or has all of its slots.
	fullSince time.Time
	latency   time.Duration
	backoff   time.Duration
	// broken is the number of consecutive broken exchanges.
	broken int
}

func newTarget(spec Spec) *target {
	return &target{spec: spec, limit: initialLimit, slowStart: true}
}

// allowed returns the number of requests that the target may have in flight.
func (t *target) allowed() int {
	return min(t.limit, t.spec.Slots)
}

func (t *target) usable(now time.Time) bool {
	return t.state.Available(now)
}

// applySelfReport applies what the target reported about itself.
func (t *target) applySelfReport(now time.Time, report availability.SelfReport) {
	if report.Leaving {
		t.state.BackOff(now, drainBackoff)
		t.resetLimit()
	}
	if report.Backoff > 0 {
		t.state.BackOff(now, report.Backoff)
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

// growOnAnswer raises the limit after a response.
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

// growFull raises the limit of a target that has been at its limit for growInterval.
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

// halveLimit halves the limit unless it was halved within halveCooldown.
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

// recordBroken records a broken exchange.
func (t *target) recordBroken(now time.Time) {
	t.broken++
	if t.broken < maxBroken {
		t.halveLimit(now)
		return
	}
	t.suspect(now)
}

// suspect keeps requests from the target for a back-off. Failures of requests that were in flight
// together count once.
func (t *target) suspect(now time.Time) {
	if now.Before(t.state.SuspectedUntil()) {
		return
	}
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	t.state.Suspect(now, now.Add(t.backoff))
	t.resetLimit()
}

// resetLimit resets the limit to that of a new target.
func (t *target) resetLimit() {
	t.limit = initialLimit
	t.slowStart = true
	t.successes = 0
}
