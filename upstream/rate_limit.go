package upstream

import (
	"slices"
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/ratelimit"
)

const (
	// permitPatience is how long a request waits for a permit of its key's first target while
	// an owner of the own region is asked, before it goes to the second: the answer comes
	// within milliseconds, and a run without the object costs hundreds.
	permitPatience = 60 * time.Millisecond
	// sendsTime is the time over which the rate of sends is averaged, for forecasts, and
	// leastSends bounds that rate from below, in 1/s.
	sendsTime  = 2 * time.Second
	leastSends = 0.5
	// longestReturn bounds what a refused caller is told to wait for room.
	longestReturn = 5 * time.Second
)

// limited is that a target has named how many requests a second it takes from all instances
// together. Each request to it takes a permit, which one instance issues for all.
type limited struct {
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
	return t.limited == nil || t.permits.Available(now, t.limited.name) > 0
}

// spares tells whether a request that any other target could serve as well may be sent: one that
// takes the permit of a request whose object the target has would run without its own.
func (t *target) spares(now time.Time) bool {
	return t.limited == nil || t.permits.HasSpare(now, t.limited.name)
}

// capacity is the number of slots that the target's limit lets it use, at the usual time of an
// answer.
func (t *target) capacity(typical time.Duration) float64 {
	slots := float64(t.spec.Slots)
	if t.limited == nil {
		return slots
	}
	return min(slots, t.limited.perSecond*typical.Seconds())
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
			delete(p.limits, limit.ID)
		} else {
			p.limits[limit.ID] = limit
		}
		t := p.byHash[limit.ID]
		if t != nil && p.limit(now, t, source) {
			changed = append(changed, t.spec.ID)
		}
	}
	if len(changed) == 0 {
		return nil, nil
	}
	p.replan()
	return changed, p.dispatch(now)
}

// limit puts in force what is known of a target's limit. It reports whether that is a change.
func (p *Pool) limit(now time.Time, t *target, source availability.Source) bool {
	known, ok := p.limits[availability.ID(t.hash)]
	switch {
	case !ok:
		had := t.limited != nil
		p.setLimited(t, nil)
		return had
	case t.limited == nil:
		name := ratelimit.HallLimitName(t.spec.Hall, t.spec.ID)
		p.setLimited(t, &limited{perSecond: known.PerSecond, name: name, source: source, since: now.Add(-known.Age)})
		return true
	case t.limited.perSecond == known.PerSecond:
		return false
	default:
		t.limited.perSecond, t.limited.source = known.PerSecond, source
		return true
	}
}

// setLimited puts a limit of a target in force, nil for none.
func (p *Pool) setLimited(t *target, limit *limited) {
	if (t.limited == nil) != (limit == nil) {
		at, _ := slices.BinarySearchFunc(p.limited, t.spec.ID, byID)
		if limit == nil {
			p.limited = slices.Delete(p.limited, at, at+1)
		} else {
			p.limited = slices.Insert(p.limited, at, t)
		}
	}
	t.limited = limit
}

// LimitedTargets returns the targets that have named a limit, in the order of their IDs.
func (p *Pool) LimitedTargets(now time.Time) []LimitedTarget {
	var out []LimitedTarget
	for _, t := range p.limited {
		got, used, owner := p.permits.Rates(now, t.limited.name)
		out = append(out, LimitedTarget{ID: t.spec.ID, Hall: t.spec.Hall, PerSecond: t.limited.perSecond, Source: t.limited.source,
			Since: t.limited.since, Owner: owner, PermitRate: got, UsedRate: used})
	}
	return out
}

// want asks for a permit of a target that a request would be sent to if there were one.
func (p *Pool) want(now time.Time, t *target) {
	p.asks = append(p.asks, p.permits.Request(now, t.limited.name)...)
}

// wantAny asks for permits of those of some targets that only their limits keep from a request.
func (p *Pool) wantAny(now time.Time, targets []*target) {
	for _, t := range targets {
		if t.limited != nil && t.otherwiseUsable(now) && !t.permitted(now) {
			p.want(now, t)
		}
	}
}

// awaits tells whether a request waits for a permit of its key's first target in place of going to
// another one.
func (p *Pool) awaits(now time.Time, r *Request, t *target) bool {
	return now.Sub(r.since) < min(permitPatience, r.QueueTimeout) && p.permits.AwaitsSameRegion(t.limited.name)
}

