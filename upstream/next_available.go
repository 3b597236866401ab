package upstream

import (
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/internal/mix"
)

// nextAvailable describes when the first of a request's targets becomes usable while none is.
type nextAvailable struct {
	// inService is true if at least one target is in service.
	inService bool
	cause     availability.Cause
	until     time.Time
}

// nextAvailableFor returns when the first of the request's targets becomes usable. It returns false
// if one may become usable within the request's queue timeout. A target that the request was
// already sent to cannot run it again, but counts for the time after which the caller should retry.
func (p *Pool) nextAvailableFor(now time.Time, r *Request) (nextAvailable, bool) {
	var first nextAvailable
	if heldUntil := p.versions.heldUntil; !heldUntil.IsZero() && heldUntil.Sub(now) <= r.QueueTimeout {
		return nextAvailable{}, false
	}
	soon := false
	p.forEachListed(func(t *target) {
		if soon || !t.inService() || !r.allows(t.region.name) {
			return
		}
		cause, until := t.availableAt(now)
		soon = cause != availability.CauseUnreachable && !r.wasTried(t.spec.ID) && until.Sub(now) <= r.QueueTimeout
		if !first.inService || until.Before(first.until) {
			first = nextAvailable{inService: true, cause: cause, until: until}
		}
	})
	if soon {
		return nextAvailable{}, false
	}
	return first, true
}

// availableAt returns the time at which a target in service may be sent a request, and the cause
// that keeps requests from it until then. The time is now, since it may be any moment, if a request
// is probing the target or if the target is cold and its quota is used up.
func (t *target) availableAt(now time.Time) (availability.Cause, time.Time) {
	verdict := t.checkUsable(now)
	if verdict.OK() && !t.permitted(now) {
		return availability.CauseRateLimited, later(now, t.permits.DeniedUntil(t.rateLimit.name))
	}
	switch verdict.Cause {
	case availability.CauseUnreachable:
		return verdict.Cause, now.Add(unreachableRetryAfter)
	case availability.CauseNone, availability.CauseProbing, availability.CauseCold:
		return verdict.Cause, now
	default:
		return verdict.Cause, verdict.Until
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// If the first target to become usable is in a requested back-off, the callers of refused requests
// are told to retry when that back-off ends, plus the usual retry delay and a random time that
// keeps them from retrying all at once. The random time is at most a fraction of the remaining
// back-off, and a smaller one for the most urgent requests.
const (
	backoffSpread       = 1.0
	urgentBackoffSpread = 0.5
)

// retrySpread returns the time over which the retries of requests of a priority are spread after a
// back-off of which the given time is left.
func retrySpread(priority int, left time.Duration) time.Duration {
	if priority == 0 {
		return time.Duration(urgentBackoffSpread * float64(left))
	}
	return time.Duration(backoffSpread * float64(left))
}

// RefuseIfUnavailable refuses a request if none of its targets becomes usable within its queue
// timeout, and tells the caller when the first one will. Queueing such a request would only keep
// the caller from trying elsewhere. The result is false if the request is not refused.
func (p *Pool) RefuseIfUnavailable(now time.Time, r Request) (Decision, bool) {
	first, unavailable := p.nextAvailableFor(now, &r)
	if !unavailable {
		return Decision{}, false
	}
	refusal := Decision{Action: Refuse, Reason: ReasonNoTarget, RetryAfter: p.retryAfter(r.ID)}
	if !first.inService {
		return refusal, true
	}
	left := first.until.Sub(now)
	if first.cause == availability.CauseRateLimited {
		return p.refuse(now, &r, ReasonLimited), true
	}
	if first.cause != availability.CauseBackoff {
		refusal.RetryAfter = max(refusal.RetryAfter, left)
		refusal.Unreachable = first.cause == availability.CauseSuspected
		return p.markUnreachable(&r, refusal), true
	}
	draw := mix.Unit(mix.Combine(r.ID, mix.Combine(p.salt, p.salt)))
	refusal.Reason = ReasonBackoff
	refusal.RetryAfter += left + time.Duration(draw*float64(retrySpread(r.Priority, left)))
	return refusal, true
}
