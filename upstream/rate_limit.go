package upstream

import (
	"slices"
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/ratelimit"
)

const (
	// permitTimeout is how long a request waits for a permit of its key's first target, while an
	// owner in the instance's region is asked for one, before the request goes to the second
	// target. The reply takes a few milliseconds, but a cache miss at the second target costs
	// hundreds.
	permitTimeout = 60 * time.Millisecond
	// sendRateWindow is the time over which the send rate is averaged for forecasts. minSendRate is
	// the lower bound of that rate, in 1/s.
	sendRateWindow = 2 * time.Second
	minSendRate    = 0.5
	// maxForecast is the upper bound of the retry delay that a forecast gives.
	maxForecast = 5 * time.Second
)

// rateLimit is the rate limit that a target has announced for all instances together. Each request
// to the target needs a permit, which one instance issues for all instances.
type rateLimit struct {
	perSecond float64
	// name is the name of the limit in package ratelimit.
	name   string
	source availability.Source
	since  time.Time
}

// LimitedTarget is a target that has announced a rate limit.
type LimitedTarget struct {
	ID, Hall string
	// PerSecond is the limit in requests per second from all instances together.
	PerSecond float64
	Source    availability.Source
	Since     time.Time
	// Owner is the instance that was last asked for permits. PermitRate is the rate at which
	// permits were received, and UsedRate the rate at which they were used, in 1/s.
	Owner                string
	PermitRate, UsedRate float64
}

// permitted reports whether the target's rate limit allows a request now.
func (t *target) permitted(now time.Time) bool {
	return t.rateLimit == nil || t.permits.Available(now, t.rateLimit.name) > 0
}

// hasSparePermit reports whether the target may get a request that other targets could run equally
// well. If it took a permit that a request for one of the target's cached objects needs, that
// request would have to run at a target without its object.
func (t *target) hasSparePermit(now time.Time) bool {
	return t.rateLimit == nil || t.permits.HasSpare(now, t.rateLimit.name)
}

// capacity returns the number of slots that the target can use under its rate limit at the given
// typical latency.
func (t *target) capacity(typical time.Duration) float64 {
	slots := float64(t.spec.Slots)
	if t.rateLimit == nil {
		return slots
	}
	return min(slots, t.rateLimit.perSecond*typical.Seconds())
}

// SetLimitOwners sets the instances that issue the permits for rate-limited targets.
func (p *Pool) SetLimitOwners(owners *ratelimit.Owners) { p.permits.SetOwners(owners) }

// ApplyRateLimits records rate limits that targets have announced to any instance or have removed.
// It returns the IDs of the targets in the pool whose limits changed, and the grants and refusals
// that follow.
func (p *Pool) ApplyRateLimits(now time.Time, limits availability.RateLimitList, source availability.Source) ([]string, []Grant) {
	var changed []string
	for _, limit := range limits {
		if limit.Removed {
			delete(p.rateLimits, limit.ID)
		} else {
			p.rateLimits[limit.ID] = limit
		}
		t := p.byHash[limit.ID]
		if t != nil && p.applyRateLimit(now, t, source) {
			changed = append(changed, t.spec.ID)
		}
	}
	if len(changed) == 0 {
		return nil, nil
	}
	p.invalidatePlans()
	return changed, p.dispatch(now)
}

// applyRateLimit applies the known rate limit to a target. It reports whether the limit changed.
func (p *Pool) applyRateLimit(now time.Time, t *target, source availability.Source) bool {
	known, ok := p.rateLimits[availability.ID(t.hash)]
	switch {
	case !ok:
		wasLimited := t.rateLimit != nil
		p.setRateLimit(t, nil)
		return wasLimited
	case t.rateLimit == nil:
		name := ratelimit.HallLimitName(t.spec.Hall, t.spec.ID)
		p.setRateLimit(t, &rateLimit{perSecond: known.PerSecond, name: name, source: source, since: now.Add(-known.Age)})
		return true
	case t.rateLimit.perSecond == known.PerSecond:
		return false
	default:
		t.rateLimit.perSecond, t.rateLimit.source = known.PerSecond, source
		return true
	}
}

