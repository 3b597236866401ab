package upstream

import "time"

// markActive gives a target stats of its own if it has none, and records that they are in use.
func (p *Pool) markActive(now time.Time, t *target) {
	if t.stats == &p.emptyStats {
		t.stats = &stats{}
		p.activeTargets = append(p.activeTargets, t)
	}
	t.stats.activeAt = now
}

// Expire drops unused permits and the stats of idle targets. Stats that count against a target are
// kept, since without them the target would look better than it is.
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

// idle reports whether the target's stats are not worth keeping: nothing was recorded within
// keyTTL, no request is in flight, and the target is neither faulty, slow nor cold.
func (t *target) idle(now time.Time) bool {
	c := t.stats
	faulty := c.failures > 0 || c.rejections > 0 || c.suspectBackoff > 0 || c.slow.factor() > 1
	return now.Sub(c.activeAt) >= keyTTL && t.inFlight == 0 && !faulty && !t.cold(now)
}
