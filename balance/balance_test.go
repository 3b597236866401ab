package balance_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/balance"
)

// init fixes the seed of the property tests, so that they use the same random cases in every run
// unless -rapid.seed is set.
func init() { _ = flag.Set("rapid.seed", "1") }

var epoch = time.Unix(0, 0)

func newPool(t testing.TB, slots ...int) *balance.Pool {
	t.Helper()
	p := balance.NewPool(balance.Config{Rand: rand.New(rand.NewPCG(1, 1))})
	p.SetTargets(epoch, specs(slots...))
	return p
}

func specs(slots ...int) []balance.Spec {
	var out []balance.Spec
	for i, n := range slots {
		id := fmt.Sprintf("t%d", i)
		out = append(out, balance.Spec{ID: id, Addr: id, Slots: n})
	}
	return out
}

// request returns a request that may wait in the queue for an hour.
func request(id uint64) balance.Request {
	return balance.Request{ID: id, Deadline: epoch.Add(time.Hour), QueueTimeout: time.Hour}
}

// warmUp runs rounds of requests that succeed with a latency of 10 ms, until the pool's limit on
// requests in flight is at least want, which must not exceed the slots of the pool.
func warmUp(p *balance.Pool, want int) {
	for i := uint64(1); p.Load(epoch).Limit < want; i++ {
		var running []string
		for {
			r := request(i)
			r.QueueTimeout = 0
			d := p.Acquire(epoch, r)
			if d.Action != balance.Run {
				break
			}
			running = append(running, d.Target.ID)
		}
		for _, id := range running {
			p.Release(epoch, id, balance.Answered, 10*time.Millisecond)
		}
	}
}

// TestSlotsAreNeverExceeded applies random arrivals, results of requests, and changes of the targets
// and their slots to a pool. It checks that no target gets a request beyond this instance's share
// of its slots, that targets missing from the latest list get no new requests, and that a queued
// request gets at most one grant and is otherwise still queued. A request from another region that
// runs at once uses at most one slot of the reserve, which the check rounds down.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := balance.NewPool(balance.Config{Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "rand"), 1))})
		reservePercent := rapid.IntRange(0, 100).Draw(t, "floor")
		p.SetReserve(reservePercent)
		m := &poolModel{t: t, slots: map[string]int{}, inFlight: map[string]int{}, fromOtherRegion: map[string]int{}, waiting: map[uint64]bool{}}
		now := epoch
		for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				var next []balance.Spec
				m.slots = map[string]int{}
				for i := range rapid.IntRange(0, 4).Draw(t, "targets") {
					n := rapid.IntRange(0, 5).Draw(t, "slots")
					id := fmt.Sprintf("t%d", i)
					next = append(next, balance.Spec{ID: id, Addr: id, Slots: n})
					m.slots[id] = n
				}
				m.checkGrants(p.SetTargets(now, next))
			case 1, 2, 3:
				r := balance.Request{
					ID:              uint64(step + 1),
					Deadline:        now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "deadline")) * time.Millisecond),
					QueueTimeout:    time.Duration(rapid.IntRange(0, 2000).Draw(t, "patience")) * time.Millisecond,
					FromOtherRegion: rapid.Bool().Draw(t, "shifted"),
				}
				before := p.Load(now)
				d := p.Acquire(now, r)
				if d.Action == balance.Run && r.FromOtherRegion {
					require.Less(t, before.InFlight, before.Limit-before.Limit*reservePercent/100+1)
				}
				m.checkDecision(r.ID, d)
			default:
				if id := m.anyInFlight(); id != "" {
					m.inFlight[id]--
					result := balance.Result(rapid.IntRange(0, 4).Draw(t, "result"))
					m.checkGrants(p.Release(now, id, result, time.Duration(rapid.IntRange(1, 50).Draw(t, "latency"))*time.Millisecond))
				}
			}
			m.checkGrants(p.Tick(now))
			require.Equal(t, len(m.waiting), p.Load(now).Queued)
		}
	})
}

// poolModel is the state that the test expects of the pool. slots and inFlight are by target ID, and
// waiting contains the IDs of the queued requests.
type poolModel struct {
	t               *rapid.T
	slots           map[string]int
	inFlight        map[string]int
	fromOtherRegion map[string]int
	waiting         map[uint64]bool
}

func (m *poolModel) checkDecision(id uint64, d balance.Decision) {
	switch d.Action {
	case balance.Run:
		m.checkRun(d)
	case balance.Wait:
		m.waiting[id] = true
	case balance.Refuse:
		require.Positive(m.t, d.RetryAfter)
	}
}

