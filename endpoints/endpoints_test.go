package endpoints_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/endpoints"
)

var start = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

// hall returns n serving instances of a hall. The region is the first letter of the hall's name.
func hall(name string, n, capacity int) []endpoints.Instance {
	var out []endpoints.Instance
	for i := range n {
		out = append(out, endpoints.Instance{Addr: fmt.Sprintf("%s-%d-%02d:1", name, capacity, i), Hall: name, Region: name[:1], Capacity: capacity, Serves: true, ServedLast: true, HeardAt: start})
	}
	return out
}

func join(lists ...[]endpoints.Instance) []endpoints.Instance {
	var out []endpoints.Instance
	for _, list := range lists {
		out = append(out, list...)
	}
	return out
}

// change returns a copy of the instances with a change of each.
func change(list []endpoints.Instance, change func(*endpoints.Instance)) []endpoints.Instance {
	out := append([]endpoints.Instance(nil), list...)
	for i := range out {
		change(&out[i])
	}
	return out
}

func overloaded(list []endpoints.Instance) []endpoints.Instance {
	return change(list, func(m *endpoints.Instance) { m.Overloaded = true })
}

func silent(list []endpoints.Instance) []endpoints.Instance {
	return change(list, func(m *endpoints.Instance) { m.Serves = false })
}

// count returns the number of entries of each address.
func count(addrs []string) map[string]int {
	out := make(map[string]int)
	for _, addr := range addrs {
		out[addr]++
	}
	return out
}

var (
	query = endpoints.Query{Region: "a", Hall: "a1"}
	self  = endpoints.State{Addr: "a1-0-00:1", Hall: "a1"}
)

// TestWeights checks the entries of each instance of the own hall where the weights can be
// represented exactly: they are in proportion to the capacities, alike for instances of equal or
// unknown capacity, and a quarter for overloaded ones.
func TestWeights(t *testing.T) {
	spares := join(hall("a2", 3, 0), hall("b1", 3, 0))
	cases := []struct {
		name  string
		hall  []endpoints.Instance
		total int
		want  map[string]int
	}{
		{"alike", hall("a1", 4, 0), 62, map[string]int{"a1-0-00:1": 15, "a1-0-03:1": 15}},
		{"alike and known", hall("a1", 3, 192), 62, map[string]int{"a1-192-00:1": 20, "a1-192-02:1": 20}},
		{"five of a kind", hall("a1", 5, 192), 62, map[string]int{"a1-192-00:1": 12, "a1-192-04:1": 12}},
		{"a large hall", hall("a1", 38, 192), 40, map[string]int{"a1-192-00:1": 1, "a1-192-37:1": 1}},
		{"two sizes", join(hall("a1", 2, 768), hall("a1", 13, 192)), 44, map[string]int{"a1-768-00:1": 8, "a1-768-01:1": 8, "a1-192-12:1": 2}},
		{"unknown ones", join(hall("a1", 2, 192), hall("a1", 2, 0)), 62, map[string]int{"a1-192-00:1": 15, "a1-0-00:1": 15}},
		{"an overloaded one", join(hall("a1", 3, 192), overloaded(hall("a1", 1, 0))), 54, map[string]int{"a1-192-00:1": 16, "a1-0-00:1": 4}},
		{"all overloaded", overloaded(hall("a1", 3, 0)), 62, map[string]int{"a1-0-00:1": 20}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for step := range 20 {
				got := endpoints.Choose(start.Add(time.Duration(step)*700*time.Millisecond), query, join(c.hall, spares), self)
				require.Len(t, got.Addresses, c.total)
				require.Equal(t, endpoints.OwnHall, got.Composition)
				require.Equal(t, []int{c.total - 2, 1, 1}, []int{got.SameHall, got.SameRegion, got.OtherRegion})
				for addr, n := range c.want {
					require.Equal(t, n, count(got.Addresses)[addr], addr)
				}
			}
		})
	}
}

// TestOnlyInstance guards against a response without addresses because the only instance is
// overloaded, and against repeated addresses where there is nothing to outnumber.
func TestOnlyInstance(t *testing.T) {
	got := endpoints.Choose(start, query, overloaded(hall("a1", 1, 192)), self)
	require.Equal(t, []string{"a1-192-00:1"}, got.Addresses)
	require.Equal(t, endpoints.Empty, endpoints.Choose(start, query, silent(hall("a1", 1, 192)), self).Composition)
}

