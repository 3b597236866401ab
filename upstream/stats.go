package upstream

import "time"

// touch has a target keep what is told of it from now on.
func (p *Pool) touch(now time.Time, t *target) {
	if t.contact == &p.none {
		t.contact = &contact{}
		p.touched = append(p.touched, t)
	}
	t.contact.touchedAt = now
}

// Expire drops what is known of permits that nobody asks for, and of targets of which nothing was heard
// for as long as a key is taken to be remembered, unless that would make them look better than they are.
func (p *Pool) Expire(now time.Time) {
	p.permits.EvictIdle(now)
	kept := p.touched[:0]
	for _, t := range p.touched {
		switch {
		case p.byID[t.spec.ID] != t:
		case t.idle(now):
			t.contact = &p.none
		default:
			kept = append(kept, t)
		}
	}
	clear(p.touched[len(kept):])
	p.touched = kept
}

// idle tells whether there is nothing worth keeping of what is known of the target.
func (t *target) idle(now time.Time) bool {
	c := t.contact
	faulty := c.failures > 0 || c.rejections > 0 || c.suspicion > 0 || c.slow.factor() > 1
	return now.Sub(c.touchedAt) >= keyLife && t.inFlight == 0 && !faulty && !t.cold(now)
}
