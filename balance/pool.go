package balance

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/rainford/rainford/availability"
)

// Action is the kind of a decision.
type Action int

// The verdicts.
const (
	// Run means: send the request to Decision.Target.
	Run Action = iota
	// Wait means: the request is queued; a Grant with its ID follows.
	Wait
	// Refuse means: give the request up now.
	Refuse
)

// Decision is the answer to Acquire.
type Decision struct {
	Action Action
	Target Spec
	// RetryAfter says when to come back after a refusal.
	RetryAfter time.Duration
}

// Request is a request that needs a target.
type Request struct {
	// ID is unique among the requests of the pool.
	ID uint64
	// Deadline is when the answer has to be there.
	Deadline time.Time
	// QueueTimeout is the longest time to wait for a slot. 0 refuses rather than
	// wait.
	QueueTimeout time.Duration
	// FromOtherRegion marks a request that another region sent here. It may not use
	// the part of the slots that the floor keeps.
	FromOtherRegion bool
	// Tried is a target that the request has failed on already, or "".
	Tried string
}

// Grant ends the wait of a queued request.
type Grant struct {
	ID       uint64
	Decision Decision
}

// Config are the settings of a pool.
type Config struct {
	// Policy picks among the targets with a free slot. Nil stands for
	// LeastLoaded.
	Policy Policy
	// Rand gives the jitter of RetryAfter and must not be nil.
	Rand *rand.Rand
	// MaxQueue bounds the requests that wait. 0 stands for 256.
	MaxQueue int
	// NoSlowStart gives a new target its whole share at once. It is a
	// baseline of the measurements.
	NoSlowStart bool
}

const (
	defaultMaxQueue = 256
	// initialLatency is the service time assumed before any was seen.
	initialLatency = 20 * time.Millisecond
	minRetryAfter  = 50 * time.Millisecond
	maxRetryAfter  = 10 * time.Second
)

// Pool chooses targets for the requests of one service at one instance. It is
// not safe for concurrent use.
type Pool struct {
	config  Config
	reserve int
	targets map[string]*target
	// order holds the IDs sorted, so that decisions do not depend on the
	// order of a map.
	order       []string
	inFlight    int
	queue       []queued
	meanLatency time.Duration
	// lastRelease is when a slot last came free, and interval the usual time
	// between two such moments while requests wait.
	lastRelease     time.Time
	releaseInterval time.Duration
}

// queued is a request that waits.
type queued struct {
	Request
	since time.Time
}

// NewPool returns a pool without targets.
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

// SetReserve sets the percentage of the slots kept for the region's own
// requests.
func (p *Pool) SetReserve(percent int) { p.reserve = percent }

// SetTargets replaces the targets that get new work. One that is no longer
// named gets none; what it has in flight goes on.
func (p *Pool) SetTargets(now time.Time, specs []Spec) []Grant {
	named := make(map[string]bool, len(specs))
	for _, spec := range specs {
		named[spec.ID] = true
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
		if named[id] {
			continue
		}
		t.state.SetUnlisted(now)
		if t.inFlight == 0 {
			delete(p.targets, id)
		}
	}
	p.sortOrder()
	return p.dispatch(now)
}

func (p *Pool) sortOrder() {
	p.order = p.order[:0]
	for id := range p.targets {
		p.order = append(p.order, id)
	}
	sort.Strings(p.order)
}

// ApplySelfReport takes in what a target said of itself. What the list says of it, later or not, does not
// undo that, unless it names the target at another address.
func (p *Pool) ApplySelfReport(now time.Time, id string, w availability.SelfReport) {
	if t := p.targets[id]; t != nil {
		t.applySelfReport(now, w)
	}
}

// Acquire decides on a request. After Run the caller must call Release; after
// Wait it gets a Grant from a later call, or calls Cancel.
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
		// Time that passed before anyone waited says nothing.
		p.lastRelease = now
	}
	p.queue = append(p.queue, queued{Request: req, since: now})
	return Decision{Action: Wait}
}