func (m *poolModel) checkRun(d balance.Decision) {
	slots, listed := m.slots[d.Target.ID]
	require.True(m.t, listed, "a target that is not in the latest list got a request")
	m.inFlight[d.Target.ID]++
	require.LessOrEqual(m.t, m.inFlight[d.Target.ID], slots)
}

func (m *poolModel) checkGrants(grants []balance.Grant) {
	for _, g := range grants {
		require.True(m.t, m.waiting[g.ID], "a grant for a request that is not queued")
		delete(m.waiting, g.ID)
		require.NotEqual(m.t, balance.Wait, g.Decision.Action)
		m.checkDecision(g.ID, g.Decision)
	}
}

// anyInFlight returns the ID of the first target that has requests in flight, or "".
func (m *poolModel) anyInFlight() string {
	for i := range 5 {
		if id := fmt.Sprintf("t%d", i); m.inFlight[id] > 0 {
			return id
		}
	}
	return ""
}

func TestSlowStart(t *testing.T) {
	p := newPool(t, 8)
	require.Equal(t, 1, p.Load(epoch).Limit, "a new target gets one request at a time")
	limits := []int{}
	for range 3 {
		n := p.Load(epoch).Limit
		for i := range n {
			require.Equal(t, balance.Run, p.Acquire(epoch, request(uint64(i))).Action)
		}
		for range n {
			p.Release(epoch, "t0", balance.Answered, 10*time.Millisecond)
		}
		limits = append(limits, p.Load(epoch).Limit)
	}
	require.Equal(t, []int{2, 4, 8}, limits)
}

// TestOneHalvingPerCooldown checks that a burst of refusals halves the limit only once.
func TestOneHalvingPerCooldown(t *testing.T) {
	p := newPool(t, 8)
	warmUp(p, 8)
	for i := range 8 {
		p.Acquire(epoch, request(uint64(100+i)))
	}
	for range 8 {
		p.Release(epoch, "t0", balance.Refused, time.Millisecond)
	}
	require.Equal(t, 4, p.Load(epoch).Limit)
}

// TestColdTargetLimitGrows checks that the limit of a target rises although its latency is 20
// times that of the other target, and that the limit of the pool never falls meanwhile.
func TestColdTargetLimitGrows(t *testing.T) {
	p := newPool(t, 8, 8)
	warmUp(p, 16)
	p.SetTargets(epoch, []balance.Spec{{ID: "t0", Addr: "t0", Slots: 8}, {ID: "cold", Addr: "cold", Slots: 8}})
	last := 0
	for range 200 {
		d := p.Acquire(epoch, request(1))
		latency := 10 * time.Millisecond
		if d.Target.ID == "cold" {
			latency = 200 * time.Millisecond
		}
		p.Release(epoch, d.Target.ID, balance.Answered, latency)
		require.GreaterOrEqual(t, p.Load(epoch).Limit, last)
		last = p.Load(epoch).Limit
	}
	require.Greater(t, last, 9, "the limit of t0, which is 8, and the initial limit of the cold target")
}

// TestLateRequestIsRefusedEarly checks that a request is refused, on arrival or in the queue, as
// soon as its expected wait shows that it will miss its deadline.
func TestLateRequestIsRefusedEarly(t *testing.T) {
	p := newPool(t, 1)
	require.Equal(t, balance.Run, p.Acquire(epoch, request(1)).Action)
	// The expected wait and the expected latency are 20 ms each before the first response.
	r := balance.Request{ID: 2, Deadline: epoch.Add(30 * time.Millisecond), QueueTimeout: time.Hour}
	require.Equal(t, balance.Refuse, p.Acquire(epoch, r).Action)
	r.Deadline = epoch.Add(time.Second)
	require.Equal(t, balance.Wait, p.Acquire(epoch, r).Action)
	require.Empty(t, p.Release(epoch, "t0", balance.Unreachable, 0), "refused although the target is probed after the minimum back-off of 500 ms, before the deadline")
	require.Empty(t, p.Tick(epoch.Add(100*time.Millisecond)))
	grants := p.SetTargets(epoch.Add(200*time.Millisecond), nil)
	require.Len(t, grants, 1, "not refused although no target is left, 800 ms before the deadline")
	require.Equal(t, balance.Refuse, grants[0].Decision.Action)
}

