package balance

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/rainford/rainford/availability"
)

// Action is what a decision requires the caller to do.
type Action int

// The actions of a decision.
const (
	// Run means that the request is to be sent to Decision.Target.
	Run Action = iota
	// Wait means that the request is queued. A Grant with its ID follows unless it is cancelled.
	Wait
	// Refuse means that the request is to be refused now.
	Refuse
)

// Decision is the result of Acquire, or part of a Grant.
type Decision struct {
	Action Action
	Target Spec
	// RetryAfter is the time after which a refused request should be retried.
	RetryAfter time.Duration
}

// Request is a request that needs a target.
type Request struct {
	// ID is unique among the requests of the pool.
	ID uint64
	// Deadline is when the client needs the response.
	Deadline time.Time
	// QueueTimeout is the longest time that the request may wait for a slot. With 0 the request is
	// refused if no slot is free.
	QueueTimeout time.Duration
	// FromOtherRegion marks a request that was sent here by another region. It may not use the
	// reserve.
	FromOtherRegion bool
	// Tried is a target on which the request has failed, or "". It is used again only if no other
	// target has a free slot.
	Tried string
}

// Grant ends the wait of a queued request.
type Grant struct {
	ID       uint64
	Decision Decision
}

// Config holds the settings of a pool.
type Config struct {
	// Policy picks among the targets with a free slot. It is LeastLoaded if nil.
	Policy Policy
	// Rand provides the jitter of RetryAfter. It must not be nil.
	Rand *rand.Rand
	// MaxQueue bounds the number of queued requests. 0 means 256.
	MaxQueue int
	// NoSlowStart gives a new target its whole share of slots at once. It serves as a baseline.
	NoSlowStart bool
}

const (
	defaultMaxQueue = 256
	// initialLatency is the latency assumed before the first response.
	initialLatency = 20 * time.Millisecond
	minRetryAfter  = 50 * time.Millisecond
	maxRetryAfter  = 10 * time.Second
)

// Pool selects targets for the requests of one service at one instance. It is not safe for
// concurrent use.
type Pool struct {
	config  Config
	reserve int
	targets map[string]*target
	// sortedIDs holds the target IDs in sorted order, so that decisions do not depend on the
	// iteration order of a map.
	sortedIDs   []string
	inFlight    int
	queue       []queued
	meanLatency time.Duration
	// lastRelease is when a slot was last released, or when the queue last became non-empty if that
	// is later. releaseInterval is the mean time between two
	// releases while requests wait.
	lastRelease     time.Time
	releaseInterval time.Duration
}

// queued is a request in the queue.
type queued struct {
	Request
	queuedAt time.Time
}

// NewPool returns a pool without targets for the given configuration. It panics if config.Rand is
// nil.
func NewPool(config Config) *Pool {
	if config.Rand == nil {
		panic("balance: nil Rand")
	}
	if config.Policy == nil {
		config.Policy = &LeastLoaded{Rand: config.Rand}
	}
	if config.MaxQueue == 0 {
		config.MaxQueue = defaultMaxQueue
	}
	return &Pool{config: config, targets: make(map[string]*target)}
}

// SetReserve sets the percentage of the slots that is reserved for requests of this region. In
// settings and in the routing table it is called the floor.
func (p *Pool) SetReserve(percent int) { p.reserve = percent }

// SetTargets replaces the targets that get new requests. Requests in flight at other targets
// continue. It returns the grants and refusals that follow.
func (p *Pool) SetTargets(now time.Time, specs []Spec) []Grant {
	listed := make(map[string]bool, len(specs))
	for _, spec := range specs {
		listed[spec.ID] = true
		t, ok := p.targets[spec.ID]
		if !ok || t.spec.Addr != spec.Addr {
			t = newTarget(spec)
			if p.config.NoSlowStart {
				t.limit = spec.Slots
			}
			p.targets[spec.ID] = t
		}
		t.spec = spec
		t.state.SetListed(now, false)
	}
	for id, t := range p.targets {
		if listed[id] {
			continue
		}
		t.state.SetUnlisted(now)
		if t.inFlight == 0 {
			delete(p.targets, id)
		}
	}
	p.sortIDs()
	return p.dispatch(now)
}

func (p *Pool) sortIDs() {
	p.sortedIDs = p.sortedIDs[:0]
	for id := range p.targets {
		p.sortedIDs = append(p.sortedIDs, id)
	}
	sort.Strings(p.sortedIDs)
}

// ApplySelfReport applies what a target reported about itself. The target list, whether older or
// newer, does not revoke the report unless it lists the target with another address, or leaves it
// out and the target is removed after its last request.
func (p *Pool) ApplySelfReport(now time.Time, id string, report availability.SelfReport) {
	if t := p.targets[id]; t != nil {
		t.applySelfReport(now, report)
	}
}

// Acquire decides on a request. After Run the caller must call Release. After Wait the caller must
// either receive a Grant from a later call or call Cancel.
func (p *Pool) Acquire(now time.Time, req Request) Decision {
	p.growFull(now)
	if !p.queuedAhead(req) {
		if spec, ok := p.pick(now, req); ok {
			return Decision{Action: Run, Target: spec}
		}
	}
	wait := p.expectedWait(now)
	left := req.Deadline.Sub(now) - p.expectedLatency()
	if len(p.queue) >= p.config.MaxQueue || wait > min(left, req.QueueTimeout) {
		return p.refuse(wait)
	}
	if len(p.queue) == 0 && p.lastRelease.Before(now) {
		// The time without queued requests does not count.
		p.lastRelease = now
	}
	p.queue = append(p.queue, queued{Request: req, queuedAt: now})
	return Decision{Action: Wait}
}

