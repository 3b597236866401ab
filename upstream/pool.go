package upstream

import (
	"maps"
	"sort"
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/internal/mix"
	"github.com/rainford/rainford/ratelimit"
	"github.com/rainford/rainford/rollout"
	"github.com/rainford/rainford/table"
)

// Config are the settings of a pool.
type Config struct {
	Service string
	// Self, Hall and Region are the instance's name and place.
	Self, Hall, Region string
	// RegionOf maps each hall to its region.
	RegionOf map[string]string
	// HoldNewVersions says that targets of a version that none had before get nothing until an order for it
	// is known, or for some time if there is none.
	HoldNewVersions bool
	// ShiftStep is the largest part of a region's requests that changes the
	// region that runs them in ShiftWindow.
	ShiftStep   float64
	ShiftWindow time.Duration
}

// Pool chooses targets. It is not safe for concurrent use.
type Pool struct {
	config Config
	// regionCount is the number of regions that halls are in.
	regionCount int
	warmup      time.Duration
	quotas      *quotas
	rows        []table.Row
	// homeShares are the parts of all requests that regions have to run.
	homeShares map[string]float64

	byID map[string]*target
	// byHash holds the same targets by the hash of their IDs.
	byHash map[availability.ID]*target
	// byShortID holds the same targets by the form of their IDs in sightings.
	byShortID map[uint32]*target
	// regions hold the same targets by the names of their regions, but for those that are to get
	// nothing yet, and inOrder the regions in the order of names.
	regions       map[string]*regionTargets
	sortedRegions []*regionTargets
	// split is the part of the requests that goes to targets of a new version, until a time if that
	// is not zero.
	split      rollout.Split
	splitUntil time.Time
	// versions are those of the service's targets.
	versions versions
	// groups number the halls of each region.
	groups map[string]int
	// plans hold what was computed for each set of home regions.
	plans map[string]*plan
	queue queue
	// departures are the targets that have said themselves that they leave, those too that
	// the pool does not have: what the list says of them, later or not, does not undo that.
	departures availability.Departures
	// activeTargets are the targets with a contact of their own, and none is that of all others. It stays
	// empty.
	activeTargets []*target
	emptyStats    stats
	// rateLimits are those that targets have named, those too that the pool does not have.
	rateLimits map[availability.ID]availability.RateLimit
	// limitedTargets are the targets that have named one, in the order of IDs.
	limitedTargets []*target
	// permits are those of targets' limits, asks the questions for more that are to be sent
	// to their owners, and silent the owners that do not answer.
	permits        *ratelimit.Holder
	permitRequests []ratelimit.PermitRequest
	unresponsive   []string
	retryForecast  retryForecast
	// backoffUntil is when the last of the targets that rest is back.
	backoffUntil time.Time
	events       []Event
	// typicalLatency is the usual time of an answer from a target that is not full.
	typicalLatency time.Duration
	cacheModel     cacheModel
	// salt tells the instances' drawn times apart.
	salt uint64
}

// initialTypicalLatency is assumed before any answer was seen.
const initialTypicalLatency = 200 * time.Millisecond

// NewPool returns a pool without targets.
func NewPool(config Config) *Pool {
	p := &Pool{
		config:         config,
		quotas:         &quotas{self: config.Self, generation: 1},
		byID:           make(map[string]*target),
		byHash:         make(map[availability.ID]*target),
		byShortID:      make(map[uint32]*target),
		regions:        make(map[string]*regionTargets),
		groups:         numberHalls(config.RegionOf),
		plans:          make(map[string]*plan),
		rateLimits:     make(map[availability.ID]availability.RateLimit),
		permits:        ratelimit.NewHallHolder(config.Self),
		typicalLatency: initialTypicalLatency,
		salt:           mix.Hash(config.Self),
	}
	for _, region := range config.RegionOf {
		p.regionFor(region)
	}
	p.regionCount = len(p.regions)
	return p
}

