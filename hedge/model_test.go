package hedge_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/hedge"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/upstream"
)

const (
	modelTargets = 164
	modelSlots   = 5
	// objective is the latency within which a request counts as in time, and timeout that of clients.
	objective = 400 * time.Millisecond
	timeout   = 3 * time.Second
	// A cache hit takes medianWork in the median, a miss missFactor times as long.
	medianWork = 60 * time.Millisecond
	workSpread = 0.35
	missFactor = 3
	keys       = 600
	// warmUp is the time before the faults begin, and measured the time after it.
	warmUp   = 10 * time.Second
	measured = 10 * time.Second
	// settleTime is the time after which the targets are full if they are overloaded.
	settleTime = 2 * time.Second
)

var modelStart = time.Unix(1000, 0)

// model is one instance with its targets in virtual time.
type model struct {
	rnd       *rand.Rand
	now       time.Time
	events    eventQueue
	pool      *upstream.Pool
	retries   *retry.TokenBucket
	budget    hedge.Budget
	hedging   bool
	estimates map[bool]*hedge.Estimator
	targets   map[string]*modelTarget
	waiting   map[uint64]*modelRequest
	lastID    uint64

	// requests counts those that arrived after warmUp, inTime those answered within the objective, and answered
	// those answered at all. hedges counts their second attempts, lateHedges those sent settleTime and more
	// after warmUp.
	requests, inTime, answered, hedges, lateHedges int
}

type modelTarget struct {
	// factor multiplies the time that requests take, and silent drops all responses.
	factor float64
	silent bool
	// others is the number of slots that requests of other instances occupy.
	others  int
	running int
	queue   []*modelAttempt
	cached  map[string]bool
}

type modelRequest struct {
	upstream.Request
	arrivedAt time.Time
	measured  bool
	done      bool
	attempts  []*modelAttempt
}

type modelAttempt struct {
	request   *modelRequest
	decision  upstream.Decision
	target    *modelTarget
	startedAt time.Time
	isRunning bool
	ended     bool
}

type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (m *model) after(d time.Duration, run func()) { heap.Push(&m.events, event{m.now.Add(d), run}) }

func newModel(hedging bool) *model {
	halls := map[string]string{"a1": "a", "a2": "a", "a3": "a", "a4": "a"}
	m := &model{
		rnd: rand.New(rand.NewPCG(1, 2)), now: modelStart, hedging: hedging,
		pool:    upstream.NewPool(upstream.Config{Service: "s", Self: "i1", Hall: "a1", Region: "a", RegionOf: halls, ShiftStep: 0.09, ShiftWindow: 2 * time.Second}),
		retries: retry.NewTokenBucket(0.2), estimates: map[bool]*hedge.Estimator{true: {}, false: {}},
		targets: make(map[string]*modelTarget), waiting: make(map[uint64]*modelRequest),
	}
	m.retries.SetCapacity(64, 1)
	var specs []*catalog.Target
	for i := range modelTargets {
		id := fmt.Sprint("i-", i)
		specs = append(specs, &catalog.Target{ID: id, Service: "s", Hall: fmt.Sprint("a", 1+i%4), Slots: modelSlots})
		m.targets[id] = &modelTarget{factor: 1, cached: make(map[string]bool)}
	}
	m.pool.SetTargets(m.now, specs, nil)
	return m
}

