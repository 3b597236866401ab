package reach

import "time"

// Proofs holds functions that wait for a proof that the instance reaches targets, or for the opposite. The
// zero value holds none. It is not safe for concurrent use.
type Proofs struct {
	waiting []waitingForProof
}

// waitingForProof is a function to call once the instance is known to have reached a target at since or
// later (with true), or to have lost all targets (with false).
type waitingForProof struct {
	since time.Time
	call  func(reached bool)
}

// Add adds a function that waits for a proof of the given time or a later one.
func (p *Proofs) Add(since time.Time, call func(reached bool)) {
	p.waiting = append(p.waiting, waitingForProof{since: since, call: call})
}

// Resolve removes the functions whose wait has ended, and returns them to be called.
func (p *Proofs) Resolve(t *Tracker) []func() {
	var ended []func()
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		if !t.Lost() && t.ProvenAt().Before(w.since) {
			kept = append(kept, w)
			continue
		}
		reached := !t.Lost()
		ended = append(ended, func() { w.call(reached) })
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	return ended
}

// ResolveAll removes all functions and returns them to be called with true. It is used if there is no
// target by which to tell, so that what was seen counts.
func (p *Proofs) ResolveAll() []func() {
	var ended []func()
	for _, w := range p.waiting {
		ended = append(ended, func() { w.call(true) })
	}
	p.waiting = nil
	return ended
}
