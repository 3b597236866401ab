package share_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/seat"
	"github.com/rainford/rainford/share"
	"github.com/rainford/rainford/table"
)

var (
	longSeeds = flag.Int("long", 0, "number of seeds of the long randomised runs; 0 skips them")
	longSeed  = flag.Uint64("seed", 1, "first seed of the long randomised runs")
)

const (
	modelStep      = 10 * time.Millisecond
	modelHeartbeat = 500 * time.Millisecond
	modelTables    = 3
	// modelDrift is the largest error of a clock's rate.
	modelDrift = 0.0004
)

// simulation runs the real agents and ledgers of one region's instances. Messages
// are lost, duplicated and delayed, processes pause and crash, instances are cut
// off from the platform or from their peers, the platform fails, replies of the
// platform are lost, and clocks drift.
type simulation struct {
	t        *testing.T
	rnd      *rand.Rand
	now      time.Time
	halls    []string
	size     int
	nodes    []*modelNode
	started  int
	messages []modelMessage

	platformDown bool
	rosters      map[string]*modelObject
	plans        []*table.Plan
	latestPlan   int
	uses         []time.Time
	// bounds contains, for each use, the highest cap in force at any instance at
	// that time.
	bounds []int
	served int
	wanted int
}

type modelObject struct {
	version int64
	raw     []byte
}

type modelNode struct {
	id               string
	addr             string
	hall             string
	agent            *seat.Agent
	ledger           *share.Ledger
	rate             float64
	origin           time.Time
	start            time.Time
	dead             bool
	pausedUntil      time.Time
	platformCutUntil time.Time
	peersCutUntil    time.Time
	nextHeartbeat    time.Time
	nextPoll         time.Time
	plan             int
	load             float64
}

type modelMessage struct {
	at time.Time
	to *modelNode
	do func(now time.Time)
}

func (n *modelNode) local(now time.Time) time.Time {
	return n.origin.Add(time.Duration(float64(now.Sub(n.start)) * n.rate))
}

func newSimulation(t *testing.T, seed uint64, halls, perHall, limit int) *simulation {
	w := &simulation{
		t:       t,
		rnd:     rand.New(rand.NewPCG(seed, 7)),
		now:     time.Unix(1_000_000, 0),
		rosters: make(map[string]*modelObject),
		size:    perHall,
	}
	for i := range halls {
		w.halls = append(w.halls, fmt.Sprintf("h%d", i))
	}
	for i := range modelTables {
		caps := []int{limit, limit / 2, limit}
		tab := &table.Table{
			Regions:  []table.Region{{Name: "r", Halls: w.halls}, {Name: "q", Halls: []string{"z"}}},
			Services: []table.Service{{Name: "s"}},
			Rows:     []table.Row{{Service: "s", From: "r", To: "q", Weight: 1, Cap: caps[i], Shift: 100}},
		}
		require.Empty(t, table.Check(tab, nil))
		w.plans = append(w.plans, table.Compile(tab, int64(i+1)))
	}
	for _, hall := range w.halls {
		for range perHall {
			w.join(hall, "")
		}
	}
	return w
}

// join starts an instance, on the address of a crashed one or on a new address.
func (w *simulation) join(hall, addr string) {
	w.started++
	n := &modelNode{
		id:     fmt.Sprintf("%s-%04d", hall, w.started),
		hall:   hall,
		rate:   1 + modelDrift*(2*w.rnd.Float64()-1),
		origin: time.Unix(w.rnd.Int64N(1e9), 0),
		start:  w.now,
		load:   w.rnd.Float64(),
		plan:   w.latestPlan,
	}
	n.addr = addr
	if addr == "" {
		n.addr = n.id
	}
	n.agent = seat.NewAgent(n.id, n.addr, hall, seat.DefaultTiming)
	n.ledger = share.NewLedger(hall, "r", seat.Count, w.rnd.Uint64())
	n.ledger.SetPlan(w.plans[n.plan])
	w.nodes = append(w.nodes, n)
}

func (w *simulation) chance(p float64) bool { return w.rnd.Float64() < p }

func (w *simulation) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rnd.Int64N(int64(b-a)+1))
}

// send schedules a call at the receiver. The message may be lost or duplicated.
func (w *simulation) send(from, to *modelNode, do func(now time.Time)) {
	cut := w.now.Before(from.peersCutUntil) || w.now.Before(to.peersCutUntil)
	if cut || w.chance(0.05) {
		return
	}
	copies := 1
	if w.chance(0.05) {
		copies = 2
	}
	for range copies {
		delay := w.between(time.Millisecond, 60*time.Millisecond)
		if w.chance(0.03) {
			delay = w.between(time.Second, 8*time.Second)
		}
		w.messages = append(w.messages, modelMessage{at: w.now.Add(delay), to: to, do: do})
	}
}