// spend takes the permit of a request that is sent to a target, and returns until when it may be
// used, zero if the target has no limit.
func (p *Pool) spend(now time.Time, t *target) time.Time {
	if t.limited == nil {
		return time.Time{}
	}
	until, asks, _ := p.permits.TryAcquire(now, t.limited.name)
	p.asks = append(p.asks, asks...)
	return until
}

// returnPermit gives back the permit of a request that was not sent.
func (p *Pool) returnPermit(now time.Time, t *target, r Result) {
	if r.NotSent && t.limited != nil {
		p.permits.Release(now, t.limited.name, r.SendState.PermitExpiry)
	}
}

// ReceivePermits takes in the answer of an owner to a question for permits that was asked at a time,
// and returns the grants that this makes possible.
func (p *Pool) ReceivePermits(now, askedAt time.Time, name, from string, issue ratelimit.Grant) []Grant {
	_, asks := p.permits.HandleReply(now, askedAt, name, from, issue)
	p.asks = append(p.asks, asks...)
	return p.dispatch(now)
}

// OwnerUnreachable takes in that no connection to an instance could be had.
func (p *Pool) OwnerUnreachable(now time.Time, owner string) {
	_, asks := p.permits.OwnerUnreachable(now, owner)
	p.asks = append(p.asks, asks...)
}

// TakePermitRequests returns the questions for permits since the last call.
func (p *Pool) TakePermitRequests() []ratelimit.PermitRequest {
	asks := p.asks
	p.asks = nil
	return asks
}

// TakeUnresponsiveOwners returns the owners that have been found not to answer since the last call.
func (p *Pool) TakeUnresponsiveOwners() []string {
	silent := p.silent
	p.silent = nil
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
	p.asks = append(p.asks, asks...)
	p.silent = append(p.silent, silent...)
}

// returns forecasts when refused callers find room: those told before come first, as fast as
// requests are sent.
type returns struct {
	// owed is the number of refused callers that have not found room.
	owed float64
	// sends counts those sent of late.
	sends float64
	at    time.Time
}

// pass has time pass.
func (f *returns) pass(now time.Time) {
	elapsed := now.Sub(f.at).Seconds()
	if f.at.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	f.owed = max(0, f.owed-elapsed*f.rate())
	f.sends = max(0, f.sends*(1-min(1, elapsed/sendsTime.Seconds())))
	f.at = now
}

// rate is the number of requests sent a second.
func (f *returns) rate() float64 { return max(leastSends, f.sends/sendsTime.Seconds()) }

// sentRate is the number of requests sent a second of late.
func (f *returns) sentRate(now time.Time) float64 {
	f.pass(now)
	return f.sends / sendsTime.Seconds()
}

// sent counts a request that is sent.
func (f *returns) sent(now time.Time) {
	f.pass(now)
	f.sends++
}

// refuse returns when a caller that is refused now finds room.
func (f *returns) refuse(now time.Time) time.Duration {
	f.pass(now)
	f.owed++
	return min(longestReturn, time.Duration(f.owed/f.rate()*float64(time.Second)))
}

// limitsBind tells whether a target of a request is kept from it by its limit alone.
func (p *Pool) limitsBind(now time.Time, r *Request) bool {
	return slices.ContainsFunc(p.limited, func(t *target) bool { return r.allows(t.region.name) && t.otherwiseUsable(now) })
}

// limitsBindIn tells whether a target of a region is kept from requests by its limit alone.
func (p *Pool) limitsBindIn(now time.Time, r *Request, region string) bool {
	if len(p.limits) == 0 {
		return false
	}
	return slices.ContainsFunc(p.targetsOf(r, region), func(t *target) bool { return t.limited != nil && t.otherwiseUsable(now) })
}

// refuse is the refusal of a request that has no target.
func (p *Pool) refuse(now time.Time, r *Request, reason Reason) Decision {
	d := Decision{Action: Refuse, Reason: reason, RetryAfter: p.retryAfter(r.ID)}
	if reason != ReasonNoTarget && reason != ReasonLimited || len(p.limits) == 0 || !p.limitsBind(now, r) {
		return d
	}
	d.Reason = ReasonLimited
	d.RetryAfter = max(d.RetryAfter, p.returns.refuse(now))
	return d
}