// setRateLimit sets the rate limit of a target, nil for none, and updates limitedTargets.
func (p *Pool) setRateLimit(t *target, limit *rateLimit) {
	if (t.rateLimit == nil) != (limit == nil) {
		at, _ := slices.BinarySearchFunc(p.limitedTargets, t.spec.ID, byID)
		if limit == nil {
			p.limitedTargets = slices.Delete(p.limitedTargets, at, at+1)
		} else {
			p.limitedTargets = slices.Insert(p.limitedTargets, at, t)
		}
	}
	t.rateLimit = limit
}

// LimitedTargets returns the targets that have announced a rate limit, ordered by ID.
func (p *Pool) LimitedTargets(now time.Time) []LimitedTarget {
	var out []LimitedTarget
	for _, t := range p.limitedTargets {
		permitRate, usedRate, owner := p.permits.Rates(now, t.rateLimit.name)
		out = append(out, LimitedTarget{ID: t.spec.ID, Hall: t.spec.Hall, PerSecond: t.rateLimit.perSecond, Source: t.rateLimit.source,
			Since: t.rateLimit.since, Owner: owner, PermitRate: permitRate, UsedRate: usedRate})
	}
	return out
}

// requestPermit requests a permit for a target to which a request would be sent if there were a
// permit.
func (p *Pool) requestPermit(now time.Time, t *target) {
	p.permitRequests = append(p.permitRequests, p.permits.Request(now, t.rateLimit.name)...)
}

// requestPermits requests permits for those of the given targets that only their rate limit makes
// unusable.
func (p *Pool) requestPermits(now time.Time, targets []*target) {
	for _, t := range targets {
		if t.rateLimit != nil && t.usableIgnoringLimit(now) && !t.permitted(now) {
			p.requestPermit(now, t)
		}
	}
}

// waitsForPermit reports whether a request waits for a permit of its key's first target instead of
// going to another target.
func (p *Pool) waitsForPermit(now time.Time, r *Request, t *target) bool {
	return now.Sub(r.arrivedAt) < min(permitTimeout, r.QueueTimeout) && p.permits.AwaitsSameRegion(t.rateLimit.name)
}

// spendPermit uses a permit for a request that is sent to a target. It returns when the permit
// expires, or the zero time if the target has no rate limit.
func (p *Pool) spendPermit(now time.Time, t *target) time.Time {
	if t.rateLimit == nil {
		return time.Time{}
	}
	expiry, requests, _ := p.permits.TryAcquire(now, t.rateLimit.name)
	p.permitRequests = append(p.permitRequests, requests...)
	return expiry
}

// returnPermit returns the permit of a request that was not sent.
func (p *Pool) returnPermit(now time.Time, t *target, r Result) {
	if r.NotSent && t.rateLimit != nil {
		p.permits.Release(now, t.rateLimit.name, r.SendState.PermitExpiry)
	}
}

// ReceivePermits applies the reply of an owner to a permit request made at requestedAt, and returns
// the grants and refusals that follow.
func (p *Pool) ReceivePermits(now, requestedAt time.Time, name, from string, grant ratelimit.Grant) []Grant {
	_, requests := p.permits.HandleReply(now, requestedAt, name, from, grant)
	p.permitRequests = append(p.permitRequests, requests...)
	return p.dispatch(now)
}

// OwnerUnreachable records that no connection to an instance could be established. Its permit
// requests go to other owners.
func (p *Pool) OwnerUnreachable(now time.Time, owner string) {
	_, requests := p.permits.OwnerUnreachable(now, owner)
	p.permitRequests = append(p.permitRequests, requests...)
}

// TakePermitRequests returns the permit requests since the last call.
func (p *Pool) TakePermitRequests() []ratelimit.PermitRequest {
	requests := p.permitRequests
	p.permitRequests = nil
	return requests
}

