package affinity

import "github.com/rainford/rainford/internal/mix"

// Depth is the number of targets that a key is ranked over. Two are enough to even
// out load. More would have each target see more objects than it keeps.
const Depth = 2

// MaxGroups bounds the groups that a Ranker tells apart. Further ones share the
// last place.
const MaxGroups = 8

// NoGroup stands for no preference.
const NoGroup = -1

// Ranking is the first targets of a key, best first, as indexes. Missing ones
// are -1.
type Ranking [Depth]int

// scored is a target with its score.
type scored struct {
	index int
	score float64
}

var noTarget = scored{index: -1}

// Ranker collects the ranking of one key over targets in groups (halls) without
// an allocation.
type Ranker struct {
	key    uint64
	groups int
	// best are the two best targets of each group.
	best [MaxGroups][Depth]scored
}

// NewRanker returns a ranker for a key.
func NewRanker(key string) Ranker {
	return Ranker{key: Hash(key)}
}

// Hash returns the hash of a key or of a target's ID.
func Hash(text string) uint64 { return mix.Hash(text) }

// Add takes in a target by the hash of its ID. Weight is its size relative to
// the others.
func (r *Ranker) Add(index, group int, id uint64, weight float64) {
	group = min(group, MaxGroups-1)
	for r.groups <= group {
		r.best[r.groups] = [Depth]scored{noTarget, noTarget}
		r.groups++
	}
	p := scored{index: index, score: mix.Weighted(mix.Join(r.key, id), weight)}
	held := &r.best[group]
	switch {
	case held[0].index < 0 || p.score > held[0].score:
		held[0], held[1] = p, held[0]
	case held[1].index < 0 || p.score > held[1].score:
		held[1] = p
	}
}

// Ranking returns the best target of the preferred group, or of all if that has
// none, and then the best one of the other groups. Where there is but one group
// its second best comes second.
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

// bestGroup returns the group with the best target, but for one group.
func (r *Ranker) bestGroup(but int) int {
	best := NoGroup
	for g := range r.groups {
		if g == but || r.best[g][0].index < 0 {
			continue
		}
		if best < 0 || r.best[g][0].score > r.best[best][0].score {
			best = g
		}
	}
	return best
}