// numberHalls numbers the halls of each region from 0 in the order of names.
func numberHalls(regionOf map[string]string) map[string]int {
	halls := make([]string, 0, len(regionOf))
	for hall := range regionOf {
		halls = append(halls, hall)
	}
	sort.Strings(halls)
	next := make(map[string]int)
	groups := make(map[string]int, len(halls))
	for _, hall := range halls {
		region := regionOf[hall]
		groups[hall] = next[region]
		next[region]++
	}
	return groups
}

// TypicalLatency returns the usual time of an answer.
func (p *Pool) TypicalLatency() time.Duration { return p.typicalLatency }

// SetService takes in what the configuration says of the service.
func (p *Pool) SetService(s catalog.Service) {
	p.warmup = s.Warmup
	p.quotas.setRate(s.WarmupRate)
}

// SetHomeShares takes in the part of all requests that each region has to run because it is
// their account's home. Shares computed from slots leave room for them.
func (p *Pool) SetHomeShares(shares map[string]float64) {
	if maps.Equal(p.homeShares, shares) {
		return
	}
	p.homeShares = shares
	p.invalidatePlans()
}

// SetRows takes in the operators' rows for requests that enter in the own region.
// Without any the shares of the regions are computed from slots.
func (p *Pool) SetRows(rows []table.Row) {
	p.rows = rows
	p.invalidatePlans()
}

// SetMembers takes in the names of the instances known in each hall, which
// share what cold targets bear.
func (p *Pool) SetMembers(members map[string][]string) {
	p.quotas.setMembers(members)
}

// Acquire chooses a target for a request, queues the request, or refuses it.
func (p *Pool) Acquire(now time.Time, r Request) Decision {
	r.arrivedAt = now
	r.keyPoint = mix.Unit(mix.Pair(r.Key, "region"))
	if r.Sticky {
		p.planFor(now, &r).points.Add(now, r.keyPoint)
	}
	r.cohort = p.cohortFor(now, &r)
	c := p.choose(now, &r)
	if c.found {
		return p.send(now, &r, c)
	}
	if c.reason == ReasonNoTarget {
		refusal, refused := p.RefuseIfUnavailable(now, r)
		if refused {
			return refusal
		}
	}
	if now.Add(p.typicalLatency).After(r.Deadline) {
		return Decision{Action: Refuse, Reason: ReasonLate, RetryAfter: p.retryAfter(r.ID)}
	}
	if !p.queue.add(r) {
		return Decision{Action: Refuse, Reason: ReasonQueueFull, RetryAfter: p.retryAfter(r.ID)}
	}
	return Decision{Action: Wait, Reason: c.reason}
}

func (p *Pool) send(now time.Time, r *Request, c candidate) Decision {
	t := c.target
	sent := SendState{NewVersion: t.cohort == newCohort, KeyKnown: t.hasKey(now, r.Key), FirstChoice: c.firstChoice, Load: t.load(now) / float64(max(t.spec.Slots, 1))}
	cold := t.cold(now)
	sent.GrantedAt, sent.PermitExpiry = now, p.spendPermit(now, t)
	p.retryForecast.countSend(now)
	p.markActive(now, t)
	t.startRequest(now)
	t.rememberKey(now, r.Key)
	return Decision{
		Action:    Send,
		Reason:    c.reason,
		SendState: sent,
		Target:    Choice{ID: t.spec.ID, Name: t.spec.Name, Addr: t.spec.Addr, Hall: t.spec.Hall, Region: t.region.name, Cold: cold},
	}
}

const (
	// A refused request is told to come back after between so many usual times of an
	// answer: by then the requests that filled its targets are done, and spread out so
	// that those refused together do not come back together.
	minRetryFactor = 1.5
	maxRetryFactor = 3.5
	// minTypicalLatency bounds what is taken for the usual time here from below: a client
	// needs about that to come back at all.
	minTypicalLatency = 100 * time.Millisecond
)

// retryAfter is when a refused request should come back. The ID of a request spreads
// those of one instance evenly.
func (p *Pool) retryAfter(id uint64) time.Duration {
	times := minRetryFactor + (maxRetryFactor-minRetryFactor)*mix.Unit(mix.Join(id, p.salt))
	return time.Duration(times * float64(max(p.typicalLatency, minTypicalLatency)))
}

