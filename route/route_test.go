package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/route"
	"github.com/rainford/rainford/table"
)

func candidates(weights ...int) []route.Candidate {
	var out []route.Candidate
	for i, w := range weights {
		out = append(out, route.Candidate{Row: table.Row{To: fmt.Sprint(i), Weight: w}})
	}
	return out
}

// TestOrderFollowsWeights checks that the first rows are distributed by weight, and that no row
// is returned twice.
func TestOrderFollowsWeights(t *testing.T) {
	const draws = 20000
	rnd := rand.New(rand.NewPCG(1, 1))
	first := make(map[string]int)
	for range draws {
		rows := route.Order(candidates(70, 20, 10, 0), rnd)
		require.Len(t, rows, 3, "a row of weight 0 is left out")
		first[rows[0].To]++
		seen := make(map[string]bool)
		for _, r := range rows {
			require.False(t, seen[r.To])
			seen[r.To] = true
		}
	}
	for to, weight := range map[string]float64{"0": 0.7, "1": 0.2, "2": 0.1} {
		require.InDelta(t, weight, float64(first[to])/draws, 0.01)
	}
}

func TestOrderByState(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	cands := candidates(1, 1000, 1000, 1000)
	cands[1].State, cands[2].State, cands[3].State = route.Full, route.Draining, route.Unavailable
	for range 100 {
		rows := route.Order(cands, rnd)
		require.Len(t, rows, 3, "a row with an unavailable destination is left out")
		require.Equal(t, []string{"0", "1", "2"}, []string{rows[0].To, rows[1].To, rows[2].To})
	}
}

func TestPick(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	require.Equal(t, -1, route.Pick(nil, rnd))
	require.Equal(t, 0, route.Pick([]route.Peer{{ID: "a"}}, rnd))
	counts := make([]int, 3)
	for range 3000 {
		counts[route.Pick([]route.Peer{{FreeSlots: 1}, {FreeSlots: 9, SentSinceReport: 9}, {FreeSlots: 5}}, rnd)]++
	}
	require.Greater(t, counts[2], counts[0])
	require.Zero(t, counts[1], "requests sent since the report reduce the free slots")
}

func TestLatencyTracker(t *testing.T) {
	var tracker route.LatencyTracker
	require.True(t, tracker.Warm())
	for range 100 {
		tracker.Observe(40 * time.Millisecond)
	}
	require.True(t, tracker.Warm())
	for range 20 {
		tracker.Observe(200 * time.Millisecond)
	}
	require.False(t, tracker.Warm())
	for range 50 {
		tracker.Observe(40 * time.Millisecond)
	}
	require.True(t, tracker.Warm())
}

func ExampleOrder() {
	rnd := rand.New(rand.NewPCG(1, 1))
	rows := route.Order([]route.Candidate{
		{Row: table.Row{To: "accra", Weight: 90}},
		{Row: table.Row{To: "kumasi", Weight: 10}, State: route.Unavailable},
	}, rnd)
	for _, r := range rows {
		fmt.Println(r.To)
	}
	// Output: accra
}
