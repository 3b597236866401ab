package upstream

import (
	"cmp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rainford/rainford/internal/mix"
	"github.com/rainford/rainford/locality"
)

// calibrateInterval is the interval at which shares are fitted to the observed keys. At a small
// site all keys are observed within a few seconds.
const calibrateInterval = time.Second

// planTTL is how long shares that are still moving are used before they are updated.
const planTTL = 100 * time.Millisecond

// plan is the division of requests between regions for one set of home regions.
type plan struct {
	homeRegions []string
	ramp        locality.Ramp
	slots       map[string]float64
	// keyShares are the wanted shares of the keys. wantedShares are the shares of the hash space
	// that result in keyShares, and shares are those in force.
	keyShares    []locality.Share
	wantedShares []locality.Share
	shares       []locality.Share
	// regions lists all regions with slots, ordered by name.
	regions   []string
	updatedAt time.Time
	settled   bool
	stale     bool
	// points holds the hashes of the observed keys. calibratedAt is when wantedShares were last
	// fitted to them, and calibratedKeys their number then.
	points         locality.Points
	calibratedAt   time.Time
	calibratedKeys int
	reported       reportedShares
}

// invalidatePlans makes the next request compute its plan again.
func (p *Pool) invalidatePlans() {
	for _, pl := range p.plans {
		pl.stale = true
	}
}

// planFor returns the plan for the request's home regions.
func (p *Pool) planFor(now time.Time, r *Request) *plan {
	key := ""
	if len(r.Regions) > 0 {
		key = strings.Join(r.Regions, ",")
	}
	pl := p.plans[key]
	if pl == nil {
		pl = &plan{homeRegions: slices.Clone(r.Regions), ramp: locality.Ramp{Step: p.config.ShiftStep, Window: p.config.ShiftWindow}, stale: true}
		p.plans[key] = pl
	}
	if pl.stale {
		p.compute(pl, r)
	}
	if pl.stale || now.Sub(pl.calibratedAt) >= calibrateInterval {
		p.calibrate(now, pl)
	}
	if pl.stale || (!pl.settled && now.Sub(pl.updatedAt) >= planTTL) {
		pl.shares = pl.ramp.Advance(now, pl.wantedShares, pl.slots)
		pl.settled = pl.ramp.Settled(pl.wantedShares)
		pl.updatedAt, pl.stale = now, false
	}
	return pl
}

// calibrate fits the shares of the hash space to the observed keys, so that each region gets its
// share of the keys.
func (p *Pool) calibrate(now time.Time, pl *plan) {
	points := pl.points.Sorted(now)
	fitted := locality.Calibrate(p.config.Region, pl.keyShares, points)
	pl.calibratedKeys = len(points)
	pl.settled = pl.settled && slices.Equal(fitted, pl.wantedShares)
	pl.wantedShares, pl.calibratedAt = fitted, now
}

// compute determines the wanted shares of the keys from the operators' routing rows, or from the
// slots if no row applies.
func (p *Pool) compute(pl *plan, r *Request) {
	pl.slots = p.regionSlots(r)
	pl.keyShares = locality.FromRows(p.config.Service, p.config.Region, p.rows, pl.slots)
	if len(pl.keyShares) == 0 {
		pl.keyShares = locality.FromSlots(p.config.Region, p.freeSlots(r, pl.slots), p.regionCount)
	}
	pl.regions = pl.regions[:0]
	for region := range pl.slots {
		pl.regions = append(pl.regions, region)
	}
	sort.Strings(pl.regions)
}

// substitutes returns the regions other than the one drawn for a key, in the order in which they are to
// replace it (rendezvous hashing weighted by slots).
func (pl *plan) substitutes(key, drawn string) []string {
	out := make([]string, 0, len(pl.regions))
	score := make(map[string]float64, len(pl.regions))
	for _, region := range pl.regions {
		if region != drawn {
			score[region] = mix.RendezvousScore(mix.Pair(key, region), max(pl.slots[region], 1))
			out = append(out, region)
		}
	}
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(score[b], score[a]) })
	return out
}

const (
	// homeWorkFactor is the work of a request that has to run in its home region relative to one
	// that may run anywhere. The object of a home-bound request is seldom requested in that region,
	// and therefore mostly not cached.
	homeWorkFactor = 2.0
	// minFreeFraction is the fraction of a region's slots that counts as free regardless of the
	// home-bound requests.
	minFreeFraction = 0.02
)

// freeSlots returns for each region the slots that home-bound requests leave to requests that may
// run anywhere.
func (p *Pool) freeSlots(r *Request, slots map[string]float64) map[string]float64 {
	if len(r.Regions) > 0 || len(p.homeShares) == 0 {
		return slots
	}
	total, bound := 0.0, 0.0
	for region, n := range slots {
		total += n
		bound += p.homeShares[region]
	}
	work := 1 - bound + homeWorkFactor*bound
	free := make(map[string]float64, len(slots))
	for region, n := range slots {
		free[region] = max(minFreeFraction*n, n-total*homeWorkFactor*p.homeShares[region]/work)
	}
	return free
}

// drawRegion returns the region for the request's key.
func (p *Pool) drawRegion(pl *plan, r *Request) string {
	return locality.Draw(p.config.Region, pl.shares, r.keyPoint)
}

// regionSlots returns the slots of the targets in service by region. Suspicions, back-offs and cold
// targets are temporary and do not change the shares. Targets in unreachable halls do not count. A
// target with a rate limit counts only for the slots that it can use under the limit. During a
// rollout only the cohort that runs most requests counts.
func (p *Pool) regionSlots(r *Request) map[string]float64 {
	slots := make(map[string]float64, len(p.sortedRegions))
	majority := p.majorityCohort()
	for _, region := range p.sortedRegions {
		counts := region.serving[majority]
		if counts.targets > 0 && r.allows(region.name) {
			slots[region.name] = counts.slots
		}
	}
	p.subtractUnreachable(slots, majority)
	for _, t := range p.limitedTargets {
		if t.placement.serving && t.cohort == majority && !t.state.Unreachable() && r.allows(t.region.name) {
			slots[t.region.name] -= t.placement.slots - t.capacity(p.typicalLatency)
		}
	}
	return slots
}

// subtractUnreachable subtracts the slots of targets in halls to which this instance has lost its links, so
// that the keys of a region follow, by bounded steps, the targets that are left. A region without any
// keeps its slots: its requests are divided over the others.
func (p *Pool) subtractUnreachable(slots map[string]float64, majority cohort) {
	if len(p.unreachable) == 0 {
		return
	}
	lost := make(map[string]float64)
	for _, t := range p.byID {
		if t.state.Unreachable() && t.placement.serving && t.cohort == majority {
			lost[t.region.name] += t.placement.slots
		}
	}
	for region, n := range lost {
		if n < slots[region] {
			slots[region] -= n
		}
	}
}
