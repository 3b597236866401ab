package upstream

import "time"

// markActive has a target keep what is told of it from now on.
func (p *Pool) markActive(now time.Time, t *target) {
	if t.stats == &p.emptyStats {
		t.stats = &stats{}
		p.activeTargets = append(p.activeTargets, t)
	}
	t.stats.activeAt = now
}

// Expire drops what is known of permits that nobody asks for, and of targets of which nothing was heard
// for as long as a key is taken to be remembered, unless that would make them look better than they are.
func (p *Pool) Expire(now time.Time) {
	p.permits.EvictIdle(now)
	kept := p.activeTargets[:0]
	for _, t := range p.activeTargets {
		switch {
		case p.byID[t.spec.ID] != t:
		case t.idle(now):
			t.stats = &p.emptyStats
		default:
			kept = append(kept, t)
		}
	}
	clear(p.activeTargets[len(kept):])
	p.activeTargets = kept
}

// idle tells whether there is nothing worth keeping of what is known of the target.
func (t *target) idle(now time.Time) bool {
	c := t.stats
	faulty := c.failures > 0 || c.rejections > 0 || c.suspectBackoff > 0 || c.slow.factor() > 1
	return now.Sub(c.activeAt) >= keyTTL && t.inFlight == 0 && !faulty && !t.cold(now)
}
