package fleet

import "time"

// ShouldWatch tells whether the own process is to watch the store: it is among the
// first of its region, by name, that are alive, not leaving, and reach the
// store. Instances whose views differ may choose more watchers than needed,
// never none: an instance that hears of no watcher is the first in its own view.
func (v *View) ShouldWatch(now time.Time) bool {
	preceding := 0
	for _, r := range v.byName {
		if r.member.Name > v.self.Name {
			return true
		}
		if r.member.Region == v.self.Region && v.state(now, r) == Alive && r.heartbeat.Flags&StoreUnreachable == 0 {
			preceding++
		}
		if preceding >= v.settings.Watchers {
			return false
		}
	}
	return true
}

// IsFirstWatcher tells whether the own process is the first watcher of its region.
func (v *View) IsFirstWatcher(now time.Time) bool {
	for _, r := range v.byName {
		if r.member.Name > v.self.Name {
			break
		}
		if r.member.Region == v.self.Region && v.state(now, r) == Alive && r.heartbeat.Flags&StoreUnreachable == 0 {
			return false
		}
	}
	return v.heartbeat.Flags&StoreUnreachable == 0
}

// IsLeader tells whether the own process is the first by name of all watchers of the fleet that are known
// to be alive. If none is, as while the store is away, one that has led until now goes on.
func (v *View) IsLeader(now time.Time, hasLed bool) bool {
	watches := v.heartbeat.Flags&Watching != 0
	for _, r := range v.byName {
		if r.heartbeat.Flags&Watching == 0 || v.state(now, r) != Alive {
			continue
		}
		return watches && r.member.Name > v.self.Name
	}
	return watches || hasLed
}

// RemoteWatchers returns the watchers of the other regions that are alive.
func (v *View) RemoteWatchers(now time.Time) []Member {
	var out []Member
	for _, r := range v.byName {
		if r.member.Region != v.self.Region && r.heartbeat.Flags&Watching != 0 && v.state(now, r) == Alive {
			out = append(out, r.member)
		}
	}
	return out
}
