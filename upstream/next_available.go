package upstream

import (
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/internal/mix"
)

// nextAvailable is when the first of a request's targets will be back, when none can be used.
type nextAvailable struct {
	// any says that there is a target that is meant to serve.
	any   bool
	cause availability.Cause
	until time.Time
}

// nextAvailableFor returns when the first of the request's targets will be back. It returns false if
// one may be back within the request's patience. One that the request was sent to already can't
// be used by it again, and counts for when its caller should come back.
func (p *Pool) nextAvailableFor(now time.Time, r *Request) (nextAvailable, bool) {
	var first nextAvailable
	if held := p.versions.heldUntil; !held.IsZero() && held.Sub(now) <= r.QueueTimeout {
		return nextAvailable{}, false
	}
	soon := false
	p.forEachListed(func(t *target) {
		if soon || !t.inService() || !r.allows(t.region.name) {
			return
		}
		cause, until := t.availableAt(now)
		soon = !r.wasTried(t.spec.ID) && until.Sub(now) <= r.QueueTimeout
		if !first.any || until.Before(first.until) {
			first = nextAvailable{any: true, cause: cause, until: until}
		}
	})
	if soon {
		return nextAvailable{}, false
	}
	return first, true
}

// availableAt returns when a target that is meant to serve may be sent a request, and what is in the
// way. That may be at any moment, so now, if a request is finding out whether it is availableAt, or if
// it is cold and has had what it bears.
func (t *target) availableAt(now time.Time) (availability.Cause, time.Time) {
	verdict := t.judge(now)
	if verdict.OK() && !t.permitted(now) {
		return availability.CauseRateLimited, later(now, t.permits.DeniedUntil(t.rateLimit.name))
	}
	switch verdict.Cause {
	case availability.CauseNone, availability.CauseProbing, availability.CauseCold:
		return verdict.Cause, now
	default:
		return verdict.Cause, verdict.Until
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// The callers of requests that are refused while all targets rest are told when the first of
// these is back, and a drawn time more, so that they do not all come at once: a part of the rest
// that is left, less for the most urgent ones.
const (
	backoffSpread       = 1.0
	urgentBackoffSpread = 0.5
)

// retrySpread returns the time over which the callers of requests of a priority come back after a
// rest of which some is left.
func retrySpread(priority int, left time.Duration) time.Duration {
	if priority == 0 {
		return time.Duration(urgentBackoffSpread * float64(left))
	}
	return time.Duration(backoffSpread * float64(left))
}

// RefuseIfUnavailable refuses a request none of whose targets will be back before its patience is over, and
// tells its caller when the first of them will be. To hold the request until then would only keep
// the caller from trying elsewhere.
func (p *Pool) RefuseIfUnavailable(now time.Time, r Request) (Decision, bool) {
	first, known := p.nextAvailableFor(now, &r)
	if !known {
		return Decision{}, false
	}
	refusal := Decision{Action: Refuse, Reason: ReasonNoTarget, RetryAfter: p.retryAfter(r.ID)}
	if !first.any {
		return refusal, true
	}
	left := first.until.Sub(now)
	if first.cause == availability.CauseRateLimited {
		return p.refuse(now, &r, ReasonLimited), true
	}
	if first.cause != availability.CauseBackoff {
		refusal.RetryAfter = max(refusal.RetryAfter, left)
		return refusal, true
	}
	drawn := mix.Unit(mix.Join(r.ID, mix.Join(p.salt, p.salt)))
	refusal.Reason = ReasonBackoff
	refusal.RetryAfter += left + time.Duration(drawn*float64(retrySpread(r.Priority, left)))
	return refusal, true
}
