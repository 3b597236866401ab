package reach

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testTimeout is the time-out of the checks in these tests.
const testTimeout = 300 * time.Millisecond

// newHalls returns a tracker of halls with 10 targets each.
func newHalls(names ...string) *Halls {
	h := &Halls{}
	sizes := make(map[string]int)
	for _, name := range names {
		sizes[name] = 10
	}
	h.SetSizes(sizes)
	return h
}

// result returns the result of a check that took no time.
func result(ms int, c HallCheck, succeeded int) HallResult {
	return HallResult{HallCheck: c, StartedAt: at(ms), EndedAt: at(ms), Timeout: testTimeout, Tried: c.Size, Succeeded: succeeded}
}

// failAll records the failure of n targets of a hall.
func failAll(h *Halls, ms int, hall string, n int, f Failure) {
	for i := range n {
		h.Failed(at(ms), hall, fmt.Sprint("i-", i), f)
	}
}

// stallAll starts requests at n targets of a hall.
func stallAll(h *Halls, ms int, hall string, n int) {
	for i := range n {
		h.Start(at(ms), hall, fmt.Sprint("i-", i))
	}
}

// respond records a response of a target in a hall.
func respond(h *Halls, ms int, hall string) {
	h.Start(at(ms), hall, "responds")
	h.End(at(ms), hall, "responds", true)
}

func TestHallCheckDue(t *testing.T) {
	for _, c := range []struct {
		name  string
		setUp func(*Halls)
		ms    int
		due   bool
	}{
		{"nothing happened", func(*Halls) {}, 1000, false},
		{"two targets are down", func(h *Halls) { failAll(h, 0, "a", 2, Unconnected) }, 10, false},
		{"one target fails again and again", func(h *Halls) {
			for ms := range 9 {
				h.Failed(at(ms), "a", "i-1", Unconnected)
			}
		}, 10, false},
		{"three targets are down", func(h *Halls) { failAll(h, 0, "a", 3, Unconnected) }, 10, true},
		{"three targets of different halls are down", func(h *Halls) { failAll(h, 0, "a", 2, Unconnected); failAll(h, 0, "b", 1, Unconnected) }, 10, false},
		{"all targets of a small hall are down", func(h *Halls) {
			h.SetSizes(map[string]int{"a": 2})
			failAll(h, 0, "a", 2, Unconnected)
		}, 10, true},
		{"a connection was opened since", func(h *Halls) { failAll(h, 0, "a", 3, Unconnected); h.Connected(at(1), "a", "i-9") }, 10, false},
		{"a connection was opened before", func(h *Halls) { failAll(h, 2, "a", 3, Unconnected); h.Connected(at(1), "a", "i-9") }, 10, true},
		{"open connections still work", func(h *Halls) { failAll(h, 0, "a", 3, Unconnected); respond(h, 1, "a") }, 10, true},
		{"a slow connection was opened in the end", func(h *Halls) { failAll(h, 2, "a", 3, Unconnected); h.Connected(at(1), "a", "i-1") }, 10, false},
		{"three targets break connections", func(h *Halls) { failAll(h, 0, "a", 3, Unanswered) }, 10, true},
		{"a response arrived since", func(h *Halls) { failAll(h, 0, "a", 3, Unanswered); respond(h, 1, "a") }, 10, false},
		{"a connection does not disprove missing responses", func(h *Halls) { failAll(h, 0, "a", 3, Unanswered); h.Connected(at(1), "a", "i-1") }, 10, true},
		{"failures long ago", func(h *Halls) { failAll(h, 0, "a", 3, Unconnected) }, 10_000, false},
		{"requests stall", func(h *Halls) { stallAll(h, 0, "a", 3); respond(h, 100, "b") }, 500, true},
		{"requests stall at two targets", func(h *Halls) { stallAll(h, 0, "a", 2); respond(h, 100, "b") }, 500, false},
		{"requests have not stalled long", func(h *Halls) { stallAll(h, 0, "a", 3); respond(h, 100, "b") }, 499, false},
		{"requests stall and another hall is connected to", func(h *Halls) { stallAll(h, 0, "a", 3); h.Connected(at(100), "b", "i-9") }, 500, true},
		{"requests stall in all halls", func(h *Halls) { stallAll(h, 0, "a", 3) }, 500, false},
		{"requests stall while the same hall responds", func(h *Halls) { stallAll(h, 0, "a", 3); respond(h, 100, "b"); respond(h, 100, "a") }, 500, false},
		{"stalled and failed requests add up", func(h *Halls) {
			stallAll(h, 0, "a", 2)
			respond(h, 100, "b")
			h.Failed(at(0), "a", "i-7", Unconnected)
		}, 500, true},
		{"checked just before", func(h *Halls) {
			h.Checked(result(0, HallCheck{Hall: "a", Size: 6}, 1))
			failAll(h, 10, "a", 3, Unconnected)
		}, 400, false},
		{"checked a while ago", func(h *Halls) {
			h.Checked(result(0, HallCheck{Hall: "a", Size: 6}, 1))
			failAll(h, 10, "a", 3, Unconnected)
		}, 500, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHalls("a", "b")
			c.setUp(h)
			check, due := h.NextCheck(at(c.ms))
			require.Equal(t, c.due, due)
			if due {
				require.Equal(t, HallCheck{Hall: "a", Size: CheckTargets}, check)
				_, again := h.NextCheck(at(c.ms))
				require.False(t, again, "the check has not ended")
			}
		})
	}
}