// TestSamples checks responses that cannot represent the weights: over time each instance has the
// entries that its weight calls for, the number of its entries differs by at most one from that,
// responses differ, and most of the entries of one remain in the next.
func TestSamples(t *testing.T) {
	cases := []struct {
		name string
		hall []endpoints.Instance
	}{
		{"very unlike", join(hall("a1", 2, 6144), hall("a1", 20, 192))},
		{"more than entries", join(hall("a1", 100, 192), hall("a1", 30, 768))},
		{"overloaded ones", join(hall("a1", 36, 192), overloaded(hall("a1", 3, 192*2)))},
	}
	const (
		steps = 3200
		step  = 10 * time.Millisecond
		ttl   = 2 * time.Second
	)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			instances := join(c.hall, hall("a2", 3, 0), hall("b1", 3, 0))
			weights, sum := map[string]float64{}, 0.0
			for _, m := range c.hall {
				weights[m.Addr] = float64(m.Capacity)
				if m.Overloaded {
					weights[m.Addr] /= 4
				}
				sum += weights[m.Addr]
			}
			total, main, changed := map[string]int{}, 0, 0
			for i := range steps {
				at := start.Add(time.Duration(i) * step)
				got := endpoints.Choose(at, query, instances, self)
				main = len(got.Addresses) - 2
				entries, next := count(got.Addresses), count(endpoints.Choose(at.Add(ttl), query, instances, self).Addresses)
				for addr, weight := range weights {
					quota := float64(main) * weight / sum
					require.InDelta(t, quota, entries[addr], 1, addr)
					total[addr] += entries[addr]
					changed += max(0, entries[addr]-next[addr])
				}
			}
			for addr, weight := range weights {
				require.InEpsilon(t, float64(main)*weight/sum, float64(total[addr])/steps, 0.02, addr)
			}
			require.Positive(t, changed)
			require.Less(t, float64(changed)/steps/float64(main), 0.2)
		})
	}
}

// TestIsolated checks the response of an isolated instance: three quarters of the entries are
// instances of the other halls of the region that served when the links broke, but none that had
// ended before, and a quarter the own hall. If it knows no others, it names its own hall.
func TestIsolated(t *testing.T) {
	isolated := self
	isolated.Isolated = true
	ended := change(silent(hall("a2", 1, 768)), func(m *endpoints.Instance) { m.HeardAt = start.Add(-3 * time.Second) })
	left := change(silent(hall("a2", 1, 384)), func(m *endpoints.Instance) { m.ServedLast = false })
	instances := join(hall("a1", 3, 192), silent(join(hall("a2", 3, 192), hall("b1", 3, 192))), ended, left)
	got := endpoints.Choose(start.Add(time.Minute), query, instances, isolated)
	require.Equal(t, endpoints.Isolated, got.Composition)
	require.InDelta(t, 0.25, float64(got.SameHall)/float64(len(got.Addresses)), 0.03)
	require.Equal(t, 1, got.OtherRegion)
	entries := count(got.Addresses)
	require.Zero(t, entries["a2-768-00:1"], "ended long before the links broke")
	require.Zero(t, entries["a2-384-00:1"], "had left")
	require.Positive(t, entries["a2-192-00:1"])

	for n := range 6 {
		instances := join(hall("a1", n+1, 192), silent(join(hall("a2", 5, 192), hall("b1", 5, 192), hall("c1", 5, 192))))
		require.LessOrEqual(t, len(endpoints.Choose(start, query, instances, isolated).Addresses), endpoints.MaxEntries)
	}

	noRegion := join(hall("a1", 3, 192), silent(hall("b1", 3, 192)))
	got = endpoints.Choose(start, query, noRegion, isolated)
	require.InDelta(t, 0.75, float64(got.OtherRegion)/float64(len(got.Addresses)), 0.03)

	alone := endpoints.Choose(start, query, hall("a1", 3, 192), isolated)
	require.Equal(t, endpoints.OwnHall, alone.Composition)
	require.Len(t, alone.Addresses, 3)
}

// TestSparesServe guards against a spare that ended long ago, which an instance that has just started takes for
// serving, beside living ones of its region.
func TestSparesServe(t *testing.T) {
	starting := self
	starting.Discovering = true
	unknown := change(silent(hall("b1", 20, 768)), func(m *endpoints.Instance) { m.MayServe = true })
	instances := join(hall("a1", 3, 192), hall("b2", 1, 192), unknown)
	for step := range 50 {
		got := endpoints.Choose(start.Add(time.Duration(step)*time.Second), query, instances, starting)
		require.Equal(t, 1, count(got.Addresses)["b2-192-00:1"])
	}
}

