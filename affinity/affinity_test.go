package affinity_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/affinity"
	"github.com/rainford/rainford/internal/mix"
)

// groupOf assigns a target to one of three groups by its index.
func groupOf(i int) int { return i % 3 }

func rankIn(key string, ids []string, preferred int, group func(int) int) []string {
	r := affinity.NewRanker(key)
	for i, id := range ids {
		r.Add(i, group(i), affinity.Hash(id), 6)
	}
	var out []string
	for _, i := range r.Ranking(preferred) {
		if i >= 0 {
			out = append(out, ids[i])
		}
	}
	return out
}

func rank(key string, ids []string) []string {
	return rankIn(key, ids, affinity.NoGroup, func(int) int { return 0 })
}

// rankNaive computes the ranking from its definition. The first target is the best one of the
// preferred group, or of all groups. The second is the best one of the other groups, or of the same
// group if there is no other.
func rankNaive(key string, ids []string, preferred int, group func(int) int) []string {
	score := func(i int) float64 {
		return mix.RendezvousScore(mix.Combine(affinity.Hash(key), affinity.Hash(ids[i])), 6)
	}
	best := func(allowed func(int) bool) int {
		found := -1
		for i := range ids {
			if allowed(i) && (found < 0 || score(i) > score(found)) {
				found = i
			}
		}
		return found
	}
	first := best(func(i int) bool { return group(i) == preferred })
	if first < 0 {
		first = best(func(int) bool { return true })
	}
	if first < 0 {
		return nil
	}
	second := best(func(i int) bool { return group(i) != group(first) })
	if second < 0 {
		second = best(func(i int) bool { return i != first })
	}
	if second < 0 {
		return []string{ids[first]}
	}
	return []string{ids[first], ids[second]}
}

func targets(n int) []string {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("i-%08x", i*2654435761))
	}
	return ids
}

func TestRankingMatchesDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := targets(rapid.IntRange(0, 30).Draw(t, "targets"))
		key := rapid.StringN(0, 8, 8).Draw(t, "key")
		preferred := rapid.IntRange(-1, 3).Draw(t, "preferred")
		groups := rapid.IntRange(1, 3).Draw(t, "groups")
		group := func(i int) int { return i % groups }
		require.Equal(t, rankNaive(key, ids, preferred, group), rankIn(key, ids, preferred, group))
	})
}

// TestFewKeysMove checks that only the keys of a removed target move.
func TestFewKeysMove(t *testing.T) {
	ids := targets(12)
	for i := range 500 {
		key := fmt.Sprint("k", i)
		before := rank(key, ids)[0]
		after := rank(key, ids[1:])[0]
		if before != ids[0] {
			require.Equal(t, before, after)
		}
	}
}

func TestKeysAreSpread(t *testing.T) {
	ids := targets(12)
	counts := map[string]int{}
	for i := range 12000 {
		counts[rank(fmt.Sprint("k", i), ids)[0]]++
	}
	for _, id := range ids {
		require.InDelta(t, 1000, counts[id], 150)
	}
}

func BenchmarkRank(b *testing.B) {
	for _, n := range []int{12, 74, 372} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			var hashes []uint64
			for _, id := range targets(n) {
				hashes = append(hashes, affinity.Hash(id))
			}
			b.ReportAllocs()
			for b.Loop() {
				r := affinity.NewRanker("r-abc/17")
				for i, id := range hashes {
					r.Add(i, groupOf(i), id, 6)
				}
			}
		})
	}
}