func TestHallLostAndRegained(t *testing.T) {
	h := newHalls("a", "b")
	failAll(h, 0, "a", 3, Unconnected)
	c, _ := h.NextCheck(at(10))
	require.True(t, h.Checked(result(20, c, 0)))
	require.Equal(t, []string{"a"}, h.Lost())
	require.True(t, h.IsLost("a"))
	require.False(t, h.IsLost("b"))
	require.Equal(t, Loss{At: at(20), Since: at(0), Unconnected: 3, Checked: 6}, h.Loss("a"))
	_, due := h.NextCheck(at(260))
	require.False(t, due)
	c, due = h.NextCheck(at(270))
	require.True(t, due)
	require.Equal(t, HallCheck{Hall: "a", Size: ProbeTargets}, c)
	require.False(t, h.Checked(result(271, c, 2)), "one success does not end the loss")
	c, due = h.NextCheck(at(400))
	require.True(t, due, "it is confirmed at once, as far as the rate of probes allows")
	require.False(t, h.Checked(result(400, c, 0)))
	c, _ = h.NextCheck(at(700))
	require.False(t, h.Checked(result(700, c, 1)))
	c, _ = h.NextCheck(at(900))
	require.True(t, h.Checked(result(900, c, 1)))
	require.Empty(t, h.Lost())
	_, due = h.NextCheck(at(2000))
	require.False(t, due, "nothing of the loss is left")
}

// TestHallAcceptsAndDrops checks that a hall is lost if connections to it can be opened but none of its
// targets responds, and that only responses end this loss.
func TestHallAcceptsAndDrops(t *testing.T) {
	h := newHalls("a", "b")
	stallAll(h, 0, "a", 3)
	respond(h, 400, "b")
	c, _ := h.NextCheck(at(500))
	require.False(t, h.Checked(result(501, c, 1)))
	c, due := h.NextCheck(at(501))
	require.True(t, due, "the check by response follows at once")
	require.Equal(t, HallCheck{Hall: "a", ByResponse: true, Size: responseCheckTargets}, c)
	require.True(t, h.Checked(HallResult{HallCheck: c, StartedAt: at(501), EndedAt: at(901), Timeout: 400 * time.Millisecond, Tried: 1}))
	require.True(t, h.Loss("a").ByResponse)
	require.Equal(t, []string{"a"}, h.Abandon(at(901)))
	require.Empty(t, h.Abandon(at(902)), "they are abandoned once")
	_, due = h.NextCheck(at(1900))
	require.False(t, due, "at most one health request per second")
	c, due = h.NextCheck(at(1901))
	require.True(t, due)
	require.True(t, c.ByResponse)
	require.False(t, h.Checked(result(1901, c, 1)))
	c, _ = h.NextCheck(at(2901))
	require.True(t, h.Checked(result(2901, c, 1)))
	require.Empty(t, h.Lost())
}