// queuedAhead tells whether a queued request has a right to the next slot
// before req. Requests from other regions have none before the region's own.
func (p *Pool) queuedAhead(req Request) bool {
	for i := range p.queue {
		if req.FromOtherRegion || !p.queue[i].FromOtherRegion {
			return true
		}
	}
	return false
}

// Release ends a request that ran on a target, and returns the grants that
// this makes possible. Latency is the time to the head of the answer; 0 says
// nothing of the target's speed, as for an upload that took as long as its
// sender did.
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
		p.sortOrder()
	}
	return p.dispatch(now)
}

// Cancel takes a request out of the queue. It reports whether it was there.
func (p *Pool) Cancel(id uint64) bool {
	for i := range p.queue {
		if p.queue[i].ID == id {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Tick gives up the queued requests that can't make their deadline any more,
// and serves others if targets have come back.
func (p *Pool) Tick(now time.Time) []Grant {
	p.growFull(now)
	return p.dispatch(now)
}

func (p *Pool) growFull(now time.Time) {
	for _, t := range p.targets {
		t.growFull(now)
	}
}

// dispatch serves the queue in order. A request that has waited for its
// patience, or that by its place in the queue can't make its deadline any more,
// is refused now and not when the deadline has passed.
func (p *Pool) dispatch(now time.Time) []Grant {
	var out []Grant
	kept := p.queue[:0]
	for _, q := range p.queue {
		if spec, ok := p.pick(now, q.Request); ok {
			out = append(out, Grant{ID: q.ID, Decision: Decision{Action: Run, Target: spec}})
			continue
		}
		wait := p.waitAt(now, len(kept))
		late := now.Add(wait + p.expectedLatency()).After(q.Deadline)
		if late || now.Sub(q.since) >= q.QueueTimeout {
			out = append(out, Grant{ID: q.ID, Decision: p.refuse(wait)})
			continue
		}
		kept = append(kept, q)
	}
	p.queue = kept
	return out
}

// pick takes a slot for the request.
func (p *Pool) pick(now time.Time, req Request) (Spec, bool) {
	if req.FromOtherRegion && !p.leavesReserve(now) {
		return Spec{}, false
	}
	candidates := p.candidates(now, req.Tried)
	if len(candidates) == 0 && req.Tried != "" {
		candidates = p.candidates(now, "")
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

func (p *Pool) candidates(now time.Time, avoid string) []Candidate {
	var out []Candidate
	for _, id := range p.order {
		t := p.targets[id]
		if id == avoid || t.free(now) == 0 {
			continue
		}
		out = append(out, Candidate{ID: id, InFlight: t.inFlight, Allowed: t.allowed()})
	}
	return out
}

// leavesReserve tells whether a request from another region leaves the floor
// untouched.
func (p *Pool) leavesReserve(now time.Time) bool {
	limit := p.Load(now).Limit
	kept := (limit*p.reserve + 99) / 100
	return p.inFlight < limit-kept
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

// isWarm compares a target's latency with the lowest of the pool.
func (p *Pool) isWarm(t *target) bool {
	best := t.latency
	for _, other := range p.targets {
		if other.latency > 0 && other.latency < best {
			best = other.latency
		}
	}
	return t.latency <= warmFactor*best+warmSlack
}

// refuse spreads the time to come back over twice the expected wait, so that
// the refused do not come back together.
func (p *Pool) refuse(wait time.Duration) Decision {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	jitter := time.Duration(p.config.Rand.Int64N(int64(wait)))
	return Decision{Action: Refuse, RetryAfter: wait + jitter}
}

// Load is the state of a pool, as told to other instances.
type Load struct {
	// Limit is the number of requests that the targets may have in flight.
	Limit    int
	InFlight int
	// Free is the number of requests that would run at once.
	Free   int
	Queued int
	// Slots is this instance's share of all targets.
	Slots int
}

// Load returns the state of the pool.
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