// queuedAhead reports whether a queued request takes precedence over req for the next slot. A
// request from another region does not take precedence over a request of this region.
func (p *Pool) queuedAhead(req Request) bool {
	for i := range p.queue {
		if req.FromOtherRegion || !p.queue[i].FromOtherRegion {
			return true
		}
	}
	return false
}

// Release ends a request that ran on a target and returns the grants and refusals that follow.
// latency is the time to the response header. It is 0 if the time does not show the target's speed,
// as for an upload whose duration depends on its sender.
func (p *Pool) Release(now time.Time, id string, result Result, latency time.Duration) []Grant {
	t := p.targets[id]
	if t == nil {
		return p.dispatch(now)
	}
	t.inFlight--
	p.inFlight--
	p.recordRelease(now)
	switch result {
	case Answered:
		if latency > 0 {
			t.observe(latency)
			p.observe(latency)
		}
		t.growOnAnswer(p.isWarm(t))
	case Refused:
		t.halveLimit(now)
	case Unreachable:
		t.suspect(now)
	case Broken:
		t.recordBroken(now)
	case Abandoned:
	}
	if t.state.Gone() && t.inFlight == 0 {
		delete(p.targets, id)
		p.sortIDs()
	}
	return p.dispatch(now)
}

// Cancel removes a request from the queue. It reports whether the request was queued.
func (p *Pool) Cancel(id uint64) bool {
	for i := range p.queue {
		if p.queue[i].ID == id {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Tick refuses queued requests whose queue timeout has expired or that would miss their deadline,
// and grants free slots to others.
func (p *Pool) Tick(now time.Time) []Grant {
	p.growFull(now)
	return p.dispatch(now)
}

func (p *Pool) growFull(now time.Time) {
	for _, t := range p.targets {
		t.growFull(now)
	}
}

// dispatch serves the queue in order. It refuses a request when its queue timeout expires, or as
// soon as its place in the queue shows that it would miss its deadline.
func (p *Pool) dispatch(now time.Time) []Grant {
	var out []Grant
	queue := p.queue[:0]
	for _, q := range p.queue {
		if spec, ok := p.pick(now, q.Request); ok {
			out = append(out, Grant{ID: q.ID, Decision: Decision{Action: Run, Target: spec}})
			continue
		}
		wait := p.waitAt(now, len(queue))
		late := now.Add(wait + p.expectedLatency()).After(q.Deadline)
		if late || now.Sub(q.queuedAt) >= q.QueueTimeout {
			out = append(out, Grant{ID: q.ID, Decision: p.refuse(wait)})
			continue
		}
		queue = append(queue, q)
	}
	p.queue = queue
	return out
}

// pick reserves a slot for the request and returns its target.
func (p *Pool) pick(now time.Time, req Request) (Spec, bool) {
	if req.FromOtherRegion && !p.leavesReserve(now) {
		return Spec{}, false
	}
	candidates := p.freeTargets(now, req.Tried)
	if len(candidates) == 0 && req.Tried != "" {
		candidates = p.freeTargets(now, "")
	}
	if len(candidates) == 0 {
		return Spec{}, false
	}
	chosen := candidates[p.config.Policy.Pick(candidates)]
	t := p.targets[chosen.ID]
	t.inFlight++
	p.inFlight++
	return t.spec, true
}

func (p *Pool) freeTargets(now time.Time, tried string) []Candidate {
	var candidates []Candidate
	for _, id := range p.sortedIDs {
		t := p.targets[id]
		if id == tried || t.free(now) == 0 {
			continue
		}
		candidates = append(candidates, Candidate{ID: id, InFlight: t.inFlight, Allowed: t.allowed()})
	}
	return candidates
}

// leavesReserve reports whether a request from another region can run without using the reserve.
func (p *Pool) leavesReserve(now time.Time) bool {
	limit := p.Load(now).Limit
	reserved := (limit*p.reserve + 99) / 100
	return p.inFlight < limit-reserved
}

func (p *Pool) observe(latency time.Duration) {
	if p.meanLatency == 0 {
		p.meanLatency = latency
		return
	}
	p.meanLatency += time.Duration(latencyWeight * float64(latency-p.meanLatency))
}

func (p *Pool) expectedLatency() time.Duration {
	if p.meanLatency == 0 {
		return initialLatency
	}
	return p.meanLatency
}

// isWarm reports whether a target's latency is close to the lowest latency of the pool.
func (p *Pool) isWarm(t *target) bool {
	best := t.latency
	for _, other := range p.targets {
		if other.latency > 0 && other.latency < best {
			best = other.latency
		}
	}
	return t.latency <= warmFactor*best+warmSlack
}

// refuse returns a refusal. The retry delay is between one and two times the expected wait, which
// is first limited to the range from minRetryAfter to maxRetryAfter. The delay is random, so that
// requests refused together are not retried together.
func (p *Pool) refuse(wait time.Duration) Decision {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	jitter := time.Duration(p.config.Rand.Int64N(int64(wait)))
	return Decision{Action: Refuse, RetryAfter: wait + jitter}
}

// Load is the load of a pool as sent to other instances.
type Load struct {
	// Limit is the number of requests that may be in flight at all usable targets.
	Limit    int
	InFlight int
	// Free is the number of requests that could run immediately.
	Free   int
	Queued int
	// Slots is this instance's share of the slots of all usable targets.
	Slots int
}

// Load returns the load of the pool.
func (p *Pool) Load(now time.Time) Load {
	out := Load{InFlight: p.inFlight, Queued: len(p.queue)}
	for _, t := range p.targets {
		if t.usable(now) {
			out.Limit += t.allowed()
			out.Slots += t.spec.Slots
		}
		out.Free += t.free(now)
	}
	return out
}