// TestSlowHallIsNotLost checks that a hall whose targets respond to health requests is not lost although
// requests there take long.
func TestSlowHallIsNotLost(t *testing.T) {
	h := newHalls("a", "b")
	stallAll(h, 0, "a", 10)
	respond(h, 400, "b")
	c, _ := h.NextCheck(at(500))
	h.Checked(result(501, c, 1))
	c, _ = h.NextCheck(at(501))
	require.False(t, h.Checked(result(502, c, 1)))
	_, due := h.NextCheck(at(900))
	require.False(t, due)
	require.Empty(t, h.Abandon(at(900)))
}

// TestUnprovenHallRecovers guards against a hall that is lost by a single health request, because an earlier
// check by connection succeeded while requests stalled for a moment.
func TestUnprovenHallRecovers(t *testing.T) {
	h := newHalls("a", "b")
	stallAll(h, 0, "a", 3)
	respond(h, 400, "b")
	c, _ := h.NextCheck(at(500))
	h.Checked(result(501, c, 1))
	respond(h, 510, "a")
	_, due := h.NextCheck(at(600))
	require.False(t, due)
	failAll(h, 2000, "a", 3, Unconnected)
	c, due = h.NextCheck(at(2001))
	require.True(t, due)
	require.Equal(t, HallCheck{Hall: "a", Size: CheckTargets}, c)
}

// TestLateCheckIsRepeated guards against halls that are lost because the process got no processor time.
func TestLateCheckIsRepeated(t *testing.T) {
	h := newHalls("a", "b")
	failAll(h, 0, "a", 3, Unconnected)
	c, _ := h.NextCheck(at(10))
	late := HallResult{HallCheck: c, StartedAt: at(10), EndedAt: at(10 + 800), Timeout: testTimeout, Tried: 6}
	require.False(t, h.Checked(late))
	c, due := h.NextCheck(at(810))
	require.True(t, due, "the check is repeated at once")
	require.False(t, h.Checked(result(811, c, 1)))

	r := &Tracker{}
	r.doubtful = true
	require.False(t, r.Checked(Check{StartedAt: at(0), EndedAt: at(800), Timeout: testTimeout, Tried: 6, Size: 6}))
	require.True(t, r.CheckDue(at(800)))
	require.True(t, r.Checked(Check{StartedAt: at(0), EndedAt: at(300), Timeout: testTimeout, Tried: 6, Size: 6}))
}

// TestProbesTakeTurns checks the rate of probes of several lost halls, and the time after which their end
// is noticed.
func TestProbesTakeTurns(t *testing.T) {
	for _, n := range []int{1, 2, 5} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("hall", i))
		}
		h := newHalls(names...)
		for _, name := range names {
			failAll(h, 0, name, 3, Unconnected)
			c, _ := h.NextCheck(at(0))
			h.Checked(result(0, c, 0))
		}
		require.Len(t, h.Lost(), n)
		const back = 4000
		connections, endedAt := 0, 0
		for ms := 0; len(h.Lost()) > 0; ms += 10 {
			for c, due := h.NextCheck(at(ms)); due; c, due = h.NextCheck(at(ms)) {
				if ms < back {
					connections += c.Size
				}
				succeeded := 0
				if ms >= back {
					succeeded = 1
				}
				h.Checked(result(ms, c, succeeded))
			}
			endedAt = ms
		}
		require.LessOrEqual(t, connections, maxProbeRate*back/1000+ProbeTargets, "%d halls", n)
		limit := 1000
		if n > 2 {
			limit = 2000
		}
		require.LessOrEqual(t, endedAt-back, limit, "%d halls", n)
	}
}