// Release ends an attempt and returns the grants that this makes possible.
func (p *Pool) Release(now time.Time, id string, r Result) []Grant {
	t := p.byID[id]
	if t == nil {
		return nil
	}
	p.markActive(now, t)
	full := t.load(now) > float64(t.spec.Slots)
	before := t.eventState()
	if r.SelfReport.Leaving {
		p.departures.Add(now, availability.ID(t.hash))
	}
	p.observeLatency(t, r)
	p.returnPermit(now, t, r)
	t.finishRequest(now, r)
	if until := t.state.BackoffUntil(); until.After(p.backoffUntil) {
		p.backoffUntil = until
	}
	p.recordEvent(t, before, r.Outcome)
	if r.Outcome == Answered && !full {
		p.updateTypicalLatency(r.Latency)
	}
	switch {
	case t.state.Gone() && t.inFlight == 0:
		p.removeTarget(t)
		if p.updateVersions(now) {
			p.placeAll(now)
		}
	default:
		p.count(t)
	}
	return p.dispatch(now)
}

// MaySend tells whether a request that was granted a target may still be sent there. Between the
// grant and the sending, a connection has to be opened, the target may have spoken, and a permit
// may have ended.
func (p *Pool) MaySend(now time.Time, id string, sent SendState) bool {
	t := p.byID[id]
	if t == nil || !t.state.Available(now) {
		return false
	}
	return t.rateLimit == nil || now.Before(sent.PermitExpiry)
}

// ApplyDepartures takes in that targets said, to this or to another instance, that they leave.
// It returns the IDs of those that the pool has and that were not known to leave.
func (p *Pool) ApplyDepartures(now time.Time, departures availability.DepartureList, source availability.Source) []string {
	p.departures.Expire(now)
	p.departures.Merge(now, departures)
	var fresh []string
	for _, d := range departures {
		t := p.byHash[d.ID]
		if t == nil {
			continue
		}
		before := t.eventState()
		if t.state.SetLeaving(now.Add(-d.Age), source) {
			fresh = append(fresh, t.spec.ID)
			p.recordEvent(t, before, Answered)
			p.count(t)
		}
	}
	return fresh
}

// observeLatency takes in the time of an answer for what it says of objects and of the target.
func (p *Pool) observeLatency(t *target, r Result) {
	if r.Outcome != Answered {
		return
	}
	times := p.cacheModel.observe(r.SendState, r.Latency)
	if times > 0 {
		t.stats.slow.observe(times)
	}
}

// typicalWeight is the weight of a new answer in the usual time.
const typicalWeight = 0.02

func (p *Pool) updateTypicalLatency(took time.Duration) {
	p.typicalLatency += time.Duration(typicalWeight * float64(took-p.typicalLatency))
}

// Cancel takes a request out of the queue. It reports whether it was there.
func (p *Pool) Cancel(id uint64) bool { return p.queue.remove(id) }

// Tick returns the grants and refusals that the passing of time brings. It is to
// be called while Waiting is not 0.
func (p *Pool) Tick(now time.Time) []Grant {
	p.tickPermits(now)
	return p.dispatch(now)
}

// Waiting returns the length of the queue.
func (p *Pool) Waiting() int { return len(p.queue.waiting) }

// dispatch grants what it can to the queued requests, the most urgent first, and
// refuses those whose patience is over.
func (p *Pool) dispatch(now time.Time) []Grant {
	p.endHold(now)
	var grants []Grant
	kept := p.queue.waiting[:0]
	for _, w := range p.queue.waiting {
		c := p.choose(now, &w)
		switch {
		case c.found:
			grants = append(grants, Grant{ID: w.ID, Decision: p.send(now, &w, c)})
		case now.Sub(w.arrivedAt) >= w.QueueTimeout || now.Add(p.typicalLatency).After(w.Deadline):
			grants = append(grants, Grant{ID: w.ID, Decision: p.refuse(now, &w, c.reason)})
		default:
			kept = append(kept, w)
		}
	}
	p.queue.waiting = kept
	return grants
}
