package ratelimit

import "time"

// Limit is the rate limit of one client account or of one thing in a hall.
type Limit struct {
	// Rate is the number of requests per second. Burst is the number of requests that
	// may exceed the rate at once.
	Rate, Burst float64
}

// Bound is the guarantee for a limit: in any Window, at most
// (Rate x Window + Burst) x (1 + Overshoot) + Slack requests are admitted.
type Bound struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// DefaultBound is used if the settings contain no bound.
var DefaultBound = Bound{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// MaxRequests returns the largest number of requests that the bound allows in a window.
func (b Bound) MaxRequests(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Overshoot) + b.Slack
}

const (
	// burstFraction and slackFraction are the fractions of Burst and Slack that all
	// buckets together hold. The remainder covers the lifetime of permits, because
	// permits that were issued before a window may be used in it. Without a fraction of
	// Slack, the share of a small limit would have a burst of less than one request.
	burstFraction = 0.85
	slackFraction = 0.6
	// lifetimeFraction is the fraction of the longest lifetime within the bound that
	// permits get. The remainder covers the time between the use of a permit and the
	// request's arrival at a target: the wait for a target, which is an eighth of a
	// latency objective, and the transit to another region.
	lifetimeFraction = 0.8
	// maxLifetime is the upper bound of the lifetime of permits. A longer lifetime does
	// not help accounts with more than one request per second, and it delays the effect
	// of a lowered limit.
	maxLifetime = time.Second
)

// PermitLifetime returns how long a permit of a limit may be used, counted from when it
// was requested. The requests of a window use what the buckets held at its start and what
// the buckets were filled with from one lifetime before the window on. The lifetime is
// chosen such that the sum stays within the bound.
func (b Bound) PermitLifetime(l Limit) time.Duration {
	if l.Rate <= 0 {
		return maxLifetime
	}
	left := b.Overshoot*l.Rate*b.Window.Seconds() + (1+b.Overshoot-burstFraction)*l.Burst + (1-slackFraction)*b.Slack
	return min(maxLifetime, time.Duration(lifetimeFraction*left/l.Rate*float64(time.Second)))
}

// share returns the limit of one of n equal shares.
func (b Bound) share(l Limit, n int) Limit {
	shares := float64(max(n, 1))
	return Limit{Rate: l.Rate / shares, Burst: (burstFraction*l.Burst + slackFraction*b.Slack) / shares}
}
