package ratelimit_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/ratelimit"
)

// simulation is a discrete-event simulation of instances that hold and issue permits. Messages
// are delayed, lost or blocked by network partitions, and processes crash. Time is simulated.
type simulation struct {
	bound     ratelimit.Bound
	scope     ratelimit.Scope
	regionOf  map[string]string
	instances []ratelimit.Instance
	limits    map[string]ratelimit.Limit
	nodes     []*node
	byName    map[string]*node
	rnd       *rand.Rand

	now    time.Time
	events events
	count  int

	// loss is the fraction of messages that is lost.
	loss float64
	// partitioned reports whether messages from a to b are lost.
	partitioned func(a, b *node) bool

	admitted map[string][]time.Time
	// asked counts all requests by account, refused those that were refused, and unavailable
	// those that found no owner.
	asked, refused, unavailable map[string]int
	// ideal is a single token bucket for each account, and idealRefused counts the requests
	// that it would have refused.
	ideal        map[string]*bucket
	idealRefused map[string]int
	// waits are the waiting times of the admitted requests.
	waits []time.Duration
	bytes int64
}

// node is one instance.
type node struct {
	world    *simulation
	instance ratelimit.Instance
	holder   *ratelimit.Holder
	issuer   *ratelimit.Issuer
	// epoch is the number of processes so far, startedAt the start of the current one.
	epoch     int
	startedAt time.Time
	down      bool
	ticking   bool
	waiting   map[uint64]pending
	lastID    uint64
}

