package upstream

import (
	"slices"
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/ratelimit"
)

const (
	// permitTimeout is how long a request waits for a permit of its key's first target while
	// an owner of the own region is asked, before it goes to the second: the answer comes
	// within milliseconds, and a run without the object costs hundreds.
	permitTimeout = 60 * time.Millisecond
	// sendRateWindow is the time over which the rate of sends is averaged, for forecasts, and
	// leastSends bounds that rate from below, in 1/s.
	sendRateWindow = 2 * time.Second
	minSendRate    = 0.5
	// maxForecast bounds what a refused caller is told to wait for room.
	maxForecast = 5 * time.Second
)

// rateLimit is that a target has named how many requests a second it takes from all instances
// together. Each request to it takes a permit, which one instance issues for all.
type rateLimit struct {
	perSecond float64
	// name is that of its permits.
	name   string
	source availability.Source
	since  time.Time
}

// LimitedTarget is a target that has named a limit.
type LimitedTarget struct {
	ID, Hall string
	// PerSecond is the number of requests a second that it takes from all instances together.
	PerSecond float64
	Source    availability.Source
	Since     time.Time
	// Owner is the instance that was last asked for permits, Got the rate at which they came
	// here, and Used that at which they were spent, in 1/s.
	Owner                string
	PermitRate, UsedRate float64
}

// permitted tells whether a request may be sent as far as the target's limit is concerned.
func (t *target) permitted(now time.Time) bool {
	return t.rateLimit == nil || t.permits.Available(now, t.rateLimit.name) > 0
}

// hasSparePermit tells whether a request that any other target could serve as well may be sent: one that
// takes the permit of a request whose object the target has would run without its own.
func (t *target) hasSparePermit(now time.Time) bool {
	return t.rateLimit == nil || t.permits.HasSpare(now, t.rateLimit.name)
}

// capacity is the number of slots that the target's limit lets it use, at the usual time of an
// answer.
func (t *target) capacity(typical time.Duration) float64 {
	slots := float64(t.spec.Slots)
	if t.rateLimit == nil {
		return slots
	}
	return min(slots, t.rateLimit.perSecond*typical.Seconds())
}

// SetLimitOwners takes in who issues the permits of targets' limits.
func (p *Pool) SetLimitOwners(owners *ratelimit.Owners) { p.permits.SetOwners(owners) }

// ApplyRateLimits takes in the limits that targets have named, to this or to another instance, and
// which of them have ended. It returns the IDs of the targets of the pool whose limits changed,
// and the grants that this makes possible.
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

