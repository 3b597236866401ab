package locality_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/locality"
	"github.com/rainford/rainford/table"
)

var regions = []string{"a", "b", "c"}

func drawSlots(t *rapid.T) map[string]float64 {
	slots := make(map[string]float64)
	for _, r := range regions {
		if n := rapid.IntRange(0, 40).Draw(t, r); n > 0 {
			slots[r] = float64(n)
		}
	}
	return slots
}

func sum(shares []locality.Share) float64 {
	total := 0.0
	for _, s := range shares {
		total += s.Fraction
	}
	return total
}

// TestSharesFollowSlots checks that shares add up to 1, that regions without slots get no share,
// and that no region gets more requests than its slots can run if demand is equal in all regions.
func TestSharesFollowSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := drawSlots(t)
		total := 0.0
		for _, n := range slots {
			total += n
		}
		load := make(map[string]float64)
		for _, from := range regions {
			shares := locality.FromSlots(from, slots, len(regions))
			if total == 0 {
				require.Empty(t, shares)
				continue
			}
			require.InDelta(t, 1, sum(shares), 1e-9)
			for _, s := range shares {
				require.Positive(t, slots[s.Region])
				load[s.Region] += s.Fraction * total / float64(len(regions))
			}
		}
		for region, n := range load {
			require.LessOrEqual(t, n, slots[region]+1e-9, region)
		}
	})
}

// TestSharesAreContinuous checks that a small change of slots results in a small change of shares.
// A sudden change would move many objects, which are then not cached at their new targets.
func TestSharesAreContinuous(t *testing.T) {
	for n := 10.0; n < 40; n += 0.1 {
		before := locality.FromSlots("a", map[string]float64{"a": n, "b": 30, "c": 30}, 3)
		after := locality.FromSlots("a", map[string]float64{"a": n + 0.1, "b": 30, "c": 30}, 3)
		require.LessOrEqual(t, moved(before, after), 0.01, "at %.1f slots", n)
	}
}

func TestSharesFromRows(t *testing.T) {
	rows := []table.Row{
		{Service: "s", From: "a", To: "a", Weight: 60},
		{Service: "s", From: "a", To: "b", Weight: 40},
		{Service: "s", From: "a", To: "c", Weight: 100},
		{Service: "s", From: "b", To: "b", Weight: 100},
	}
	got := locality.FromRows("s", "a", rows, map[string]float64{"a": 3, "b": 3})
	require.Equal(t, []locality.Share{{Region: "a", Fraction: 0.6}, {Region: "b", Fraction: 0.4}}, got)
	require.Empty(t, locality.FromRows("s", "c", rows, map[string]float64{"a": 3}))
}

func TestDrawFollowsParts(t *testing.T) {
	shares := []locality.Share{{Region: "a", Fraction: 0.25}, {Region: "b", Fraction: 0.25}, {Region: "c", Fraction: 0.5}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[locality.Draw("b", shares, (float64(i)+0.5)/1000)]++
	}
	require.Equal(t, map[string]int{"a": 250, "b": 250, "c": 500}, counts)
	require.Equal(t, "", locality.Draw("b", nil, 0.5))
}

// moved returns the fraction of the hash space whose region differs.
func moved(before, after []locality.Share) float64 {
	const points = 400
	n := 0
	for i := range points {
		p := (float64(i) + 0.5) / points
		if locality.Draw("a", before, p) != locality.Draw("a", after, p) {
			n++
		}
	}
	return float64(n) / points
}

// TestRampIsBounded checks that in any window at most 0.15 of the hash space, three times the step,
// changes its region, whatever the wanted shares, as long as each region keeps some slots. It also
// checks that the shares reach the wanted shares. A
// region with slots may have a wanted share of 0.
func TestRampIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &locality.Ramp{Step: 0.05, Window: 2 * time.Second}
		slots := map[string]float64{}
		change := func() {
			for _, r := range regions {
				slots[r] = float64(rapid.IntRange(1, 40).Draw(t, r))
			}
		}
		now := time.Unix(0, 0)
		change()
		follow := func() []locality.Share {
			got := m.Advance(now, locality.FromSlots("a", slots, len(regions)), slots)
			return append([]locality.Share(nil), got...)
		}
		history := [][]locality.Share{follow()}
		const step = 100 * time.Millisecond
		for range 60 {
			now = now.Add(step)
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				change()
			}
			history = append(history, follow())
			if back := len(history) - 21; back >= 0 {
				// A share that changes also shifts the boundaries of other shares.
				require.LessOrEqual(t, moved(history[back], history[len(history)-1]), 0.15)
			}
		}
		for range 1000 {
			now = now.Add(step)
			follow()
		}
		require.True(t, m.Settled(locality.FromSlots("a", slots, len(regions))))
	})
}

// TestIdleTimeDoesNotEnlargeStep checks that a long time without a change does not make the first
// step larger.
func TestIdleTimeDoesNotEnlargeStep(t *testing.T) {
	m := &locality.Ramp{Step: 0.05, Window: 2 * time.Second}
	slots := map[string]float64{"a": 1, "b": 1}
	before := []locality.Share{{Region: "a", Fraction: 1}}
	now := time.Unix(0, 0)
	m.Advance(now, before, slots)
	want := []locality.Share{{Region: "a", Fraction: 0.5}, {Region: "b", Fraction: 0.5}}
	now = now.Add(time.Minute)
	got := append([]locality.Share(nil), m.Advance(now, want, slots)...)
	require.Zero(t, moved(before, got))
	got = m.Advance(now.Add(2*time.Second), want, slots)
	require.InDelta(t, 0.05, moved(before, got), 0.005)
}

func TestRampLeavesEmptyRegionsAtOnce(t *testing.T) {
	m := &locality.Ramp{Step: 0.05, Window: 2 * time.Second}
	m.Advance(time.Unix(0, 0), []locality.Share{{Region: "a", Fraction: 0.5}, {Region: "b", Fraction: 0.5}}, map[string]float64{"a": 1, "b": 1})
	got := m.Advance(time.Unix(1, 0), []locality.Share{{Region: "a", Fraction: 1}}, map[string]float64{"a": 1})
	require.Equal(t, []locality.Share{{Region: "a", Fraction: 1}}, got)
}
