package balance

import "time"

// expectedWait returns the time until a request that is queued now gets a slot.
func (p *Pool) expectedWait(now time.Time) time.Duration {
	return p.waitAt(now, len(p.queue))
}

// waitAt returns the time until a request with a number of others before it
// gets a slot. It goes by the rate at which slots were seen to come free; if
// none has for longer than usual, as when uploads hold all of them, the next is
// expected to take as long again.
func (p *Pool) waitAt(now time.Time, before int) time.Duration {
	limit := p.Load(now).Limit
	if limit == 0 {
		return p.untilRetry(now)
	}
	interval := p.interval
	if interval == 0 {
		interval = p.serviceTime() / time.Duration(limit)
	}
	next := interval
	if len(p.queue) > 0 {
		next = max(next, now.Sub(p.lastFree))
	}
	return next + time.Duration(before)*interval
}

// untilRetry returns the time until the first target that gets nothing for a while
// may be sent to again.
func (p *Pool) untilRetry(now time.Time) time.Duration {
	wait := maxRetryAfter
	for _, t := range p.targets {
		if t.state.InService() && t.spec.Slots > 0 {
			wait = min(wait, max(t.state.Verdict(now).Until.Sub(now), 0)+p.serviceTime())
		}
	}
	return wait
}

// noteFree takes in that a slot came free.
func (p *Pool) noteFree(now time.Time) {
	if len(p.queue) > 0 {
		gap := now.Sub(p.lastFree)
		if p.interval == 0 {
			p.interval = gap
		} else {
			p.interval += time.Duration(latencyWeight * float64(gap-p.interval))
		}
	}
	p.lastFree = now
}
