package fleet

import (
	"sort"
	"time"
)

// AbsenceTracker records since when members of a region have not been alive. The zero value is
// ready for use.
type AbsenceTracker struct {
	absentSince map[string]time.Time
	// alive and known are the numbers of living and of all members of the region at the last
	// update.
	alive, known int
}

// Update records the state at time now of those members that are of the region.
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

// AbsentFor returns the sorted names of the members that have been absent for at least the given
// duration. It returns none while fewer than half of the region's members are alive, since this
// instance is then more likely to be partitioned itself.
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
