package soak

import (
	"time"

	"github.com/rainford/rainford/internal/standin/objects"
)

const (
	// oldestCopy bounds the age of the copy from which the store comes back.
	oldestCopy = 10 * time.Second
	// verdictTime is within how long of a restore the instances are to have written again which
	// verdicts they know.
	verdictTime = 5 * time.Second
	// writeAgainTime is within which the operator and the servers write again what was lost.
	writeAgainTime = 2 * time.Second
)

// restoreStore has the store be away for a time, answering with failures or not at all, and come back from
// a copy that was made some time before. What was lost is written again in order, spread over a time.
func (r *runner) restoreStore(f Fault) {
	s := r.site
	back := time.Now().Add(f.For)
	for _, in := range s.instances {
		s.oracle.disturbed(in.name, back.Add(writeAgainTime+storeSettle))
	}
	age := time.Duration(f.Which) * oldestCopy / (1 << 16)
	s.store.SetFaults(objects.Faults{Down: f.How%2 == 0, Silent: f.How%2 == 1})
	r.later(f.For, func() {
		lost := s.store.RestoreAge(f.For + age)
		s.oracle.restored()
		s.store.SetFaults(objects.Faults{})
		for i, w := range lost {
			r.later(time.Duration(i)*writeAgainTime/time.Duration(len(lost)), func() { s.store.Reapply(w) })
		}
	})
}

// restored notes that the store has come back from a copy.
func (o *oracle) restored() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.restoredAt = time.Now()
}

// allKilled notes that all instances end at once. Verdicts that a restored store has lost, and that were
// perhaps not written again yet, are known to nobody then.
func (o *oracle) allKilled() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.restoredAt) >= verdictTime {
		return
	}
	for _, check := range o.versions {
		check.forgotten = true
	}
}