// fleetOf draws a fleet of up to four regions with up to three halls each.
func fleetOf(t *rapid.T) []endpoints.Instance {
	var out []endpoints.Instance
	alike := rapid.Bool().Draw(t, "alike")
	for region := range rapid.IntRange(1, 4).Draw(t, "regions") {
		for h := range rapid.IntRange(1, 3).Draw(t, "halls") {
			name := fmt.Sprint(string(rune('a'+region)), h+1)
			for _, m := range hall(name, rapid.SampledFrom([]int{0, 1, 2, 3, 5, 13, 38, 104}).Draw(t, "size"), 0) {
				if !alike {
					m.Capacity = rapid.SampledFrom([]int{0, 128, 192, 256, 768, 6144}).Draw(t, "capacity")
					m.Overloaded = rapid.IntRange(0, 9).Draw(t, "load") == 0
				}
				m.Serves = rapid.IntRange(0, 4).Draw(t, "state") > 0
				m.MayServe = m.Serves || rapid.Bool().Draw(t, "may")
				out = append(out, m)
			}
		}
	}
	return out
}

// TestResponses checks the responses for drawn fleets: whichever hall or region is lost, each
// response names an instance elsewhere if one served there; only instances that serve are named, as
// far as known; a response of the own hall gives few entries to other halls and regions; and an
// instance that is like all others has as many entries as they.
func TestResponses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := fleetOf(t)
		state := endpoints.State{Addr: rapid.SampledFrom([]string{"x:1", "y:1"}).Draw(t, "self"), Hall: "a1", Discovering: rapid.IntRange(0, 4).Draw(t, "discovering") == 0}
		q := endpoints.Query{Hall: rapid.SampledFrom([]string{"a1", "a2", "b1", "z9"}).Draw(t, "hall")}
		q.Region = q.Hall[:1]
		now := start.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "now")))
		got := endpoints.Choose(now, q, instances, state)

		usable := map[string]endpoints.Instance{}
		for _, m := range instances {
			if m.Serves || (state.Discovering && m.MayServe) {
				usable[m.Addr] = m
			}
		}
		require.Equal(t, len(usable) == 0, len(got.Addresses) == 0)
		require.LessOrEqual(t, len(got.Addresses), endpoints.MaxEntries)
		require.Equal(t, len(got.Addresses), got.SameHall+got.SameRegion+got.OtherRegion)
		halls, regions, entries := map[string]bool{}, map[string]bool{}, count(got.Addresses)
		for _, addr := range got.Addresses {
			m, ok := usable[addr]
			require.True(t, ok, "%s does not serve", addr)
			halls[m.Hall], regions[m.Region] = true, true
		}
		allHalls, allRegions := map[string]bool{}, map[string]bool{}
		for _, m := range usable {
			allHalls[m.Hall], allRegions[m.Region] = true, true
		}
		require.GreaterOrEqual(t, len(halls), min(2, len(allHalls)), "the loss of a hall leaves nothing")
		require.GreaterOrEqual(t, len(regions), min(2, len(allRegions)), "the loss of a region leaves nothing")
		if got.Composition != endpoints.OwnHall {
			return
		}
		n := float64(len(got.Addresses))
		require.Less(t, float64(got.OtherRegion)/n, 1.0/25)
		require.Less(t, float64(got.SameRegion+got.OtherRegion)/n, 1.0/10)
		requireAlike(t, q, usable, entries)
	})
}

// requireAlike checks that instances of a hall have the same number of entries if they are alike and
// few enough to be named all.
func requireAlike(t *rapid.T, q endpoints.Query, usable map[string]endpoints.Instance, entries map[string]int) {
	least, most, n := endpoints.MaxEntries, 0, 0
	for addr, m := range usable {
		if m.Hall != q.Hall {
			continue
		}
		if m.Capacity > 0 || m.Overloaded {
			return
		}
		n++
		least, most = min(least, entries[addr]), max(most, entries[addr])
	}
	if n <= endpoints.MaxEntries-2 {
		require.Equal(t, least, most)
	}
}

// TestCapacity checks the capacity that follows from an instance's limits.
func TestCapacity(t *testing.T) {
	for _, c := range []struct {
		cores, mbps float64
		want        int
	}{
		{0, 0, 0}, {0.8, 200, 768}, {0.16, 10, 192}, {0.384, 10, 256}, {0, 10, 256}, {4, 0, 4096}, {0.0001, 0, 1}, {1e9, 0, 1 << 24},
	} {
		require.Equal(t, c.want, endpoints.Capacity(c.cores, c.mbps), "%g cores, %g Mbit/s", c.cores, c.mbps)
	}
}
