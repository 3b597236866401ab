package fleet

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

// RoundTime is the interval of the gossip rounds.
const RoundTime = 500 * time.Millisecond

const (
	// remoteChoices is the number of members of another region among which an instance rotates from
	// round to round, so that a single failed one does not isolate it from that region.
	remoteChoices = 4
	// maxProbes limits the members that are probed in a round. When a hall is lost, most of its
	// members need not be probed.
	maxProbes = 8
	// refusalBackoff is the time for which a member of another region is skipped as a partner after
	// it has refused a connection.
	refusalBackoff = 5 * time.Second
)

// ringLess orders the members of a region on the ring, so that the members of a hall are adjacent.
func ringLess(a, b Member) bool {
	if a.Hall != b.Hall {
		return a.Hall < b.Hall
	}
	return a.Name < b.Name
}

// nextRound increments the round number and keeps it within one of the clock's, so that instances
// with synchronized clocks are in the same round.
func (v *View) nextRound(now time.Time) {
	byClock := int64(SequenceAt(now))
	v.round++
	if off := v.round - byClock; off < -1 || off > 1 {
		v.round = byClock
	}
}

// Partners returns the members to which this round's gossip is sent. These are some living members
// of the own region, by a schedule that all instances share, one member of another region, whatever
// its state, unless it has refused a connection within refusalBackoff, and one member of the own
// region that is not alive, so that the end of a network partition is noticed.
func (v *View) Partners(now time.Time, rnd *rand.Rand) []Member {
	v.nextRound(now)
	var alive, silent []Member
	rank := 0
	for _, r := range v.local {
		if v.state(now, r) != Alive {
			silent = append(silent, r.member)
			continue
		}
		if ringLess(r.member, v.self) {
			rank++
		}
		alive = append(alive, r.member)
	}
	out := v.localPartners(alive, rank)
	if m, ok := v.remotePartner(now, rank, len(alive)+1); ok {
		out = append(out, m)
	}
	if len(silent) > 0 {
		out = append(out, silent[rnd.IntN(len(silent))])
	}
	return out
}

// localPartners chooses this round's partners on the ring of the living members of the region. Rank
// is the position of the own member on the ring. All members choose partners at the same distances,
// which change pseudorandomly with each round. So each member receives gossip from the same number
// of others in each round. If each member chose partners at random, some members would receive
// none.
func (v *View) localPartners(ring []Member, rank int) []Member {
	n := len(ring) + 1
	var out []Member
	taken := make(map[int]bool, v.settings.LocalFanout)
	for draw := uint64(0); len(out) < min(v.settings.LocalFanout, n-1); draw++ {
		distance := 1 + int(mix.Combine(uint64(v.round), draw)%uint64(n-1))
		if taken[distance] {
			continue
		}
		taken[distance] = true
		at := (rank + distance) % n
		if at > rank {
			at--
		}
		out = append(out, ring[at])
	}
	return out
}

// remotePartner returns this round's partner in another region. The regions take turns. In each,
// the instance rotates through a few members around the position on that region's ring which
// corresponds to its own, so that different instances have different partners.
func (v *View) remotePartner(now time.Time, rank, n int) (Member, bool) {
	if len(v.remoteRegions) == 0 {
		return Member{}, false
	}
	turn := int(v.round % int64(len(v.remoteRegions)))
	ring := v.remote[v.remoteRegions[turn]]
	at := rank*len(ring)/n + int(v.round/int64(len(v.remoteRegions)))%remoteChoices
	for i := range ring {
		r := ring[(at+i)%len(ring)]
		if now.Sub(r.refusedAt) >= refusalBackoff {
			return r.member, true
		}
	}
	return Member{}, false
}

// Probes returns the members to probe: those that are still alive in this view, but whose last
// heartbeat is at least ProbeAfter old. Members with the oldest heartbeats come first.
func (v *View) Probes(now time.Time) []Member {
	var doubtful []*record
	for _, r := range v.members {
		silence := now.Sub(r.heardAt)
		if v.tracks(r) && v.state(now, r) == Alive && silence >= v.settings.ProbeAfter {
			doubtful = append(doubtful, r)
		}
	}
	sort.Slice(doubtful, func(i, j int) bool {
		a, b := doubtful[i], doubtful[j]
		if !a.heardAt.Equal(b.heardAt) {
			return a.heardAt.Before(b.heardAt)
		}
		return a.member.Name < b.member.Name
	})
	out := make([]Member, 0, maxProbes)
	for _, r := range doubtful[:min(len(doubtful), maxProbes)] {
		out = append(out, r.member)
	}
	return out
}
