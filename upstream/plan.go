package upstream

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rainford/rainford/internal/mix"
	"github.com/rainford/rainford/locality"
)

// calibrateInterval is the time between two fits of the shares to the keys seen. All keys of
// a small site are seen within a few seconds.
const calibrateInterval = time.Second

// planTTL is how long shares that are still moving are used.
const planTTL = 100 * time.Millisecond

// plan is the division of requests between regions for one set of home regions.
type plan struct {
	ramp  locality.Ramp
	slots map[string]float64
	// keyShares are the wanted keyShares of the keys, and want the shares of the hashes that
	// give them.
	keyShares    []locality.Share
	wantedShares []locality.Share
	shares       []locality.Share
	// regions are all regions with slots, in an order of the own region's.
	regions   []string
	updatedAt time.Time
	settled   bool
	stale     bool
	// points are the keys of the plan's requests, and calibratedAt is when want was
	// last fitted to them.
	points       locality.Points
	calibratedAt time.Time
}

// invalidatePlans has the plans computed anew with the next request.
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
		pl = &plan{ramp: locality.Ramp{Step: p.config.ShiftStep, Window: p.config.ShiftWindow}, stale: true}
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

// calibrate fits the shares of the hashes to the keys seen, so that each region gets its
// part of them.
func (p *Pool) calibrate(now time.Time, pl *plan) {
	fitted := locality.Calibrate(p.config.Region, pl.keyShares, pl.points.Sorted(now))
	pl.settled = pl.settled && slices.Equal(fitted, pl.wantedShares)
	pl.wantedShares, pl.calibratedAt = fitted, now
}

// compute finds the parts to be wanted: the operators' rows, or else what
// follows from the slots.
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
	sort.Slice(pl.regions, func(i, j int) bool {
		return mix.Pair(pl.regions[i], p.config.Region) < mix.Pair(pl.regions[j], p.config.Region)
	})
}

const (
	// homeWorkFactor is the work of a request that has to run in a region, over that of one that
	// may run anywhere: its object is seldom asked for there, and mostly cold.
	homeWorkFactor = 2.0
	// minFreePart is the part of a region's slots that are free whatever has to run there.
	minFreePart = 0.02
)

// freeSlots returns the slots of each region that are left for requests that may run
// anywhere, when those that have to run there are served.
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
		free[region] = max(minFreePart*n, n-total*homeWorkFactor*p.homeShares[region]/work)
	}
	return free
}

// drawRegion returns the region of the request.
func (p *Pool) drawRegion(pl *plan, r *Request) string {
	return locality.Draw(p.config.Region, pl.shares, r.keyPoint)
}

// regionSlots returns the slots of each region whose targets are meant to serve:
// suspicions, rests and coldness pass, so that they do not move shares. Targets that name a
// limit count for what that lets them use. Of two versions of a service the one that runs most
// requests counts.
func (p *Pool) regionSlots(r *Request) map[string]float64 {
	slots := make(map[string]float64, len(p.sortedRegions))
	most := p.majorityCohort()
	for _, in := range p.sortedRegions {
		counts := in.serving[most]
		if counts.targets > 0 && r.allows(in.name) {
			slots[in.name] = counts.slots
		}
	}
	for _, t := range p.limitedTargets {
		if t.placement.serving && t.cohort == most && r.allows(t.region.name) {
			slots[t.region.name] -= t.placement.slots - t.capacity(p.typicalLatency)
		}
	}
	return slots
}
