package fleet

import "time"

// Watches tells whether the own process is to watch the store: it is among the
// first of its region, by name, that are alive, not leaving, and reach the
// store. Instances whose views differ may choose more watchers than needed,
// never none: an instance that hears of no watcher is the first in its own view.
func (v *View) Watches(now time.Time) bool {
	before := 0
	for _, r := range v.order {
		if r.member.Name > v.self.Name {
			return true
		}
		if r.member.Region == v.self.Region && v.state(now, r) == Alive && r.beat.Flags&Deaf == 0 {
			before++
		}
		if before >= v.settings.Watchers {
			return false
		}
	}
	return true
}

// WatchesFirst tells whether the own process is the first watcher of its region.
func (v *View) WatchesFirst(now time.Time) bool {
	for _, r := range v.order {
		if r.member.Name > v.self.Name {
			break
		}
		if r.member.Region == v.self.Region && v.state(now, r) == Alive && r.beat.Flags&Deaf == 0 {
			return false
		}
	}
	return v.beat.Flags&Deaf == 0
}

// Receivers returns the members that a watcher passes a change on to: all that
// are alive in its region, and the watchers of the other regions.
func (v *View) Receivers(now time.Time) []Member {
	var out []Member
	for _, s := range v.All(now) {
		near := s.Region == v.self.Region
		if s.Name == v.self.Name || s.State == Suspect || s.State == Unknown {
			continue
		}
		if near || s.Flags&Watching != 0 {
			out = append(out, s.Member)
		}
	}
	return out
}
