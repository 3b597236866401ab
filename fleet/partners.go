package fleet

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

// RoundTime is the time between two rounds of gossip.
const RoundTime = 500 * time.Millisecond

const (
	// remoteChoices is the number of members of another region among which an instance
	// changes from round to round, so that one that is down does not cut it off.
	remoteChoices = 4
	// maxProbes bounds the members that are asked directly in a round: most of the
	// silent ones of a lost hall need not be.
	maxProbes = 8
	// refusalBackoff is how long a member of another region that refused a connection is
	// passed over.
	refusalBackoff = 5 * time.Second
)

// ringLess orders the members of a region so that neighbours are of one hall.
func ringLess(a, b Member) bool {
	if a.Hall != b.Hall {
		return a.Hall < b.Hall
	}
	return a.Name < b.Name
}

// nextRound counts the rounds so that instances whose clocks agree are in the same one.
func (v *View) nextRound(now time.Time) {
	byClock := int64(SequenceAt(now))
	v.round++
	if off := v.round - byClock; off < -1 || off > 1 {
		v.round = byClock
	}
}

// Partners returns the members that a round of gossip goes to: some of the own region,
// by a schedule that all instances share, one of another region, whether or not it was
// heard of, and one of the own region that is not alive, so that a healed cut is noticed.
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

// localPartners picks the partners of this round on the ring of a region's living members,
// of which before stand ahead of the own one. All members take partners at the same
// distances, which change with the round as if drawn, so that each hears from as many
// others in each round, where partners that each draws for itself leave some out.
func (v *View) localPartners(ring []Member, rank int) []Member {
	n := len(ring) + 1
	var out []Member
	taken := make(map[int]bool, v.settings.LocalFanout)
	for draw := uint64(0); len(out) < min(v.settings.LocalFanout, n-1); draw++ {
		distance := 1 + int(mix.Join(uint64(v.round), draw)%uint64(n-1))
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

// remotePartner returns the partner of another region in this round: the regions take
// turns, and in each the instance has a few partners that others do not have, at the
// place of the other ring that corresponds to its own.
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

// Probes returns the members to ask directly whether they are alive: those of which no
// heartbeat has come for a while, before they are suspected.
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