// TestInspectedHall checks that a hall without requests is lost only after two checks, and that one in which
// a target was reached is not inspected.
func TestInspectedHall(t *testing.T) {
	h := newHalls("a", "b")
	h.Connected(at(0), "a", "i-1")
	h.Inspect("a", at(-1))
	_, due := h.NextCheck(at(10))
	require.False(t, due)
	h.Inspect("a", at(5))
	c, due := h.NextCheck(at(10))
	require.True(t, due)
	require.False(t, h.Checked(result(10, c, 0)))
	failAll(h, 10, "a", c.Size, Unconnected)
	h.Inspect("a", at(5))
	c, due = h.NextCheck(at(11))
	require.True(t, due)
	h.Inspect("a", at(5))
	require.True(t, h.Checked(result(11, c, 0)), "further requests do not put the decision off")
	require.Equal(t, []string{"a"}, h.Lost())
}

// TestSuccessDuringCheck guards against a hall that is lost by a check although a target was connected to
// meanwhile, or although the states of the halls were reset.
func TestSuccessDuringCheck(t *testing.T) {
	for name, during := range map[string]func(*Halls){
		"connected": func(h *Halls) { h.Connected(at(20), "a", "i-9") },
		"reset":     (*Halls).Reset,
	} {
		h := newHalls("a", "b")
		failAll(h, 0, "a", 3, Unconnected)
		c, _ := h.NextCheck(at(10))
		during(h)
		require.False(t, h.Checked(result(30, c, 0)), name)
		require.Empty(t, h.Lost(), name)
	}
}

func TestAllLostBut(t *testing.T) {
	h := newHalls("a", "b", "c")
	require.False(t, h.AllLostBut("a"))
	for _, name := range []string{"b", "c"} {
		require.False(t, h.AllLostBut("a"))
		failAll(h, 0, name, 3, Unconnected)
		c, _ := h.NextCheck(at(0))
		h.Checked(result(0, c, 0))
	}
	require.True(t, h.AllLostBut("a"))
	require.False(t, h.AllLostBut(""))
	h.Reset()
	require.Empty(t, h.Lost())
	require.True(t, h.IsIdle(at(1000)))
}

// TestHallsFollowChecks checks over random sequences that a hall is lost only by a failed check while
// enough different targets have failed since the last success, and regained only by two successful checks
// in a row. The evidence is compared with that of a naive reference, which keeps all events.
func TestHallsFollowChecks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHalls("a", "b")
		now, successes := start, map[string]int{}
		failed := map[string]map[string]bool{"a": {}, "b": {}}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
			hall := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "hall")
			target := fmt.Sprint("i-", rapid.IntRange(0, 5).Draw(t, "target"))
			before := h.Lost()
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				h.Failed(now, hall, target, Unconnected)
				failed[hall][target] = true
			case 2:
				h.Connected(now, hall, target)
				clear(failed[hall])
			case 3:
				respond(h, int(now.Sub(start).Milliseconds()), hall)
			}
			require.Equal(t, before, h.Lost(), "only checks change it")
			for hall, s := range h.halls {
				require.Equal(t, len(s.targets), s.failing)
				require.LessOrEqual(t, h.evidence(now, hall, s).Unconnected, len(failed[hall]))
			}
			for c, due := h.NextCheck(now); due; c, due = h.NextCheck(now) {
				wasLost := h.IsLost(c.Hall)
				require.True(t, wasLost || len(failed[c.Hall]) >= minHallFailed)
				succeeded := rapid.IntRange(0, c.Size).Draw(t, "succeeded")
				changed := h.Checked(HallResult{HallCheck: c, StartedAt: now, EndedAt: now, Timeout: testTimeout, Tried: c.Size, Succeeded: succeeded})
				if succeeded > 0 {
					successes[c.Hall]++
					if !wasLost {
						clear(failed[c.Hall])
					}
				} else {
					successes[c.Hall] = 0
				}
				require.Equal(t, wasLost != h.IsLost(c.Hall), changed)
				switch {
				case !wasLost:
					require.Equal(t, succeeded == 0, h.IsLost(c.Hall))
					successes[c.Hall] = 0
				case changed:
					require.Equal(t, 2, successes[c.Hall])
					clear(failed[c.Hall])
				default:
					require.Less(t, successes[c.Hall], 2)
				}
			}
		}
	})
}

