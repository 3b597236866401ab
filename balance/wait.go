package balance

import "time"

// expectedWait returns the expected time until a request that is queued now gets a slot.
func (p *Pool) expectedWait(now time.Time) time.Duration {
	return p.waitAt(now, len(p.queue))
}

// waitAt returns the expected time until a request gets a slot if the given number of requests is
// queued before it. The estimate uses the observed interval between releases. If no slot has been
// released for longer than that, as when uploads hold all slots, the next release is expected to
// take as long again.
func (p *Pool) waitAt(now time.Time, before int) time.Duration {
	limit := p.Load(now).Limit
	if limit == 0 {
		return p.untilRetry(now)
	}
	interval := p.releaseInterval
	if interval == 0 {
		interval = p.expectedLatency() / time.Duration(limit)
	}
	next := interval
	if len(p.queue) > 0 {
		next = max(next, now.Sub(p.lastRelease))
	}
	return next + time.Duration(before)*interval
}

// untilRetry returns the time until the first target that currently gets no requests may be tried
// again, plus the expected latency. It is at most maxRetryAfter.
func (p *Pool) untilRetry(now time.Time) time.Duration {
	wait := maxRetryAfter
	for _, t := range p.targets {
		if t.state.InService() && t.spec.Slots > 0 {
			wait = min(wait, max(t.state.Verdict(now).Until.Sub(now), 0)+p.expectedLatency())
		}
	}
	return wait
}

// recordRelease records the release of a slot.
func (p *Pool) recordRelease(now time.Time) {
	if len(p.queue) > 0 {
		gap := now.Sub(p.lastRelease)
		if p.releaseInterval == 0 {
			p.releaseInterval = gap
		} else {
			p.releaseInterval += time.Duration(latencyWeight * float64(gap-p.releaseInterval))
		}
	}
	p.lastRelease = now
}
