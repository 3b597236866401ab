package upstream_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/locality"
	"github.com/rainford/rainford/upstream"
)

// specsOfHalls returns n targets of 30 slots in each hall.
func specsOfHalls(n map[string]int) []*catalog.Target {
	var out []*catalog.Target
	for hall, count := range n {
		for i := range count {
			out = append(out, &catalog.Target{ID: fmt.Sprint(hall, "-", i), Service: "s", Addr: "x", Hall: hall, Slots: 30})
		}
	}
	return out
}

// sendKeys sends one request for each of n keys.
func sendKeys(t require.TestingT, p *upstream.Pool, now time.Time, n int, homes ...string) {
	for i := range n {
		r := request(fmt.Sprint("k", i))
		r.Regions = homes
		d := p.Acquire(now, r)
		require.Equal(t, upstream.Send, d.Action)
		p.Release(now, d.Target.ID, upstream.Result{Latency: time.Millisecond})
	}
}

// TestSharesHaveTheirInputs checks that the description of the shares holds the slots, the wanted
// shares and the number of observed keys, by which a move of traffic can be traced.
func TestSharesHaveTheirInputs(t *testing.T) {
	p := newPool()
	require.Empty(t, p.TakeShares(start))
	p.SetTargets(start, specsOfHalls(map[string]int{"a1": 1, "b1": 2, "c1": 3}), nil)
	sendKeys(t, p, start, 32)
	sendKeys(t, p, start, 5, "b", "c")
	taken := p.TakeShares(start)
	require.Equal(t, p.Shares(), taken)
	require.Len(t, taken, 2)

	anywhere := taken[0]
	require.Empty(t, anywhere.HomeRegions)
	require.Equal(t, map[string]float64{"a": 30, "b": 60, "c": 90}, anywhere.Slots)
	require.Equal(t, []locality.Share{{Region: "a", Fraction: 0.5}, {Region: "c", Fraction: 0.5}}, anywhere.WantedOfKeys)

	home := taken[1]
	require.Equal(t, []string{"b", "c"}, home.HomeRegions)
	require.Equal(t, map[string]float64{"b": 60, "c": 90}, home.Slots)
	require.InDelta(t, 0, locality.Distance(home.InForce, home.Wanted), 1e-9)
	require.False(t, home.Moving)

	sendKeys(t, p, start.Add(2*time.Second), 32)
	require.Equal(t, 32, p.Shares()[0].CalibratedKeys)
}

// TestTakeShares checks against the shares in force, over random changes of the slots, that a change
// by 0.01 or more is returned within a second, that shares which move are returned every 10 s, and
// that nothing is returned more often than once a second or without a cause.
func TestTakeShares(t *testing.T) {
	const step = 200 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		p := newPool()
		now, takenAt := start, time.Time{}
		reported, reportedAt := map[string]upstream.Shares{}, map[string]time.Time{}
		hallCounts := rapid.Custom(func(t *rapid.T) map[string]int {
			n := map[string]int{}
			for _, hall := range []string{"a1", "b1", "c1"} {
				n[hall] = rapid.IntRange(1, 8).Draw(t, hall)
			}
			return n
		})
		keys := rapid.IntRange(1, 40).Draw(t, "keys")
		p.SetTargets(now, specsOfHalls(hallCounts.Draw(t, "first")), nil)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			now = now.Add(step)
			if rapid.IntRange(0, 19).Draw(t, "change") == 0 {
				p.SetTargets(now, specsOfHalls(hallCounts.Draw(t, "next")), nil)
			}
			sendKeys(t, p, now, keys)
			sendKeys(t, p, now, keys, "b", "c")
			taken := p.TakeShares(now)
			if len(taken) > 0 {
				require.GreaterOrEqual(t, now.Sub(takenAt), time.Second)
				takenAt = now
			}
			inForce := map[string]upstream.Shares{}
			for _, s := range p.Shares() {
				inForce[strings.Join(s.HomeRegions, ",")] = s
			}
			for _, s := range taken {
				homes := strings.Join(s.HomeRegions, ",")
				require.Equal(t, inForce[homes], s)
				changed := locality.Distance(reported[homes].InForce, s.InForce) >= 0.01-1e-6
				overdue := s.Moving && now.Sub(reportedAt[homes]) >= 10*time.Second
				require.True(t, changed || overdue)
				reported[homes], reportedAt[homes] = s, now
			}
			if now.Sub(takenAt) < time.Second {
				continue
			}
			for homes, s := range inForce {
				require.Less(t, locality.Distance(reported[homes].InForce, s.InForce), 0.01)
				if s.Moving {
					require.Less(t, now.Sub(reportedAt[homes]), 10*time.Second)
				}
			}
		}
	})
}
