package fleet

import (
	"sort"
	"time"
)

// AbsenceTracker tells since when members of a region have not been alive. The zero value is
// ready.
type AbsenceTracker struct {
	absentSince map[string]time.Time
	// alive and known are the members of the region at the last look.
	alive, known int
}

// Update takes in the members of a region as a view knows them now.
func (a *AbsenceTracker) Update(now time.Time, region string, members []Status) {
	if a.absentSince == nil {
		a.absentSince = make(map[string]time.Time)
	}
	a.alive, a.known = 0, 0
	seen := make(map[string]bool, len(members))
	for _, m := range members {
		if m.Region != region {
			continue
		}
		seen[m.Name] = true
		a.known++
		if m.State == Alive {
			a.alive++
			delete(a.absentSince, m.Name)
			continue
		}
		if _, ok := a.absentSince[m.Name]; !ok {
			a.absentSince[m.Name] = now
		}
	}
	for name := range a.absentSince {
		if !seen[name] {
			delete(a.absentSince, name)
		}
	}
}

// AbsentFor returns the names of the members that have been absent for a time, in order. There
// are none while fewer than half of the region are alive: then it is rather the observer
// that is cut off.
func (a *AbsenceTracker) AbsentFor(now time.Time, after time.Duration) []string {
	if 2*a.alive < a.known {
		return nil
	}
	var out []string
	for name, since := range a.absentSince {
		if now.Sub(since) >= after {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}