// applyRateLimit puts in force what is known of a target's applyRateLimit. It reports whether that is a change.
func (p *Pool) applyRateLimit(now time.Time, t *target, source availability.Source) bool {
	known, ok := p.rateLimits[availability.ID(t.hash)]
	switch {
	case !ok:
		had := t.rateLimit != nil
		p.setRateLimit(t, nil)
		return had
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

// setRateLimit puts a limit of a target in force, nil for none.
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

// LimitedTargets returns the targets that have named a limit, in the order of their IDs.
func (p *Pool) LimitedTargets(now time.Time) []LimitedTarget {
	var out []LimitedTarget
	for _, t := range p.limitedTargets {
		got, used, owner := p.permits.Rates(now, t.rateLimit.name)
		out = append(out, LimitedTarget{ID: t.spec.ID, Hall: t.spec.Hall, PerSecond: t.rateLimit.perSecond, Source: t.rateLimit.source,
			Since: t.rateLimit.since, Owner: owner, PermitRate: got, UsedRate: used})
	}
	return out
}

// requestPermit asks for a permit of a target that a request would be sent to if there were one.
func (p *Pool) requestPermit(now time.Time, t *target) {
	p.permitRequests = append(p.permitRequests, p.permits.Request(now, t.rateLimit.name)...)
}

// requestPermits asks for permits of those of some targets that only their limits keep from a request.
func (p *Pool) requestPermits(now time.Time, targets []*target) {
	for _, t := range targets {
		if t.rateLimit != nil && t.usableIgnoringLimit(now) && !t.permitted(now) {
			p.requestPermit(now, t)
		}
	}
}

// waitsForPermit tells whether a request waits for a permit of its key's first target in place of going to
// another one.
func (p *Pool) waitsForPermit(now time.Time, r *Request, t *target) bool {
	return now.Sub(r.arrivedAt) < min(permitTimeout, r.QueueTimeout) && p.permits.AwaitsSameRegion(t.rateLimit.name)
}

// spendPermit takes the permit of a request that is sent to a target, and returns until when it may be
// used, zero if the target has no limit.
func (p *Pool) spendPermit(now time.Time, t *target) time.Time {
	if t.rateLimit == nil {
		return time.Time{}
	}
	until, asks, _ := p.permits.TryAcquire(now, t.rateLimit.name)
	p.permitRequests = append(p.permitRequests, asks...)
	return until
}

// returnPermit gives back the permit of a request that was not sent.
func (p *Pool) returnPermit(now time.Time, t *target, r Result) {
	if r.NotSent && t.rateLimit != nil {
		p.permits.Release(now, t.rateLimit.name, r.SendState.PermitExpiry)
	}
}

// ReceivePermits takes in the answer of an owner to a question for permits that was asked at a time,
// and returns the grants that this makes possible.
func (p *Pool) ReceivePermits(now, askedAt time.Time, name, from string, issue ratelimit.Grant) []Grant {
	_, asks := p.permits.HandleReply(now, askedAt, name, from, issue)
	p.permitRequests = append(p.permitRequests, asks...)
	return p.dispatch(now)
}

// OwnerUnreachable takes in that no connection to an instance could be had.
func (p *Pool) OwnerUnreachable(now time.Time, owner string) {
	_, asks := p.permits.OwnerUnreachable(now, owner)
	p.permitRequests = append(p.permitRequests, asks...)
}

// TakePermitRequests returns the questions for permits since the last call.
func (p *Pool) TakePermitRequests() []ratelimit.PermitRequest {
	asks := p.permitRequests
	p.permitRequests = nil
	return asks
}

// TakeUnresponsiveOwners returns the owners that have been found not to answer since the last call.
func (p *Pool) TakeUnresponsiveOwners() []string {
	silent := p.unresponsive
	p.unresponsive = nil
	return silent
}

// AwaitingPermits tells whether an answer of an owner is due.
func (p *Pool) AwaitingPermits() bool { return p.permits.NeedsTick() }

// tickPermits asks others in place of owners that have not answered in time.
func (p *Pool) tickPermits(now time.Time) {
	if !p.permits.NeedsTick() {
		return
	}
	_, asks, silent := p.permits.Tick(now)
	p.permitRequests = append(p.permitRequests, asks...)
	p.unresponsive = append(p.unresponsive, silent...)
}

// retryForecast forecasts when refused callers find room: those told before come first, as fast as
// requests are sent.
type retryForecast struct {
	// pendingRetries is the number of refused callers that have not found room.
	pendingRetries float64
	// recentSends counts those sent of late.
	recentSends float64
	at          time.Time
}

// advance has time advance.
func (f *retryForecast) advance(now time.Time) {
	elapsed := now.Sub(f.at).Seconds()
	if f.at.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	f.pendingRetries = max(0, f.pendingRetries-elapsed*f.rate())
	f.recentSends = max(0, f.recentSends*(1-min(1, elapsed/sendRateWindow.Seconds())))
	f.at = now
}

// rate is the number of requests sent a second.
func (f *retryForecast) rate() float64 {
	return max(minSendRate, f.recentSends/sendRateWindow.Seconds())
}

// sendRate is the number of requests sent a second of late.
func (f *retryForecast) sendRate(now time.Time) float64 {
	f.advance(now)
	return f.recentSends / sendRateWindow.Seconds()
}

// countSend counts a request that is countSend.
func (f *retryForecast) countSend(now time.Time) {
	f.advance(now)
	f.recentSends++
}

// nextRetry returns when a caller that is refused now finds room.
func (f *retryForecast) nextRetry(now time.Time) time.Duration {
	f.advance(now)
	f.pendingRetries++
	return min(maxForecast, time.Duration(f.pendingRetries/f.rate()*float64(time.Second)))
}

// blockedByLimit tells whether a target of a request is kept from it by its limit alone.
func (p *Pool) blockedByLimit(now time.Time, r *Request) bool {
	return slices.ContainsFunc(p.limitedTargets, func(t *target) bool { return r.allows(t.region.name) && t.usableIgnoringLimit(now) })
}

// blockedByLimitIn tells whether a target of a region is kept from requests by its limit alone.
func (p *Pool) blockedByLimitIn(now time.Time, r *Request, region string) bool {
	if len(p.rateLimits) == 0 {
		return false
	}
	return slices.ContainsFunc(p.targetsOf(r, region), func(t *target) bool { return t.rateLimit != nil && t.usableIgnoringLimit(now) })
}

// refuse is the refusal of a request that has no target.
func (p *Pool) refuse(now time.Time, r *Request, reason Reason) Decision {
	d := Decision{Action: Refuse, Reason: reason, RetryAfter: p.retryAfter(r.ID)}
	if reason != ReasonNoTarget && reason != ReasonLimited || len(p.rateLimits) == 0 || !p.blockedByLimit(now, r) {
		return d
	}
	d.Reason = ReasonLimited
	d.RetryAfter = max(d.RetryAfter, p.retryForecast.nextRetry(now))
	return d
}
