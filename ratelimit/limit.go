package ratelimit

import "time"

// Limit is what an account may send.
type Limit struct {
	// Rate is the number of requests a second, and Burst how many more may come at once.
	Rate, Burst float64
}

// Bound is what is promised of a limit: in any Window no more requests are admitted than
// (Rate x Window + Burst) x (1 + Over) + Slack.
type Bound struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// DefaultBound is the bound where operators name none.
var DefaultBound = Bound{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// MaxRequests returns the largest number of requests in a window of a limit.
func (b Bound) MaxRequests(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Overshoot) + b.Slack
}

const (
	// burstFraction and slackShare are the parts of a burst and of Slack that the buckets
	// hold, all parts together. The rest is for the life of permits: what was issued
	// before a window may be used in it. A part of a small limit has a burst of less than
	// one request without a part of Slack.
	burstFraction = 0.85
	slackFraction = 0.6
	// lifetimeFraction is the part of the longest life that the bound allows that permits have.
	// The rest is for what passes between the use of a permit and the arrival at a target:
	// a wait for a target of an eighth of an objective, and the way to another region.
	lifetimeFraction = 0.8
	// maxLifetime bounds the life of permits: longer ones are of no use for requests that come
	// more often than once a second, and hold back a limit that is lowered.
	maxLifetime = time.Second
)

// PermitLifetime returns how long a permit of a limit may be used after it was asked for. In a
// window, what the buckets hold at its start is used, and what they are filled with from
// a life before the window on; the life is such that this keeps the bound.
func (b Bound) PermitLifetime(l Limit) time.Duration {
	if l.Rate <= 0 {
		return maxLifetime
	}
	left := b.Overshoot*l.Rate*b.Window.Seconds() + (1+b.Overshoot-burstFraction)*l.Burst + (1-slackFraction)*b.Slack
	return min(maxLifetime, time.Duration(lifetimeFraction*left/l.Rate*float64(time.Second)))
}

// share returns the limit of one of n equal parts.
func (b Bound) share(l Limit, n int) Limit {
	parts := float64(max(n, 1))
	return Limit{Rate: l.Rate / parts, Burst: (burstFraction*l.Burst + slackFraction*b.Slack) / parts}
}
