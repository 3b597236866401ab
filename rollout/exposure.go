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
	// lastMoveTime is when the last moving stage begins if little is known, as a fraction of the order's
	// duration. It follows from moveStartDeadline and movingStepFractions.
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

// canaryBudget returns the number of requests at new targets in the canary stages that leaves enough of
// the exposure bound for the requests after lastMoveTime, or false if it is below minCanaryRequests.
func (l *Leader) canaryBudget(elapsed time.Duration) (float64, bool) {
	if l.stage.InstanceShare < 1 || elapsed <= 0 {
		return 0, false
	}
	sent, _ := l.Counts()
	rate := float64(sent) / elapsed.Seconds()
	end := l.order.Duration + exposureOverrun
	moved := rate * (end - l.fraction(lastMoveTime)).Seconds()
	for step, fraction := range movingStepFractions[:len(movingStepFractions)-1] {
		moved += movingShares[step] * rate * l.fraction(fraction).Seconds()
	}
	allowed := l.bound.Slack + l.bound.Share*rate*end.Seconds()
	budget := allowed - moved - exposureMargin*math.Sqrt(moved)
	return budget, budget >= minCanaryRequests
}
