package fleet

import (
	"sort"
	"time"
)

// broadcastFanout is the number of members that one passes a change on to. A change reaches
// 100 members in four steps, and no instance sends it more often than that: one that sent
// a change of 100 kB to 100 others by itself had its link of 20 Mbit/s filled for four
// seconds.
const broadcastFanout = 4

// Branch is a member that a change is sent to, with the last member, by the order of the
// region's ring, that it has to pass it on to.
type Branch struct {
	Member
	Until ID
}

// Branches divides all other members of the own region among a few of them. Members that
// are not alive are left out. Neighbours on the ring are of one hall, so that a change
// passes between halls a few times only.
func (v *View) Branches(now time.Time) []Branch {
	return split(v.reachable(now, v.ringAfterSelf()))
}

// BranchesUntil divides the members that come after the own one on the ring, up to and
// including until. There are none if until is not known: what is left out learns of the
// change by gossip.
func (v *View) BranchesUntil(now time.Time, until ID) []Branch {
	ring := v.ringAfterSelf()
	for i, r := range ring {
		if r == v.byID[until] {
			return split(v.reachable(now, ring[:i+1]))
		}
	}
	return nil
}

// ringAfterSelf returns the other members of the own region in the order of the ring, from
// the one after the own one on.
func (v *View) ringAfterSelf() []*record {
	first := sort.Search(len(v.local), func(i int) bool { return ringLess(v.self, v.local[i].member) })
	return append(v.local[first:len(v.local):len(v.local)], v.local[:first]...)
}

// reachable returns the members that are alive, those that are leaving too.
func (v *View) reachable(now time.Time, ring []*record) []Member {
	var out []Member
	for _, r := range ring {
		if state := v.state(now, r); state == Alive || state == Stopping {
			out = append(out, r.member)
		}
	}
	return out
}

// split divides members into parts as long as each other.
func split(members []Member) []Branch {
	var out []Branch
	for parts := broadcastFanout; len(members) > 0; parts-- {
		n := (len(members) + parts - 1) / parts
		out = append(out, Branch{Member: members[0], Until: IDOf(members[n-1].Name)})
		members = members[n:]
	}
	return out
}
