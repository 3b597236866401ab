package upstream_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/upstream"
)

// backoffModel simulates clients, instances and targets, some of which reject all requests for a
// while and request a back-off. It uses simulated time.
type backoffModel struct {
	rnd    *rand.Rand
	now    time.Time
	events eventHeap
	serial int

	pools   []*upstream.Pool
	targets map[string]*modelTarget
	// hallOf holds the hall of each target, and poolHall that of each instance.
	hallOf   map[string]string
	poolHall []string
	regionOf map[string]string
	// keys is the number of objects.
	keys    int
	waiting []map[uint64]*modelRequest
	nextID  uint64

	// obedient clients retry when they are told to. Other clients retry after a third of their
	// remaining time if that is sooner.
	obedient bool

	sent, inTime, refused int
	// onPoolChange, if not nil, is called after each change of a pool.
	onPoolChange func(pool int)
	// selfReport, if not nil, returns what a target reports about itself in a response.
	selfReport func(t *modelTarget) availability.SelfReport
	// onArrival, if not nil, is called for each request that arrives at a target.
	onArrival func(t *modelTarget)

	// arrivals holds the times at which requests arrive at targets.
	arrivals []time.Time
}

// Parameters of the model, which are those of small sites.
const (
	modelWarm      = 200 * time.Millisecond
	modelCold      = 600 * time.Millisecond
	modelObjective = 500 * time.Millisecond
	modelDeadline  = 3 * time.Second
	modelSlots     = 9
	modelKeys      = 300
	// modelCacheSize is the number of objects that a target caches.
	modelCacheSize = 32
	modelHallDelay = time.Millisecond
	modelTick      = 20 * time.Millisecond
	// modelUtilization is the fraction of the slots that cache hits occupy.
	modelUtilization = 0.4
	// modelRound, modelFanout and modelTargetReports are the interval, the number of receivers and
	// the number of reports of a gossip round.
	modelRound         = 500 * time.Millisecond
	modelFanout        = 3
	modelTargetReports = 24
)

// modelTarget runs requests in its slots and queues up to three times as many.
type modelTarget struct {
	id          string
	busy        int
	queue       []func()
	cached      []string
	backoffFrom time.Time
	backoffTo   time.Time
	// backoff is the back-off that it requests.
	backoff time.Duration
}

// modelRequest is one request of a client with its attempts at an instance.
type modelRequest struct {
	key       string
	priority  int
	startedAt time.Time
	retries   int
	instance  int
	request   upstream.Request
	attempts  int
}

type modelEvent struct {
	at     time.Time
	serial int
	do     func()
}

