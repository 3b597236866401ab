package upstream

import (
	"time"

	"github.com/rainford/rainford/availability"
)

// away is when the first of a request's targets will be back, when none can be used.
type away struct {
	// any says that there is a target that is meant to serve.
	any   bool
	cause availability.Cause
	until time.Time
}

// awayFor returns when the first of the request's targets will be back. It returns false if
// one may be back within the request's patience. One that the request was sent to already can't
// be used by it again, and counts for when its caller should come back.
func (p *Pool) awayFor(now time.Time, r *Request) (away, bool) {
	var first away
	for _, t := range p.targets {
		if !t.serves() || !r.allows(t.region) {
			continue
		}
		cause, until := t.back(now)
		if !r.avoids(t.spec.ID) && until.Sub(now) <= r.Patience {
			return away{}, false
		}
		if !first.any || until.Before(first.until) {
			first = away{any: true, cause: cause, until: until}
		}
	}
	return first, true
}

// back returns when a target that is meant to serve may be sent a request, and what is in the
// way. That may be at any moment, so now, if a request is finding out whether it is back, or if
// it is cold and has had what it bears.
func (t *target) back(now time.Time) (availability.Cause, time.Time) {
	verdict := t.judge(now)
	switch verdict.Cause {
	case availability.CauseNone, availability.CauseTrying, availability.CauseCold:
		return verdict.Cause, now
	default:
		return verdict.Cause, verdict.Until
	}
}

// refuseAway refuses a request none of whose targets will be back before its patience is over,
// and tells its caller when the first of them will be. To hold the request until then would
// only keep the caller from trying elsewhere.
func (p *Pool) refuseAway(now time.Time, r *Request) (Decision, bool) {
	first, known := p.awayFor(now, r)
	if !known {
		return Decision{}, false
	}
	refusal := Decision{Verdict: Refuse, Reason: ReasonNoTarget, RetryAfter: p.retryAfter(r.ID)}
	if first.any {
		refusal.RetryAfter += first.until.Sub(now)
	}
	if first.cause == availability.CauseResting {
		refusal.Reason = ReasonResting
	}
	return refusal, true
}
