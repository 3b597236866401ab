package affinity

import "github.com/rainford/rainford/internal/mix"

// Depth is the number of targets in the ranking of a key. Two are enough to balance load. With
// more, each target would get requests for more objects than it can cache.
const Depth = 2

// MaxGroups bounds the number of groups that a Ranker distinguishes. All further groups share the
// last one.
const MaxGroups = 8

// NoGroup means that no group is preferred.
const NoGroup = -1

// Ranking holds the first targets of a key, best first, as indexes. Missing targets are -1.
type Ranking [Depth]int

// scored is the index of a target with its score for the key.
type scored struct {
	index int
	score float64
}

var noTarget = scored{index: -1}

// Ranker computes the ranking of one key over targets in groups (halls). It does not allocate.
type Ranker struct {
	key    uint64
	groups int
	// best holds the two best targets of each group.
	best [MaxGroups][Depth]scored
}

// NewRanker returns a ranker for the given key.
func NewRanker(key string) Ranker {
	return Ranker{key: Hash(key)}
}

// Hash returns the hash of a key or of a target's ID.
func Hash(text string) uint64 { return mix.Hash(text) }

// Add adds a target with the given index and group. id is the hash of the target's ID, and weight
// its size relative to other targets.
func (r *Ranker) Add(index, group int, id uint64, weight float64) {
	group = min(group, MaxGroups-1)
	for r.groups <= group {
		r.best[r.groups] = [Depth]scored{noTarget, noTarget}
		r.groups++
	}
	s := scored{index: index, score: mix.RendezvousScore(mix.Combine(r.key, id), weight)}
	best := &r.best[group]
	switch {
	case best[0].index < 0 || s.score > best[0].score:
		best[0], best[1] = s, best[0]
	case best[1].index < 0 || s.score > best[1].score:
		best[1] = s
	}
}

// Ranking returns the best target of the preferred group, or of all groups if the preferred one has
// none, followed by the best target of the other groups. If no other group has a target, the
// second best target of the same group follows.
func (r *Ranker) Ranking(preferred int) Ranking {
	first := preferred
	if preferred < 0 || preferred >= r.groups || r.best[preferred][0].index < 0 {
		first = r.bestGroup(NoGroup)
	}
	if first < 0 {
		return Ranking{-1, -1}
	}
	second := r.best[first][1].index
	if other := r.bestGroup(first); other >= 0 {
		second = r.best[other][0].index
	}
	return Ranking{r.best[first][0].index, second}
}

// bestGroup returns the group with the best target, without the group excluded. It returns NoGroup
// if there is none.
func (r *Ranker) bestGroup(excluded int) int {
	best := NoGroup
	for g := range r.groups {
		if g == excluded || r.best[g][0].index < 0 {
			continue
		}
		if best < 0 || r.best[g][0].score > r.best[best][0].score {
			best = g
		}
	}
	return best
}