func (w *simulation) run(length time.Duration) {
	end := w.now.Add(length)
	for w.now.Before(end) {
		w.now = w.now.Add(modelStep)
		w.faults()
		w.deliver()
		for _, n := range w.nodes {
			if !n.dead && !w.now.Before(n.pausedUntil) {
				w.step(n)
			}
		}
	}
}

// deliver delivers the messages that are due. A paused instance receives them when
// it resumes.
func (w *simulation) deliver() {
	var later []modelMessage
	mail := w.messages
	w.messages = nil
	for _, m := range mail {
		switch {
		case m.to != nil && m.to.dead:
		case m.at.After(w.now) || m.to != nil && w.now.Before(m.to.pausedUntil):
			later = append(later, m)
		default:
			m.do(w.now)
		}
	}
	w.messages = append(w.messages, later...)
}

func (w *simulation) faults() {
	perSecond := func(p float64) bool { return w.chance(p * modelStep.Seconds()) }
	if perSecond(0.02) {
		w.platformDown = !w.platformDown
	}
	if perSecond(0.05) && w.latestPlan < modelTables-1 {
		w.latestPlan++
	}
	for _, n := range append([]*modelNode(nil), w.nodes...) {
		if n.dead {
			continue
		}
		switch {
		case perSecond(0.01):
			n.pausedUntil = w.now.Add(w.between(time.Second, 40*time.Second))
		case perSecond(0.01):
			n.platformCutUntil = w.now.Add(w.between(time.Second, 60*time.Second))
		case perSecond(0.01):
			n.peersCutUntil = w.now.Add(w.between(time.Second, 60*time.Second))
		case perSecond(0.005):
			n.dead = true
			addr := n.addr
			if w.chance(0.5) {
				addr = ""
			}
			w.join(n.hall, addr)
		case perSecond(0.005):
			n.agent.Leave()
			n.ledger.StopLending()
		}
	}
	w.removeDead()
}

func (w *simulation) removeDead() {
	kept := w.nodes[:0]
	for _, n := range w.nodes {
		if !n.dead {
			kept = append(kept, n)
		}
	}
	w.nodes = kept
}

// worstWindow returns the largest number of uses over the cap in any window, and the
// largest number of uses in any window.
func (w *simulation) worstWindow() (over, most int) {
	from := 0
	for i, t := range w.uses {
		for !t.Before(w.uses[from].Add(table.CapWindow)) {
			from++
		}
		n := i - from + 1
		bound := 0
		for _, b := range w.bounds[from : i+1] {
			bound = max(bound, b)
		}
		most = max(most, n)
		over = max(over, n-bound)
	}
	return over, most
}

func runModel(t *testing.T, seeds int, first uint64, halls, perHall, limit int, length time.Duration) {
	var served []float64
	worstOver, worstMost := 0, 0
	for seed := first; seed < first+uint64(seeds); seed++ {
		w := newSimulation(t, seed, halls, perHall, limit)
		w.run(length)
		over, most := w.worstWindow()
		worstOver, worstMost = max(worstOver, over), max(worstMost, most)
		served = append(served, float64(w.served)/length.Seconds())
		if over > 0 {
			t.Errorf("seed %d: a window contains %d uses more than its cap", seed, over)
		}
	}
	sort.Float64s(served)
	t.Logf("instances %d, cap %d, seeds %d from %d: worst window %d, over cap by %d; served per second: min %.1f, median %.1f",
		halls*perHall, limit, seeds, first, worstMost, worstOver, served[0], served[len(served)/2])
}

func TestCapHoldsThroughFaults(t *testing.T) {
	runModel(t, 12, 1, 2, 6, 40, 90*time.Second)
	runModel(t, 6, 1, 2, 2, 3, 90*time.Second)
}

func TestCapHoldsThroughFaultsOf100(t *testing.T) {
	runModel(t, 2, 1, 4, 25, 200, 60*time.Second)
}

func TestLongCapHoldsThroughFaults(t *testing.T) {
	if *longSeeds == 0 {
		t.Skip("set -long to the number of seeds")
	}
	runModel(t, *longSeeds, *longSeed, 2, 6, 40, 5*time.Minute)
	runModel(t, *longSeeds, *longSeed, 2, 2, 3, 5*time.Minute)
	runModel(t, max(*longSeeds/10, 1), *longSeed, 4, 25, 200, 3*time.Minute)
}
