package fleet

import "time"

// ShouldWatch reports whether the own process should watch the store. It should if fewer than
// Settings.Watchers members of its region that are alive and can reach the store precede it by
// name, whether or not it can reach the store itself. Instances with
// different views may choose more watchers than needed, but never none, since an instance that sees
// no watcher before it in the order chooses itself.
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

// IsFirstWatcher reports whether the own process is the first of its region by name that watches, if it
// does. It is not if it can't reach the store. An instance that has just started precedes others
// and does not watch yet.
func (v *View) IsFirstWatcher(now time.Time) bool {
	for _, r := range v.byName {
		if r.member.Name > v.self.Name {
			break
		}
		if r.member.Region == v.self.Region && v.state(now, r) == Alive && r.heartbeat.Flags&Watching != 0 {
			return false
		}
	}
	return v.heartbeat.Flags&StoreUnreachable == 0
}

// IsLeader reports whether the own process is the first, by name, of all watchers of the fleet that
// are known to be alive. If there are no watchers, as while the store is down, a process that has
// led until now remains the leader.
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

// RemoteWatchers returns the living watchers of the other regions.
func (v *View) RemoteWatchers(now time.Time) []Member {
	var out []Member
	for _, r := range v.byName {
		if r.member.Region != v.self.Region && r.heartbeat.Flags&Watching != 0 && v.state(now, r) == Alive {
			out = append(out, r.member)
		}
	}
	return out
}