// run lets requests arrive at a rate per second, and calls fail after warmUp.
func (m *model) run(rate float64, fail func()) {
	m.after(warmUp, fail)
	var arrive func()
	arrive = func() {
		if m.now.Sub(modelStart) >= warmUp+measured {
			return
		}
		m.arrive()
		m.after(time.Duration(m.rnd.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
	var tick func()
	tick = func() {
		m.grant(m.pool.Tick(m.now))
		if m.now.Sub(modelStart) < warmUp+measured+timeout {
			m.after(20*time.Millisecond, tick)
		}
	}
	tick()
	for m.events.Len() > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
}

func (m *model) arrive() {
	m.lastID++
	r := &modelRequest{arrivedAt: m.now, measured: m.now.Sub(modelStart) >= warmUp}
	r.Request = upstream.Request{ID: m.lastID, Key: fmt.Sprint("k", m.rnd.IntN(keys)), Sticky: true, Deadline: m.now.Add(timeout), QueueTimeout: objective / 8}
	if r.measured {
		m.requests++
	}
	m.retries.Earn()
	m.budget.Earn()
	m.after(timeout, func() { m.expire(r) })
	m.decide(r, m.pool.Acquire(m.now, r.Request))
}

func (m *model) decide(r *modelRequest, d upstream.Decision) {
	switch d.Action {
	case upstream.Send:
		m.send(r, d)
		m.scheduleHedge(r, d)
	case upstream.Wait:
		m.waiting[r.ID] = r
	case upstream.Refuse:
		r.done = true
	}
}

func (m *model) grant(grants []upstream.Grant) {
	for _, g := range grants {
		r := m.waiting[g.ID]
		delete(m.waiting, g.ID)
		m.decide(r, g.Decision)
	}
}

func (m *model) send(r *modelRequest, d upstream.Decision) {
	a := &modelAttempt{request: r, decision: d, target: m.targets[d.Target.ID], startedAt: m.now}
	r.attempts = append(r.attempts, a)
	a.target.queue = append(a.target.queue, a)
	m.startNext(a.target)
}

// startNext starts the attempts for which the target has slots.
func (m *model) startNext(t *modelTarget) {
	for t.running < max(1, modelSlots-t.others) && len(t.queue) > 0 {
		a := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		a.isRunning = true
		work := float64(medianWork) * math.Exp(workSpread*m.rnd.NormFloat64()) * t.factor
		if !t.cached[a.request.Key] {
			work *= missFactor
		}
		m.after(time.Duration(work), func() { m.respond(a) })
	}
}

// respond ends the work of a target on an attempt.
func (m *model) respond(a *modelAttempt) {
	t := a.target
	t.cached[a.request.Key] = true
	if a.ended {
		return
	}
	if t.silent {
		t.running--
		a.isRunning = false
		m.startNext(t)
		return
	}
	took := m.now.Sub(a.startedAt)
	m.estimates[a.decision.SendState.KeyKnown].Record(m.now, took)
	r := a.request
	r.done = true
	if r.measured {
		m.answered++
		if m.now.Sub(r.arrivedAt) <= objective {
			m.inTime++
		}
	}
	report := &upstream.LoadReport{Running: t.running + t.others, Waiting: len(t.queue), Slots: modelSlots}
	for i, other := range r.attempts {
		if other != a && !other.ended {
			m.end(other, upstream.Result{Outcome: upstream.Abandoned, Silent: i == 0, Outpaced: i == 0})
		}
	}
	m.end(a, upstream.Result{Outcome: upstream.Answered, Latency: took, LoadReport: report})
}

// end ends an attempt at its target and in the pool.
func (m *model) end(a *modelAttempt, result upstream.Result) {
	a.ended = true
	if a.isRunning {
		a.target.running--
	}
	a.target.queue = slices.DeleteFunc(a.target.queue, func(other *modelAttempt) bool { return other == a })
	m.startNext(a.target)
	result.SendState = a.decision.SendState
	m.grant(m.pool.Release(m.now, a.decision.Target.ID, result))
}

// expire ends a request at its deadline.
func (m *model) expire(r *modelRequest) {
	r.done = true
	if m.pool.Cancel(r.ID) {
		delete(m.waiting, r.ID)
	}
	for _, a := range r.attempts {
		if !a.ended {
			m.end(a, upstream.Result{Outcome: upstream.TimedOut})
		}
	}
}

func (m *model) scheduleHedge(r *modelRequest, d upstream.Decision) {
	delay, ok := m.estimates[d.SendState.KeyKnown].Delay(m.now, objective)
	if !m.hedging || !ok {
		return
	}
	m.after(delay, func() {
		usual, _ := m.estimates[d.SendState.KeyKnown].Median(m.now)
		if r.done || m.now.Add(usual).After(r.Deadline) || !m.budget.HasHedge() || m.retries.Available() < 1 {
			return
		}
		m.lastID++
		again := r.Request
		again.ID, again.Tried = m.lastID, []string{d.Target.ID}
		decision := m.pool.AcquireHedge(m.now, again)
		if decision.Action != upstream.Send {
			return
		}
		m.budget.Spend()
		m.retries.Spend()
		if r.measured {
			m.hedges++
		}
		if m.now.Sub(modelStart) >= warmUp+settleTime {
			m.lateHedges++
		}
		m.send(r, decision)
	})
}

// part returns n as a fraction of the requests.
func (m *model) part(n int) float64 { return float64(n) / float64(m.requests) }

// failQuarter changes every fourth target, which are the targets of one hall.
func failQuarter(change func(*modelTarget)) func(*model) {
	return func(m *model) {
		for i := 0; i < modelTargets; i += 4 {
			change(m.targets[fmt.Sprint("i-", i)])
		}
	}
}

// failAll makes all targets so slow that they need more slots than they have.
func failAll(m *model) {
	for _, t := range m.targets {
		t.factor = 12
	}
}

// TestModel compares an instance with and without hedging in virtual time: 164 targets, of which one has
// its slots taken by other instances throughout.
func TestModel(t *testing.T) {
	const normalRate = 1500
	for _, c := range []struct {
		name string
		rate float64
		fail func(*model)
		// maxHedges is the largest fraction of hedges, and gain the least by which the fraction of requests in
		// time rises.
		maxHedges, gain float64
		// overload means that no hedge may be sent once the targets are full.
		overload bool
	}{
		{"nothing fails", normalRate, func(*model) {}, 0.05, -0.005, false},
		{"a quarter is silent", normalRate, failQuarter(func(t *modelTarget) { t.silent = true }), 0.1, 0.01, false},
		{"a quarter is five times slower", normalRate, failQuarter(func(t *modelTarget) { t.factor = 5 }), 0.1, 0, false},
		{"overload", normalRate, failAll, 0.02, -0.01, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var result [2]*model
			for i, hedging := range []bool{false, true} {
				m := newModel(hedging)
				m.targets["i-1"].others = modelSlots
				m.run(c.rate, func() { c.fail(m) })
				t.Logf("hedging %t: %d requests, %.4f in time, %.4f answered, %.4f hedges", hedging, m.requests, m.part(m.inTime), m.part(m.answered), m.part(m.hedges))
				result[i] = m
			}
			without, with := result[0], result[1]
			require.Zero(t, without.hedges)
			require.LessOrEqual(t, with.part(with.hedges), c.maxHedges)
			if c.overload {
				require.Zero(t, with.lateHedges)
			}
			require.GreaterOrEqual(t, with.part(with.inTime), without.part(without.inTime)+c.gain)
		})
	}
}