// TestWaitIsBounded has two requests hold every slot, as long uploads do, after requests that took
// 10 ms. It checks that a waiting request is refused when its queue timeout expires, or when the
// time without a released slot is as long as the time to its deadline, since the next release is
// expected to take as long again.
func TestWaitIsBounded(t *testing.T) {
	p := newPool(t, 2)
	warmUp(p, 2)
	p.Acquire(epoch, request(1))
	p.Acquire(epoch, request(2))
	deadline := epoch.Add(4 * time.Second)
	require.Equal(t, balance.Wait, p.Acquire(epoch, balance.Request{ID: 3, Deadline: deadline, QueueTimeout: 100 * time.Millisecond}).Action)
	require.Equal(t, balance.Wait, p.Acquire(epoch, balance.Request{ID: 4, Deadline: deadline, QueueTimeout: 4 * time.Second}).Action)
	refused := make(map[uint64]time.Duration)
	for at := time.Duration(0); at < 4*time.Second; at += 50 * time.Millisecond {
		for _, g := range p.Tick(epoch.Add(at)) {
			require.Equal(t, balance.Refuse, g.Decision.Action)
			refused[g.ID] = at
		}
	}
	require.Equal(t, 100*time.Millisecond, refused[3])
	require.InDelta(t, 2, refused[4].Seconds(), 0.1)
}

// TestShortWaitRefusedWithoutSlots checks that a request is refused, on arrival or in the queue, if
// the instance's share of the slots is zero, as after it released its seats, and the request cannot
// wait for 10 s, the expected wait without slots. A request that may wait for an hour stays queued.
func TestShortWaitRefusedWithoutSlots(t *testing.T) {
	p := newPool(t, 0, 0)
	d := p.Acquire(epoch, balance.Request{ID: 1, Deadline: epoch.Add(5 * time.Second), QueueTimeout: 5 * time.Second})
	require.Equal(t, balance.Refuse, d.Action)
	p = newPool(t, 1)
	p.Acquire(epoch, request(1))
	require.Equal(t, balance.Wait, p.Acquire(epoch, request(2)).Action)
	r := balance.Request{ID: 3, Deadline: epoch.Add(5 * time.Second), QueueTimeout: 5 * time.Second}
	require.Equal(t, balance.Wait, p.Acquire(epoch, r).Action)
	grants := p.SetTargets(epoch, specs(0))
	require.Len(t, grants, 1, "only request 3, whose deadline is in 5 s, is refused")
	require.EqualValues(t, 3, grants[0].ID)
}

// TestTargetSuspectedAfterThreeBroken checks that a target gets no requests after three broken
// exchanges, and is probed after the back-off.
func TestTargetSuspectedAfterThreeBroken(t *testing.T) {
	p := newPool(t, 1)
	r := request(1)
	r.QueueTimeout = 0
	for i := range 3 {
		require.Equal(t, balance.Run, p.Acquire(epoch, r).Action, "exchange %d", i)
		p.Release(epoch, "t0", balance.Broken, 0)
	}
	d := p.Acquire(epoch, r)
	require.Equal(t, balance.Refuse, d.Action)
	// The expected wait is the back-off of 500 ms and the expected latency of 20 ms. The jitter
	// makes RetryAfter one to two times as long.
	require.InDelta(t, 0.78, d.RetryAfter.Seconds(), 0.27, "the time until the next probe, with jitter")
	require.Equal(t, balance.Run, p.Acquire(epoch.Add(time.Second), r).Action)
}

func BenchmarkPool(b *testing.B) {
	for _, n := range []int{4, 32, 256} {
		b.Run(fmt.Sprintf("targets%d", n), func(b *testing.B) {
			slots := make([]int, n)
			for i := range slots {
				slots[i] = 6
			}
			p := newPool(b, slots...)
			b.ReportAllocs()
			for b.Loop() {
				d := p.Acquire(epoch, request(1))
				p.Release(epoch, d.Target.ID, balance.Answered, time.Millisecond)
			}
		})
	}
}

func ExamplePool() {
	p := balance.NewPool(balance.Config{Rand: rand.New(rand.NewPCG(1, 2))})
	now := time.Unix(0, 0)
	p.SetTargets(now, []balance.Spec{{ID: "a", Addr: "127.0.0.1:80", Slots: 2}})
	first := p.Acquire(now, balance.Request{ID: 1, Deadline: now.Add(time.Second), QueueTimeout: time.Second})
	second := p.Acquire(now, balance.Request{ID: 2, Deadline: now.Add(time.Second), QueueTimeout: time.Second})
	fmt.Println(first.Action == balance.Run, second.Action == balance.Wait)
	for _, g := range p.Release(now, first.Target.ID, balance.Answered, 10*time.Millisecond) {
		fmt.Println("request", g.ID, "runs on", g.Decision.Target.ID)
	}
	// Output:
	// true true
	// request 2 runs on a
}