type eventHeap []modelEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].serial < h[j].serial)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(modelEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// oneRegion and threeRegions map halls to their regions.
var (
	oneRegion    = map[string]string{"a1": "a", "a2": "a"}
	threeRegions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
)

func newBackoffModel(seed uint64, instances, targets int) *backoffModel {
	return newBackoffModelIn(oneRegion, seed, instances, targets)
}

// newBackoffModelIn returns a model with instances and targets in the given halls.
func newBackoffModelIn(regionOf map[string]string, seed uint64, instances, targets int) *backoffModel {
	m := &backoffModel{rnd: rand.New(rand.NewPCG(seed, 7)), now: start, targets: make(map[string]*modelTarget), hallOf: make(map[string]string), regionOf: regionOf, keys: modelKeys * len(oneRegion) / len(regionOf)}
	var specs []*catalog.Target
	hallNames := slices.Sorted(maps.Keys(regionOf))
	for i := range targets {
		id := fmt.Sprint("t-", i)
		specs = append(specs, &catalog.Target{ID: id, Service: "s", Addr: "x", Hall: hallNames[i%len(hallNames)], Slots: modelSlots})
		m.targets[id] = &modelTarget{id: id}
		m.hallOf[id] = hallNames[i%len(hallNames)]
	}
	for i := range instances {
		p := upstream.NewPool(upstream.Config{Service: "s", Self: fmt.Sprint("n-", i), Hall: hallNames[i%len(hallNames)], Region: regionOf[hallNames[i%len(hallNames)]],
			RegionOf: regionOf, ShiftStep: 0.09, ShiftWindow: 2 * time.Second})
		p.SetTargets(start, specs, nil)
		m.pools = append(m.pools, p)
		m.poolHall = append(m.poolHall, hallNames[i%len(hallNames)])
		m.waiting = append(m.waiting, make(map[uint64]*modelRequest))
		m.tick(i)
		m.after(time.Duration(m.rnd.Int64N(int64(modelRound))), func() { m.gossip(i) })
	}
	return m
}

// modelRegionDelay is the network delay between regions.
const modelRegionDelay = 35 * time.Millisecond

// delay returns the network delay between two halls.
func (m *backoffModel) delay(from, to string) time.Duration {
	if m.regionOf[from] != m.regionOf[to] {
		return modelRegionDelay
	}
	return modelHallDelay
}

func (m *backoffModel) after(d time.Duration, do func()) {
	m.serial++
	heap.Push(&m.events, modelEvent{at: m.now.Add(d), serial: m.serial, do: do})
}

// requestBackoff makes the first targets reject all requests in a period, each time requesting a
// back-off.
func (m *backoffModel) requestBackoff(targets int, from, to time.Time, backoff time.Duration) {
	for i := range targets {
		t := m.targets[fmt.Sprint("t-", i)]
		t.backoffFrom, t.backoffTo, t.backoff = from, to, backoff
	}
}

// load makes clients send requests at the given rate until a time.
func (m *backoffModel) load(perS float64, until time.Time) {
	if !m.now.Before(until) {
		return
	}
	m.sent++
	r := &modelRequest{key: fmt.Sprint("k", m.rnd.IntN(m.keys)), priority: m.rnd.IntN(2), startedAt: m.now, retries: 1}
	m.arrive(r)
	m.after(time.Duration(m.rnd.ExpFloat64()/perS*float64(time.Second)), func() { m.load(perS, until) })
}

func (m *backoffModel) run(until time.Time) {
	for len(m.events) > 0 && m.events[0].at.Before(until) {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
}

func (m *backoffModel) tick(pool int) {
	m.grant(pool, m.pools[pool].Tick(m.now))
	m.after(modelTick, func() { m.tick(pool) })
}

// arrive sends a request to a random instance.
func (m *backoffModel) arrive(r *modelRequest) {
	r.instance, r.attempts = m.rnd.IntN(len(m.pools)), 0
	r.request = upstream.Request{Key: r.key, Sticky: true, Priority: r.priority, Deadline: r.startedAt.Add(modelDeadline), QueueTimeout: modelObjective / 8}
	m.acquire(r)
}

func (m *backoffModel) acquire(r *modelRequest) {
	m.nextID++
	r.request.ID = m.nextID
	m.decide(r, m.pools[r.instance].Acquire(m.now, r.request))
	m.poolChanged(r.instance)
}

func (m *backoffModel) decide(r *modelRequest, d upstream.Decision) {
	switch d.Action {
	case upstream.Send:
		m.after(m.delay(m.poolHall[r.instance], d.Target.Hall), func() { m.deliver(r, m.targets[d.Target.ID], d.SendState) })
	case upstream.Wait:
		m.waiting[r.instance][r.request.ID] = r
	case upstream.Refuse:
		m.refuse(r, d.RetryAfter)
	}
}

func (m *backoffModel) grant(pool int, grants []upstream.Grant) {
	for _, g := range grants {
		r := m.waiting[pool][g.ID]
		delete(m.waiting[pool], g.ID)
		m.decide(r, g.Decision)
	}
	m.poolChanged(pool)
}

func (m *backoffModel) poolChanged(pool int) {
	if m.onPoolChange != nil {
		m.onPoolChange(pool)
	}
}

// reportOf returns what a target reports about itself.
func (m *backoffModel) reportOf(t *modelTarget) availability.SelfReport {
	if m.selfReport == nil {
		return availability.SelfReport{}
	}
	return m.selfReport(t)
}

// refuse makes the client retry when it is told to, unless it has no retry or no time left. An
// obedient client does not retry if that would be too late. A client that is not obedient retries
// after a third of its remaining time if that is sooner.
func (m *backoffModel) refuse(r *modelRequest, after time.Duration) {
	left := modelDeadline - m.now.Sub(r.startedAt)
	if r.retries == 0 || left <= 0 {
		m.refused++
		return
	}
	if m.obedient && after >= left-modelWarm {
		m.refused++
		return
	}
	r.retries--
	if !m.obedient {
		after = min(after, left/3)
	}
	m.after(after, func() { m.arrive(r) })
}

// deliver delivers a request to a target.
func (m *backoffModel) deliver(r *modelRequest, t *modelTarget, sent upstream.SendState) {
	m.arrivals = append(m.arrivals, m.now)
	if m.onArrival != nil {
		m.onArrival(t)
	}
	if t.backoff > 0 && !m.now.Before(t.backoffFrom) && m.now.Before(t.backoffTo) {
		m.reject(r, t, availability.SelfReport{Backoff: t.backoff})
		return
	}
	if t.busy >= modelSlots {
		if len(t.queue) >= 3*modelSlots {
			m.reject(r, t, availability.SelfReport{})
			return
		}
		t.queue = append(t.queue, func() { m.work(r, t, sent) })
		return
	}
	m.work(r, t, sent)
}

func (m *backoffModel) reject(r *modelRequest, t *modelTarget, report availability.SelfReport) {
	m.after(m.delay(m.poolHall[r.instance], m.hallOf[t.id]), func() {
		m.grant(r.instance, m.pools[r.instance].Release(m.now, t.id, upstream.Result{Outcome: upstream.Rejected, SelfReport: report}))
		r.attempts++
		if r.attempts >= 2 {
			m.refuse(r, 20*time.Millisecond)
			return
		}
		r.request.Tried = append(r.request.Tried, t.id)
		m.acquire(r)
	})
}

func (m *backoffModel) work(r *modelRequest, t *modelTarget, sent upstream.SendState) {
	t.busy++
	startedAt := m.now
	returnDelay := m.delay(m.hallOf[t.id], m.poolHall[r.instance]) - modelHallDelay
	m.after(t.timeFor(r.key), func() {
		t.busy--
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			next()
		}
		if m.now.Add(returnDelay).Sub(r.startedAt) <= modelObjective {
			m.inTime++
		}
		load := &upstream.LoadReport{Running: t.busy, Waiting: len(t.queue), Slots: modelSlots}
		report := m.reportOf(t)
		m.after(returnDelay, func() {
			m.grant(r.instance, m.pools[r.instance].Release(m.now, t.id, upstream.Result{Outcome: upstream.Answered, LoadReport: load, SelfReport: report, Latency: m.now.Sub(startedAt), SendState: sent}))
		})
	})
}

// timeFor returns the service time of a request, which is shorter if the target has the object
// cached.
func (t *modelTarget) timeFor(key string) time.Duration {
	for i, known := range t.cached {
		if known == key {
			t.cached = append(append(t.cached[:i:i], t.cached[i+1:]...), key)
			return modelWarm
		}
	}
	t.cached = append(t.cached, key)
	if len(t.cached) > modelCacheSize {
		t.cached = t.cached[1:]
	}
	return modelCold
}

// gossip makes an instance send its target reports to modelFanout random instances, which may
// include itself, in every round.
func (m *backoffModel) gossip(instance int) {
	reports := m.pools[instance].TargetReports(m.now, provenAt(m.now)).Sample(modelTargetReports, m.rnd)
	for range modelFanout {
		other := m.rnd.IntN(len(m.pools))
		m.after(m.delay(m.poolHall[instance], m.poolHall[other]), func() { m.pools[other].ApplyTargetReports(m.now, reports) })
	}
	m.after(modelRound, func() { m.gossip(instance) })
}

// backoffOutcome summarizes the requests of the ten seconds from the start of a back-off.
type backoffOutcome struct {
	// served is the fraction of requests that were not finally refused. inTime is the fraction that
	// was answered within the objective.
	served, inTime float64
	// burst is the number of arrivals in the first 200 ms after the back-off, relative to the mean.
	burst float64
}

// simulateBackoff makes some targets request a back-off of three seconds.
func simulateBackoff(seed uint64, instances, targets, backingOff int, change ...func(*backoffModel)) backoffOutcome {
	const backoff, settle, period, window = 3 * time.Second, 20 * time.Second, 10 * time.Second, 200 * time.Millisecond
	m := newBackoffModel(seed, instances, targets)
	for _, f := range change {
		f(m)
	}
	rate := modelUtilization * float64(targets) * modelSlots / modelWarm.Seconds()
	from := start.Add(settle)
	m.requestBackoff(backingOff, from, from.Add(backoff), backoff)
	m.load(rate, from.Add(2*period))
	m.run(from)
	sent, refused, inTime := m.sent, m.refused, m.inTime
	m.run(from.Add(period))
	all := float64(m.sent - sent)
	return backoffOutcome{
		served: 1 - float64(m.refused-refused)/all,
		inTime: float64(m.inTime-inTime) / all,
		burst:  float64(m.arrivalsWithin(from.Add(backoff), window)) / (rate * window.Seconds()),
	}
}

// arrivalsWithin returns the number of arrivals in a span from the given time.
func (m *backoffModel) arrivalsWithin(from time.Time, length time.Duration) int {
	n := 0
	for _, at := range m.arrivals {
		if !at.Before(from) && at.Before(from.Add(length)) {
			n++
		}
	}
	return n
}

// modelSizes holds the numbers of instances of a small and a large site.
var modelSizes = []int{12, 74}

// TestServiceDuringPartialBackoff checks that at least 99 percent of the requests are served in the
// ten seconds from the start of a back-off of 7 of 24 targets.
func TestServiceDuringPartialBackoff(t *testing.T) {
	for _, n := range modelSizes {
		for seed := range uint64(3) {
			got := simulateBackoff(seed, n, 24, 7)
			t.Logf("%d instances: %+v", n, got)
			require.GreaterOrEqual(t, got.served, 0.99)
		}
	}
}

// TestRetriesAfterBackoffAreSpread makes all targets of a service request a back-off, with clients
// that retry when they are told to. It checks that the retries do not arrive in a burst: in the
// first 200 ms after the back-off there are at most twice the mean number of arrivals.
func TestRetriesAfterBackoffAreSpread(t *testing.T) {
	for _, n := range modelSizes {
		for seed := range uint64(3) {
			obedient := simulateBackoff(seed, n, 24, 24, func(m *backoffModel) { m.obedient = true })
			early := simulateBackoff(seed, n, 24, 24)
			t.Logf("%d instances: %+v, with clients that retry within a third of their remaining time: %+v", n, obedient, early)
			require.LessOrEqual(t, obedient.burst, 2.0)
		}
	}
}
