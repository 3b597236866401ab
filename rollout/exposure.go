package rollout

import (
	"math"
	"time"
)

// The exposure bound of a service with few requests. Little is known of its new version before the end
// of the order, so that a bad version may pass all stages. The slack of the bound then covers the
// requests after the last move, if that is late and few requests went to the version before. With more
// requests this is impossible, and the bound depends on what the observations show.
const (
	// lastMoveTime is when the last moving stage begins if nothing is known, as a fraction of the
	// order's duration. It leaves time until verdictDeadline for the requests at old targets to end.
	lastMoveTime = 0.8
	// exposureOverrun is the time after the order's duration for which the exposure bound is kept,
	// since the instances do not see the end of the order at the same time.
	exposureOverrun = 3 * time.Second
	// exposureMargin is the number of standard deviations by which the number of requests may exceed
	// the expected one.
	exposureMargin = 2.2
	// minCanaryRequests is the number of requests at new targets below which the canary stages are not
	// limited further, since nothing could be known then.
	minCanaryRequests = 6
)

// requestsAfter returns the number of requests that are expected from a time of the order until
// exposureOverrun after its duration, and the mean rate of requests in 1/s that this is based on.
func (l *Leader) requestsAfter(elapsed, from time.Duration) (n, rate float64) {
	sent, _ := l.Counts()
	rate = float64(sent) / elapsed.Seconds()
	return rate * (l.order.Duration + exposureOverrun - from).Seconds(), rate
}

// allowed returns the number of requests that may reach a bad version.
func (l *Leader) allowed(elapsed time.Duration) float64 {
	sent, _ := l.Counts()
	further, _ := l.requestsAfter(elapsed, elapsed)
	return l.bound.Slack + l.bound.Share*(float64(sent)+further)
}

// canaryBudget returns the number of requests at new targets in the canary stages that leaves enough of
// the exposure bound for the requests after lastMoveTime, or false if it is below minCanaryRequests.
func (l *Leader) canaryBudget(elapsed time.Duration) (float64, bool) {
	if l.stage.InstanceShare < 1 || elapsed <= 0 {
		return 0, false
	}
	last, rate := l.requestsAfter(elapsed, l.fraction(lastMoveTime))
	moving := 0.0
	for step, fraction := range movingStepFractions[:len(movingStepFractions)-1] {
		moving += movingShares[step] * rate * l.fraction(fraction).Seconds()
	}
	budget := l.allowed(elapsed) - last - moving - exposureMargin*math.Sqrt(last+moving)
	return budget, budget >= minCanaryRequests
}

// delaysLastMove reports whether moving all requests to new targets has to wait for lastMoveTime, so
// that a bad version that has passed all stages stays within the exposure bound.
func (l *Leader) delaysLastMove(elapsed time.Duration) bool {
	latest := l.fraction(lastMoveTime)
	if elapsed >= latest || l.stage.InstanceShare < 1 {
		return false
	}
	_, sentNew := l.Counts()
	now, _ := l.requestsAfter(elapsed, elapsed)
	last, _ := l.requestsAfter(elapsed, latest)
	allowed := l.allowed(elapsed) - float64(sentNew)
	return last <= allowed && now+exposureMargin*math.Sqrt(now) > allowed
}