func TestRecent(t *testing.T) {
	var r Recent
	target := func(i int) Target { return Target{ID: fmt.Sprint("i-", i)} }
	for _, i := range []int{1, 2, 3, 2, 4, 4} {
		r.Add(target(i))
	}
	require.Equal(t, []Target{target(4), target(2), target(3)}, r.targets)
	drawn := []Target{target(2), target(7), target(8), target(9), target(10)}
	require.Equal(t, []Target{target(4), target(2), target(3), target(7), target(8), target(9)}, r.Pick(6, drawn))
	require.Equal(t, []Target{target(4), target(2)}, r.Pick(2, drawn))
	require.Equal(t, []Target{target(2)}, r.Pick(1, drawn), "one alone is drawn")
	require.True(t, slices.Equal(drawn[:2], (&Recent{}).Pick(2, drawn)))
}

func TestIsolation(t *testing.T) {
	for _, c := range []struct {
		name       string
		contacts   Contacts
		may, isSet bool
	}{
		{"one hall cut off from all others and the store", Contacts{MembersAt: at(0), StoreAt: at(-10), HallsLost: true}, true, true},
		{"the same, a moment after the cut", Contacts{MembersAt: at(1), StoreAt: at(-10), HallsLost: true}, false, false},
		{"the fleet cut in halves", Contacts{MembersAt: at(900), StoreAt: at(-10)}, false, false},
		{"members are heard from, no targets are reached", Contacts{MembersAt: at(900), StoreAt: at(-10), HallsLost: true}, false, false},
		{"nothing reachable after a start", Contacts{HallsLost: true}, false, false},
		{"only the store unavailable", Contacts{MembersAt: at(900)}, false, false},
		{"the way to the store lost after that to the members", Contacts{MembersAt: at(-2100), StoreAt: at(-2000), HallsLost: true}, true, true},
		{"all other halls without power, store reachable", Contacts{MembersAt: at(0), StoreAt: at(950), HallsLost: true}, true, false},
		{"all other halls without power, store also unavailable", Contacts{MembersAt: at(0), HallsLost: true}, true, true},
		{"other instances ended, their targets serve", Contacts{MembersAt: at(0), StoreAt: at(-10)}, false, false},
	} {
		require.Equal(t, c.may, c.contacts.MayBeIsolated(at(1000)), c.name)
		require.Equal(t, c.isSet, c.contacts.IsIsolated(at(1000)), c.name)
	}
}

// TestConfirmingCheck guards against a hall that stays lost although some of its targets can be connected to,
// since each check draws others.
func TestConfirmingCheck(t *testing.T) {
	h := newHalls("a", "b")
	for i := range 3 {
		h.Failed(at(0), "a", fmt.Sprint(i), Unconnected)
	}
	c, _ := h.NextCheck(at(1))
	require.True(t, h.Checked(result(2, c, 0)))
	c, due := h.NextCheck(at(300))
	require.True(t, due)
	require.False(t, c.Confirming)
	require.False(t, h.Checked(result(301, c, 1)))
	c, due = h.NextCheck(at(302 + 1000*ProbeTargets/maxProbeRate))
	require.True(t, due)
	require.Equal(t, HallCheck{Hall: "a", Confirming: true, Size: ProbeTargets}, c)
	require.True(t, h.Checked(result(500, c, 1)))
}

// TestUsualTime guards against halls that are checked again and again because requests there take long.
func TestUsualTime(t *testing.T) {
	h := newHalls("a", "b")
	h.SetUsualTime(700 * time.Millisecond)
	stallAll(h, 0, "a", 3)
	respond(h, 1300, "b")
	_, due := h.NextCheck(at(1399))
	require.False(t, due)
	_, due = h.NextCheck(at(1400))
	require.True(t, due)
	h.SetUsualTime(time.Hour)
	require.Equal(t, maxStallTime, h.stallTime())
}
