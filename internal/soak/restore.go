package soak

import (
	"time"

	"github.com/rainford/rainford/internal/standin/objects"
)

const (
	// oldestCopy bounds the age of the copy from which the store comes back.
	oldestCopy = 10 * time.Second
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
		lost := s.store.RestoreFrom(f.For + age)
		s.store.SetFaults(objects.Faults{})
		for i, w := range lost {
			r.later(time.Duration(i)*writeAgainTime/time.Duration(len(lost)), func() { s.store.WriteAgain(w) })
		}
	})
}
