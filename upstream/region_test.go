package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/upstream"
)

// TestHomeRegions checks that requests never leave their home regions.
func TestHomeRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool()
		p.SetTargets(start, specsInEachHall(rapid.IntRange(0, 2).Draw(t, "targets")), map[string]bool{"b1": rapid.Bool().Draw(t, "evacuated")})
		homes := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 2, rapid.ID[string]).Draw(t, "homes")
		for i := range 40 {
			r := request(fmt.Sprint("k", i))
			r.Regions = homes
			d := p.Acquire(start, r)
			if d.Action == upstream.Send {
				require.Contains(t, homes, d.Target.Region)
			}
		}
	})
}

// TestFewKeysAreDividedBySlots checks that a region with slots for half of its requests keeps half
// of a small number of keys, whatever their hashes. It also checks that the keys do not move again
// once the shares have settled.
func TestFewKeysAreDividedBySlots(t *testing.T) {
	const keys = 32
	rapid.Check(t, func(t *rapid.T) {
		p := newPool()
		var specs []*catalog.Target
		for i, hall := range []string{"a1", "b1", "b1", "c1", "c1", "c1"} {
			specs = append(specs, &catalog.Target{ID: fmt.Sprint(hall, "-", i), Service: "s", Addr: "x", Hall: hall, Slots: 30})
		}
		p.SetTargets(start, specs, nil)
		name := rapid.StringN(1, 4, 8).Draw(t, "name")
		run := func(now time.Time) []string {
			var regions []string
			for i := range keys {
				r := request(fmt.Sprint(name, i))
				d := p.Acquire(now, r)
				require.Equal(t, upstream.Send, d.Action)
				regions = append(regions, d.Target.Region)
				p.Release(now, d.Target.ID, upstream.Result{Latency: time.Millisecond})
			}
			return regions
		}
		now := start
		for range 100 {
			run(now)
			now = now.Add(200 * time.Millisecond)
		}
		settled := run(now)
		own := 0
		for _, region := range settled {
			if region == "a" {
				own++
			}
		}
		require.InDelta(t, keys/2, own, 1)
		require.Equal(t, settled, run(now.Add(5*time.Second)))
	})
}

// TestSharesReserveHomeCapacity checks that home-bound requests reduce the share of other requests
// that their region gets, by the capacity that they need.
func TestSharesReserveHomeCapacity(t *testing.T) {
	// Region a has a tenth of the slots, and regions b and c have equal numbers.
	var specs []*catalog.Target
	for hall, n := range map[string]int{"a1": 2, "b1": 9, "c1": 9} {
		for i := range n {
			specs = append(specs, &catalog.Target{ID: fmt.Sprint(hall, "-", i), Service: "s", Addr: "x", Hall: hall, Slots: 300})
		}
	}
	ran := func(shares map[string]float64) map[string]int {
		p := newPool()
		p.SetHomeShares(shares)
		p.SetTargets(start, specs, nil)
		counts := map[string]int{}
		for i := range 4000 {
			r := request(fmt.Sprint("k", i))
			r.Sticky = false
			d := p.Acquire(start, r)
			p.Release(start, d.Target.ID, upstream.Result{Latency: time.Millisecond})
			counts[d.Target.Region]++
		}
		return counts
	}
	// Region a keeps 0.1 of the slots relative to an equal demand of a third.
	require.InDelta(t, 1200, ran(nil)["a"], 120)
	// A fraction of 0.02 of the requests at twice the work leaves region a 0.061 of the slots, out
	// of 0.961.
	require.InDelta(t, 4000*3*0.0608/0.9608, ran(map[string]float64{"a": 0.02})["a"], 120)
	require.Less(t, ran(map[string]float64{"a": 0.5})["a"], 100, "almost no requests")
	require.InDelta(t, 1200, ran(map[string]float64{"b": 0.01, "c": 0.01})["a"], 150)
}