// TakeUnresponsiveOwners returns the owners that have timed out since the last call.
func (p *Pool) TakeUnresponsiveOwners() []string {
	owners := p.unresponsive
	p.unresponsive = nil
	return owners
}

// AwaitingPermits reports whether the reply of an owner is pending.
func (p *Pool) AwaitingPermits() bool { return p.permits.NeedsTick() }

// tickPermits sends the permit requests of owners that have timed out to other owners.
func (p *Pool) tickPermits(now time.Time) {
	if !p.permits.NeedsTick() {
		return
	}
	_, requests, timedOut := p.permits.Tick(now)
	p.permitRequests = append(p.permitRequests, requests...)
	p.unresponsive = append(p.unresponsive, timedOut...)
}

// retryForecast forecasts when the caller of a refused request will find capacity. It assumes that
// callers refused earlier come first, and that they are served at the current send rate.
type retryForecast struct {
	// pendingRetries is the number of refused callers that have not found capacity yet.
	pendingRetries float64
	// recentSends is the number of sent requests, decaying over sendRateWindow.
	recentSends float64
	updatedAt   time.Time
}

// advance updates the forecast to the given time.
func (f *retryForecast) advance(now time.Time) {
	elapsed := now.Sub(f.updatedAt).Seconds()
	if f.updatedAt.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	f.pendingRetries = max(0, f.pendingRetries-elapsed*f.rate())
	f.recentSends = max(0, f.recentSends*(1-min(1, elapsed/sendRateWindow.Seconds())))
	f.updatedAt = now
}

// rate returns the send rate in 1/s, at least minSendRate.
func (f *retryForecast) rate() float64 {
	return max(minSendRate, f.recentSends/sendRateWindow.Seconds())
}

// sendRate returns the send rate in 1/s.
func (f *retryForecast) sendRate(now time.Time) float64 {
	f.advance(now)
	return f.recentSends / sendRateWindow.Seconds()
}

// countSend records that a request is sent.
func (f *retryForecast) countSend(now time.Time) {
	f.advance(now)
	f.recentSends++
}

// nextRetry records a refused caller and returns the time after which it will find capacity.
func (f *retryForecast) nextRetry(now time.Time) time.Duration {
	f.advance(now)
	f.pendingRetries++
	return min(maxForecast, time.Duration(f.pendingRetries/f.rate()*float64(time.Second)))
}

// blockedByLimit reports whether the request has a target with a rate limit that is usable apart
// from that limit.
func (p *Pool) blockedByLimit(now time.Time, r *Request) bool {
	return slices.ContainsFunc(p.limitedTargets, func(t *target) bool { return r.allows(t.region.name) && t.usableIgnoringLimit(now) })
}

// blockedByLimitIn reports whether a region has a target with a rate limit that is usable for the
// request apart from that limit.
func (p *Pool) blockedByLimitIn(now time.Time, r *Request, region string) bool {
	if len(p.rateLimits) == 0 {
		return false
	}
	return slices.ContainsFunc(p.targetsOf(r, region), func(t *target) bool { return t.rateLimit != nil && t.usableIgnoringLimit(now) })
}

// refuse returns the refusal of a request that has no target. If rate limits keep the request from
// its targets, the reason is ReasonLimited, and the retry delay is at least that of the forecast.
func (p *Pool) refuse(now time.Time, r *Request, reason Reason) Decision {
	d := Decision{Action: Refuse, Reason: reason, RetryAfter: p.retryAfter(r.ID)}
	if reason != ReasonNoTarget && reason != ReasonLimited || len(p.rateLimits) == 0 || !p.blockedByLimit(now, r) {
		return p.markUnreachable(r, d)
	}
	d.Reason = ReasonLimited
	d.RetryAfter = max(d.RetryAfter, p.retryForecast.nextRetry(now))
	return d
}
