package fleet

import (
	"sort"
	"time"
)

// broadcastFanout is the number of branches of a node of the broadcast tree. With it a change
// reaches 100 members in four steps, and no instance sends it more than broadcastFanout times. An
// instance that sent a change of 100 kB to 100 others by itself would fill a link of 20 Mbit/s for
// four seconds.
const broadcastFanout = 4

// Branch is a subtree of the broadcast tree of a region. The member receives the change and has to
// pass it on to the members after it on the ring, up to and including Until.
type Branch struct {
	Member
	Until ID
}

// Branches divides all other living members of the own region among a few branches, for the
// instance that starts a broadcast. Neighbors on the ring are of the same hall, so that a change
// crosses between halls only a few times.
func (v *View) Branches(now time.Time) []Branch {
	return split(v.reachable(now, v.ringAfterSelf()))
}

// BranchesUntil divides the members after the own one on the ring, up to and including until, among
// a few branches, for an instance that passes a broadcast on. It returns none if until is not
// known. The members that are left out then receive the change by gossip.
func (v *View) BranchesUntil(now time.Time, until ID) []Branch {
	ring := v.ringAfterSelf()
	for i, r := range ring {
		if r == v.byID[until] {
			return split(v.reachable(now, ring[:i+1]))
		}
	}
	return nil
}

// ringAfterSelf returns the other members of the own region in ring order, starting after the own
// member.
func (v *View) ringAfterSelf() []*record {
	first := sort.Search(len(v.local), func(i int) bool { return ringLess(v.self, v.local[i].member) })
	return append(v.local[first:len(v.local):len(v.local)], v.local[:first]...)
}

// reachable returns the members that are alive or stopping.
func (v *View) reachable(now time.Time, ring []*record) []Member {
	var out []Member
	for _, r := range ring {
		if state := v.state(now, r); state == Alive || state == Stopping {
			out = append(out, r.member)
		}
	}
	return out
}

// split divides members into up to broadcastFanout branches of about equal length.
func split(members []Member) []Branch {
	var out []Branch
	for parts := broadcastFanout; len(members) > 0; parts-- {
		n := (len(members) + parts - 1) / parts
		out = append(out, Branch{Member: members[0], Until: IDOf(members[n-1].Name)})
		members = members[n:]
	}
	return out
}
