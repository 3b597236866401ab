package upstream

import (
	"maps"
	"time"
)

// unreachableRetryAfter is the least time after which a request should be retried that only targets in
// unreachable halls could run. The end of a loss is noticed about once per second.
const unreachableRetryAfter = 500 * time.Millisecond

// SetUnreachableHalls sets the halls to which this instance has lost its links, and returns the grants and
// refusals that follow. Their targets get no requests and remain in service. The shares of the regions follow
// the slots that are left, by bounded steps. Targets that are listed later may get requests, since they have
// started after what was seen of the hall. The argument is kept and must not change afterwards.
func (p *Pool) SetUnreachableHalls(now time.Time, halls map[string]bool) []Grant {
	if maps.Equal(halls, p.unreachable) {
		return nil
	}
	for _, t := range p.byID {
		if halls[t.spec.Hall] != p.unreachable[t.spec.Hall] {
			t.state.SetUnreachable(now, halls[t.spec.Hall])
		}
	}
	p.unreachable = halls
	p.invalidatePlans()
	return p.dispatch(now)
}

// EndSuspicionsIn ends the suspicions of the targets of a hall that began at the given time or later, and
// returns the grants that follow. It is called when the links to the hall work again.
func (p *Pool) EndSuspicionsIn(now time.Time, hall string, since time.Time) []Grant {
	for _, t := range p.activeTargets {
		if t.spec.Hall == hall && !t.state.SuspectedSince().Before(since) {
			p.endSuspicion(t)
		}
	}
	return p.dispatch(now)
}

// markUnreachable marks the refusal of a request if an instance that reaches all halls might have a target
// for it.
func (p *Pool) markUnreachable(r *Request, refusal Decision) Decision {
	if len(p.unreachable) == 0 || !p.hasUnreachableTarget(r) {
		return refusal
	}
	refusal.Unreachable = true
	if refusal.Reason == ReasonNoTarget {
		refusal.Reason = ReasonHallsLost
	}
	return refusal
}

// hasUnreachableTarget reports whether a target in an unreachable hall could run a request.
func (p *Pool) hasUnreachableTarget(r *Request) bool {
	found := false
	p.forEachListed(func(t *target) {
		found = found || t.state.Unreachable() && t.inService() && r.allows(t.region.name) && !r.wasTried(t.spec.ID)
	})
	return found
}
