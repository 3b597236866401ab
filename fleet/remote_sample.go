package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

const (
	// maxRemoteSample is the largest number of members, besides the watchers, whose heartbeats a message
	// to another region carries in a fleet of more than fullViewSize members. Without them, an
	// instance would know only the watchers of other regions, and could direct clients to no other
	// instances there.
	maxRemoteSample = 8
	// remoteSampleTotal bounds the sum of the samples over all other regions. An instance with many
	// of them hears of enough members altogether, and its messages are near the limit on bytes.
	remoteSampleTotal = 16
)

// remoteSampleSize returns the size of the sample in a message to another region.
func (v *View) remoteSampleSize() int {
	return min(maxRemoteSample, remoteSampleTotal/max(1, len(v.remoteRegions)))
}

// remoteSample returns records of the own region whose heartbeats are gossiped to other regions in
// the current round. They are drawn in proportion to capacity, differently by each instance and in
// each round. Only members that have been heard from within ProbeAfter are drawn, since the receivers take
// these for alive until SuspectAfter has passed again.
func (v *View) remoteSample(now time.Time) []*record {
	average := averageCapacity(v.local)
	key := mix.Combine(uint64(v.heartbeat.Member), uint64(v.round))
	type scored struct {
		*record
		score float64
	}
	eligible := make([]scored, 0, len(v.local))
	for _, r := range v.local {
		if r.heartbeat.Flags&(Ready|Watching) != Ready || v.state(now, r) != Alive || now.Sub(r.heardAt) >= v.settings.ProbeAfter {
			continue
		}
		capacity := float64(r.member.Capacity)
		if capacity <= 0 {
			capacity = average
		}
		hash := mix.Combine(key, uint64(r.heartbeat.Member))
		eligible = append(eligible, scored{r, mix.RendezvousScore(hash, capacity)})
	}
	slices.SortFunc(eligible, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	var out []*record
	for _, r := range eligible[:min(len(eligible), v.remoteSampleSize())] {
		out = append(out, r.record)
	}
	return out
}

// averageCapacity returns the average of the known capacities, or 1 if none is known.
func averageCapacity(records []*record) float64 {
	sum, n := 0.0, 0
	for _, r := range records {
		if r.member.Capacity > 0 {
			sum += float64(r.member.Capacity)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}
