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

// Config holds the settings of a pool.
type Config struct {
	Service string
	// Self, Hall and Region are the name and the location of the instance.
	Self, Hall, Region string
	// RegionOf maps each hall to its region.
	RegionOf map[string]string
	// HoldNewVersions makes targets of a version not seen before wait until a rollout order for the
	// version is known. If no order becomes known, they are used after unorderedHold.
	HoldNewVersions bool
	// ShiftStep is the largest fraction of a region's requests that may change the region that runs
	// them within ShiftWindow.
	ShiftStep   float64
	ShiftWindow time.Duration
}

// Pool selects targets for requests. It is not safe for concurrent use.
type Pool struct {
	config Config
	// regionCount is the number of regions that contain halls.
	regionCount int
	warmup      time.Duration
	quotas      *quotas
	rows        []table.Row
	// homeShares holds for each region the fraction of all requests that has to run there.
	homeShares map[string]float64

	byID map[string]*target
	// byHash holds the targets of byID by the hash of their IDs.
	byHash map[availability.ID]*target
	// byShortID holds the targets of byID by the short IDs that target reports use.
	byShortID map[uint32]*target
	// regions holds the targets by the name of their region, without the targets of versions that
	// are held back. sortedRegions holds the regions ordered by name.
	regions       map[string]*regionTargets
	sortedRegions []*regionTargets
	// split divides the requests between the old targets and those of a new version. It ends at
	// splitUntil unless that is zero.
	split      rollout.Split
	splitUntil time.Time
	// versions tracks the versions of the service's targets.
	versions versions
	// groups numbers the halls within each region.
	groups map[string]int
	// plans holds the division of requests between regions for each set of home regions.
	plans map[string]*plan
	// sharesTakenAt is when TakeShares last returned any.
	sharesTakenAt time.Time
	queue         queue
	// unreachable holds the halls to which this instance has lost its links.
	unreachable map[string]bool
	// departures holds the targets that announced that they leave, including targets that are not
	// in the pool. The target list, whether older or newer, does not revoke an announcement.
	departures availability.Departures
	// activeTargets holds the targets with stats of their own. All other targets share emptyStats,
	// which is never modified.
	activeTargets []*target
	emptyStats    stats
	// rateLimits holds the limits that targets have announced, including targets that are not in
	// the pool.
	rateLimits map[availability.ID]availability.RateLimit
	// limitedTargets holds the targets of the pool with a rate limit, ordered by ID.
	limitedTargets []*target
	// permits holds the permits for targets with a rate limit. permitRequests holds requests to be
	// sent to the permits' owners, and unresponsive the owners that did not answer in time.
	permits        *ratelimit.Holder
	permitRequests []ratelimit.PermitRequest
	unresponsive   []string
	retryForecast  retryForecast
	// backoffUntil is the end of the last back-off that a target requested.
	backoffUntil time.Time
	events       []Event
	// typicalLatency is the moving average of the latency of targets that are not full.
	typicalLatency time.Duration
	cacheModel     cacheModel
	// salt makes instances draw different random numbers for the same request.
	salt uint64
}

// initialTypicalLatency is the typical latency before the first response.
const initialTypicalLatency = 200 * time.Millisecond

// NewPool returns a pool without targets for the given configuration.
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

// numberHalls numbers the halls of each region from 0, ordered by name.
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

// TypicalLatency returns the moving average of the latency of targets that are not full.
func (p *Pool) TypicalLatency() time.Duration { return p.typicalLatency }

// SetService sets the warm-up time and the warm-up rate of the service's targets from the
// configuration.
func (p *Pool) SetService(s catalog.Service) {
	p.warmup = s.Warmup
	p.quotas.setRate(s.WarmupRate)
}

// SetHomeShares sets the fraction of all requests that each region has to run because it is the
// home region of their client account. Shares that are computed from slots reserve capacity for
// these requests.
func (p *Pool) SetHomeShares(shares map[string]float64) {
	if maps.Equal(p.homeShares, shares) {
		return
	}
	p.homeShares = shares
	p.invalidatePlans()
}

// SetRows sets the operators' routing rows for requests that enter in this instance's region.
// Without rows the shares of the regions are computed from their slots.
func (p *Pool) SetRows(rows []table.Row) {
	p.rows = rows
	p.invalidatePlans()
}

// SetMembers sets the names of the known instances of each hall. These instances divide the warm-up
// quota of the hall's cold targets among themselves.
func (p *Pool) SetMembers(members map[string][]string) {
	p.quotas.setMembers(members)
}

// Acquire selects a target for a request, queues the request, or refuses it. After Send the caller
// must call Release, and after Wait it must either receive a Grant from a later call or call
// Cancel.
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
		return p.markUnreachable(&r, Decision{Action: Refuse, Reason: ReasonQueueFull, RetryAfter: p.retryAfter(r.ID)})
	}
	return Decision{Action: Wait, Reason: c.reason}
}