// pending is a request that waits for a permit.
type pending struct {
	account string
	since   time.Time
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newSimulation returns a simulation of instances spread over halls, with two halls per region.
func newSimulation(seed uint64, scope ratelimit.Scope, halls, instances int, limits map[string]ratelimit.Limit) *simulation {
	w := &simulation{
		bound: ratelimit.DefaultBound, scope: scope, regionOf: make(map[string]string), limits: limits,
		byName: make(map[string]*node), rnd: rand.New(rand.NewPCG(seed, 1)), now: epoch,
		admitted: make(map[string][]time.Time), asked: make(map[string]int), refused: make(map[string]int), unavailable: make(map[string]int),
		ideal: make(map[string]*bucket), idealRefused: make(map[string]int),
	}
	hallName := func(h int) string { return fmt.Sprintf("h%d", h) }
	for h := range halls {
		w.regionOf[hallName(h)] = fmt.Sprintf("r%d", h/2)
	}
	for i := range instances {
		hall := hallName(i % halls)
		n := &node{world: w, instance: ratelimit.Instance{Name: fmt.Sprintf("n%d", i), Hall: hall, Region: w.regionOf[hall]}}
		w.nodes = append(w.nodes, n)
		w.byName[n.instance.Name] = n
		w.instances = append(w.instances, n.instance)
	}
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

// after schedules a function call.
func (w *simulation) after(d time.Duration, do func()) {
	w.count++
	heap.Push(&w.events, event{at: w.now.Add(d), seq: w.count, do: do})
}

// run processes the events up to a time.
func (w *simulation) run(until time.Time) {
	for len(w.events) > 0 && !w.events[0].at.After(until) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// start starts a new process that reads the instances from the store.
func (n *node) start() {
	n.epoch++
	n.startedAt = n.world.now
	n.down = false
	n.ticking = false
	n.waiting = make(map[uint64]pending)
	n.holder = ratelimit.NewHolder(n.instance.Name)
	n.issuer = ratelimit.NewIssuer(n.world.bound, n.world.now, false)
	owners := ratelimit.NewOwners(n.world.scope, n.instance, n.world.regionOf, n.world.instances)
	n.holder.SetOwners(owners)
	n.issuer.SetOwners(n.world.now, owners)
}

// kill ends the process and starts another one after the given time.
func (n *node) kill(down time.Duration) {
	if n.down {
		return
	}
	n.down = true
	n.world.after(down, n.start)
}

// delay returns a random transit time for a message.
func (w *simulation) delay(a, b *node) time.Duration {
	base := 35 * time.Millisecond
	switch {
	case a.instance.Hall == b.instance.Hall:
		base = 200 * time.Microsecond
	case a.instance.Region == b.instance.Region:
		base = time.Millisecond
	}
	return base + time.Duration(w.rnd.ExpFloat64()*float64(2*time.Millisecond))
}

// send delivers a message after a delay, unless it is lost.
func (n *node) send(to string, m peer.Message, arrive func(*node)) {
	w := n.world
	frame, err := peer.Encode(m)
	if err != nil {
		panic(err)
	}
	w.bytes += int64(len(frame))
	b := w.byName[to]
	if w.rnd.Float64() < w.loss || w.partitioned != nil && w.partitioned(n, b) {
		return
	}
	w.after(w.delay(n, b), func() {
		if !b.down {
			arrive(b)
		}
	})
}

// request sends a request of an account to an instance.
func (n *node) request(account string) {
	w := n.world
	w.asked[account]++
	w.countIdeal(account)
	if n.down {
		return
	}
	n.lastID++
	result, requests := n.holder.Acquire(w.now, n.lastID, account)
	n.waiting[n.lastID] = pending{account: account, since: w.now}
	n.finish(result)
	n.sendRequests(requests)
}

func (n *node) finish(results ...ratelimit.Result) {
	w := n.world
	for _, a := range results {
		if a.Decision == ratelimit.Wait {
			continue
		}
		p, ok := n.waiting[a.ID]
		if !ok {
			continue
		}
		delete(n.waiting, a.ID)
		switch a.Decision {
		case ratelimit.Admit:
			w.admitted[p.account] = append(w.admitted[p.account], w.now)
			w.waits = append(w.waits, w.now.Sub(p.since))
		case ratelimit.Refuse:
			w.refused[p.account]++
		default:
			w.unavailable[p.account]++
		}
	}
}

func (n *node) sendRequests(requests []ratelimit.PermitRequest) {
	w := n.world
	for _, request := range requests {
		requestedAt := w.now
		if request.To.Name == n.instance.Name {
			n.issue(request.Account, ratelimit.IssueRequest{From: n.instance.Name, At: int64(requestedAt.Sub(epoch)), N: request.N})
			continue
		}
		n.send(request.To.Name, &peer.PermitRequest{Account: request.Account, From: n.instance.Name, SentAt: int64(requestedAt.Sub(epoch)), N: request.N}, func(owner *node) {
			owner.issue(request.Account, ratelimit.IssueRequest{From: n.instance.Name, At: int64(requestedAt.Sub(epoch)), N: request.N})
		})
	}
	n.tick()
}

func (n *node) handleReply(requestedAt time.Time, account, from string, grant ratelimit.Grant) {
	results, requests := n.holder.HandleReply(n.world.now, requestedAt, account, from, grant)
	n.finish(results...)
	n.sendRequests(requests)
}

// issue handles a permit request, and sends loan requests if needed.
func (n *node) issue(account string, c ratelimit.IssueRequest) {
	w := n.world
	reply, requests := n.issuer.Issue(w.now, account, w.limits[account], c)
	n.reply(reply)
	n.borrow(requests)
	n.tick()
}

// borrow sends loan requests to the owners of other domains.
func (n *node) borrow(requests []ratelimit.LoanRequest) {
	w := n.world
	for _, request := range requests {
		requestedAt, process := w.now, n.epoch
		n.send(request.Lender.Name, &peer.PermitRequest{Account: request.Account, From: n.instance.Name, SentAt: int64(requestedAt.Sub(epoch)), N: request.N, Borrow: true}, func(lender *node) {
			lent := lender.issuer.Lend(w.now, request.Account, w.limits[request.Account], request.N)
			lender.send(n.instance.Name, &peer.PermitGrant{Account: request.Account, From: lender.instance.Name, RequestSentAt: int64(requestedAt.Sub(epoch)), Grant: lent, Borrow: true}, func(n *node) {
				if n.epoch != process {
					return
				}
				replies, more := n.issuer.HandleLoan(w.now, requestedAt, request.Account, lender.instance.Name, lent)
				n.reply(replies...)
				n.borrow(more)
			})
		})
	}
}

// reply sends replies to permit requests. A process drops replies to requests of a former
// process, because their times come from a different clock.
func (n *node) reply(replies ...ratelimit.Reply) {
	for _, r := range replies {
		requestedAt := epoch.Add(time.Duration(r.At))
		if r.To == n.instance.Name {
			n.handleReply(requestedAt, r.Account, n.instance.Name, r.Grant)
			continue
		}
		process := n.world.byName[r.To].epoch
		n.send(r.To, &peer.PermitGrant{Account: r.Account, From: n.instance.Name, RequestSentAt: r.At, Grant: r.Grant}, func(to *node) {
			if to.epoch == process && !to.startedAt.After(requestedAt) {
				to.handleReply(requestedAt, r.Account, n.instance.Name, r.Grant)
			}
		})
	}
}

func (n *node) tick() {
	if n.ticking || !n.holder.NeedsTick() && n.issuer.Queued() == 0 {
		return
	}
	n.ticking = true
	process := n.epoch
	n.world.after(10*time.Millisecond, func() {
		if n.epoch != process || n.down {
			return
		}
		n.ticking = false
		results, requests, _ := n.holder.Tick(n.world.now)
		n.finish(results...)
		n.sendRequests(requests)
		n.reply(n.issuer.Tick(n.world.now)...)
		n.tick()
	})
}

// demand sends requests of an account as a Poisson process, from now until a time, through
// instances chosen by pick.
func (w *simulation) demand(account string, perSecond float64, until time.Time, pick func() *node) {
	if perSecond <= 0 {
		return
	}
	var next func()
	next = func() {
		if w.now.After(until) {
			return
		}
		pick().request(account)
		w.after(time.Duration(w.rnd.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	w.after(time.Duration(w.rnd.ExpFloat64()/perSecond*float64(time.Second)), next)
}

// bucket is a token bucket.
type bucket struct {
	tokens float64
	at     time.Time
}

// countIdeal counts a request of the account in its single ideal bucket.
func (w *simulation) countIdeal(account string) {
	limit := w.limits[account]
	b := w.ideal[account]
	if b == nil {
		b = &bucket{tokens: limit.Burst, at: w.now}
		w.ideal[account] = b
	}
	b.tokens = math.Min(math.Max(limit.Burst, 1), b.tokens+limit.Rate*w.now.Sub(b.at).Seconds())
	b.at = w.now
	if b.tokens < 1 {
		w.idealRefused[account]++
		return
	}
	b.tokens--
}

// randomNode draws an instance.
func (w *simulation) randomNode() *node { return w.nodes[w.rnd.IntN(len(w.nodes))] }

// worstWindow returns the largest number of admitted requests of an account in any window, as a
// fraction of most.
func (w *simulation) worstWindow(account string, window time.Duration, most float64) float64 {
	times := w.admitted[account]
	worst, end := 0.0, 0
	for i := range times {
		for end < len(times) && times[end].Sub(times[i]) <= window {
			end++
		}
		worst = math.Max(worst, float64(end-i)/most)
	}
	return worst
}
