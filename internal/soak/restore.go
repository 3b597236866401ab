package soak

import (
	"time"

	"github.com/rainford/rainford/internal/standin/objects"
)

const (
	// maxCopyAge bounds the age of the copy from which the store is restored.
	maxCopyAge = 10 * time.Second
	// verdictTime is the time after a restore within which the instances must have rewritten
	// the rollout verdicts that they know.
	verdictTime = 5 * time.Second
	// rewriteTime is the time over which the operator and the servers rewrite the lost data.
	rewriteTime = 2 * time.Second
)

// restoreStore makes the store unavailable, with errors or without answers, and then restores
// it from an earlier copy. The lost writes are repeated in order, spread over rewriteTime.
func (r *runner) restoreStore(f Fault) {
	s := r.site
	back := time.Now().Add(f.For)
	for _, in := range s.instances {
		s.oracle.disturbed(in.name, back.Add(rewriteTime+storeSettle))
	}
	age := time.Duration(f.Which) * maxCopyAge / (1 << 16)
	s.store.SetFaults(objects.Faults{Down: f.How%2 == 0, Silent: f.How%2 == 1})
	r.later(f.For, func() {
		lost := s.scheduleRewrites(s.store.RestoreAge(f.For + age))
		s.oracle.restored()
		s.store.SetFaults(objects.Faults{})
		for i, w := range lost {
			r.later(time.Duration(i)*rewriteTime/time.Duration(len(lost)), func() { s.rewrite(w) })
		}
	})
}

// scheduleRewrites returns the lost writes that are to be repeated after a restore. It leaves out objects
// whose write is still to be repeated after an earlier restore: that one is newer than what the store
// held since.
func (s *site) scheduleRewrites(lost []objects.LostWrite) []objects.LostWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rewrites == nil {
		s.rewrites = make(map[string]bool)
	}
	var out []objects.LostWrite
	for _, w := range lost {
		key := string(w.Kind) + "/" + w.Name
		if !s.rewrites[key] {
			s.rewrites[key] = true
			out = append(out, w)
		}
	}
	return out
}

// rewrite repeats a lost write that scheduleRewrites returned.
func (s *site) rewrite(w objects.LostWrite) {
	s.mu.Lock()
	delete(s.rewrites, string(w.Kind)+"/"+w.Name)
	s.mu.Unlock()
	s.store.Reapply(w)
}

// restored records that the store was restored from a copy.
func (o *oracle) restored() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.restoredAt = time.Now()
	for _, check := range o.versions {
		check.lostFor = 0
	}
}

// allKilled records that all instances are killed at once. If the store was restored less than
// verdictTime ago, a verdict that it lost may not have been rewritten yet, and may then be
// lost for good.
func (o *oracle) allKilled() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.restoredAt) >= verdictTime {
		return
	}
	for _, check := range o.versions {
		check.stateLost = true
	}
}