func (p *Pool) send(now time.Time, r *Request, c candidate) Decision {
	t := c.target
	sent := SendState{NewVersion: t.cohort == newCohort, KeyKnown: t.hasKey(now, r.Key), FirstChoice: c.firstChoice, Load: t.load(now) / float64(max(t.spec.Slots, 1))}
	sent.Probe = t.stats.suspectBackoff > 0
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
	// A refused request is told to retry after between minRetryFactor and maxRetryFactor typical
	// latencies. By then the requests that filled its targets have finished. The spread keeps
	// requests that are refused together from being retried together.
	minRetryFactor = 1.5
	maxRetryFactor = 3.5
	// minTypicalLatency is a lower bound for the typical latency in the computation of retry
	// delays. A client needs about this time to retry at all.
	minTypicalLatency = 100 * time.Millisecond
)

// retryAfter returns the time after which a refused request should be retried. The ID of a request
// spreads the retries of one instance evenly.
func (p *Pool) retryAfter(id uint64) time.Duration {
	factor := minRetryFactor + (maxRetryFactor-minRetryFactor)*mix.Unit(mix.Combine(id, p.salt))
	return time.Duration(factor * float64(max(p.typicalLatency, minTypicalLatency)))
}

// Release ends an attempt on the target with the given ID and returns the grants and refusals that
// follow for queued requests.
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
	cause := r.Outcome
	if r.Silent {
		cause = TimedOut
	}
	p.recordEvent(t, before, cause)
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

// MaySend reports whether a request may still be sent to the target that it was granted. After the
// grant a connection has to be opened. Meanwhile the target may have become unavailable, or the
// permit may have expired.
func (p *Pool) MaySend(now time.Time, id string, sent SendState) bool {
	t := p.byID[id]
	if t == nil || !t.state.Available(now) {
		return false
	}
	return t.rateLimit == nil || now.Before(sent.PermitExpiry)
}

// ApplyDepartures records the targets that announced to any instance that they leave. It returns
// the IDs of the targets in the pool that were not known to be leaving.
func (p *Pool) ApplyDepartures(now time.Time, departures availability.DepartureList, source availability.Source) []string {
	p.departures.Expire(now)
	p.departures.Merge(now, departures)
	var newlyLeaving []string
	for _, d := range departures {
		t := p.byHash[d.ID]
		if t == nil {
			continue
		}
		before := t.eventState()
		if t.state.SetLeaving(now.Add(-d.Age), source) {
			newlyLeaving = append(newlyLeaving, t.spec.ID)
			p.recordEvent(t, before, Answered)
			p.count(t)
		}
	}
	return newlyLeaving
}

// EndSuspicions ends the suspicions of all targets, and returns the grants that follow. It is called
// when the links of this instance, which made the targets appear to be down, work again.
func (p *Pool) EndSuspicions(now time.Time) []Grant {
	for _, t := range p.activeTargets {
		p.endSuspicion(t)
	}
	return p.dispatch(now)
}

// endSuspicion ends the suspicion of a target, if there is one.
func (p *Pool) endSuspicion(t *target) {
	if t.stats.suspectBackoff == 0 && t.stats.failures+t.stats.silences == 0 {
		return
	}
	before := t.eventState()
	t.endSuspicion()
	p.recordEvent(t, before, Answered)
	p.count(t)
}

// observeLatency updates the cache model and the target's slowness from the latency of a response.
func (p *Pool) observeLatency(t *target, r Result) {
	if r.Outcome != Answered {
		return
	}
	factor := p.cacheModel.observe(r.SendState, r.Latency)
	if factor > 0 {
		t.stats.slow.observe(factor)
	}
}

// typicalLatencyWeight is the weight of a new response in the typical latency.
const typicalLatencyWeight = 0.02

func (p *Pool) updateTypicalLatency(latency time.Duration) {
	p.typicalLatency += time.Duration(typicalLatencyWeight * float64(latency-p.typicalLatency))
}

// Cancel removes a request from the queue. It reports whether the request was queued.
func (p *Pool) Cancel(id uint64) bool { return p.queue.remove(id) }

// Tick returns the grants and refusals that are due because time has passed. It must be called
// regularly while Waiting is not 0.
func (p *Pool) Tick(now time.Time) []Grant {
	p.tickPermits(now)
	return p.dispatch(now)
}

// Waiting returns the number of queued requests.
func (p *Pool) Waiting() int { return len(p.queue.waiting) }

// dispatch grants targets to queued requests, the most urgent first, and refuses the requests whose
// queue timeout has expired or that would miss their deadline.
func (p *Pool) dispatch(now time.Time) []Grant {
	p.endHold(now)
	var grants []Grant
	waiting := p.queue.waiting[:0]
	for _, r := range p.queue.waiting {
		c := p.choose(now, &r)
		switch {
		case c.found:
			grants = append(grants, Grant{ID: r.ID, Decision: p.send(now, &r, c)})
		case now.Sub(r.arrivedAt) >= r.QueueTimeout || now.Add(p.typicalLatency).After(r.Deadline):
			grants = append(grants, Grant{ID: r.ID, Decision: p.refuse(now, &r, c.reason)})
		default:
			waiting = append(waiting, r)
		}
	}
	p.queue.waiting = waiting
	return grants
}
