package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/ratelimit"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/rollout"
	"github.com/rainford/rainford/table"
	"github.com/rainford/rainford/upstream"
)

// shiftStepFraction is the fraction of the bound on traffic shifts that changes of the regions'
// shares may use. The rest is reserved for the assignment of requests by key, which follows the
// shares only roughly.
const shiftStepFraction = 0.6

// pools holds the targets of all services. It is safe for concurrent use.
type pools struct {
	config Config
	// knownDepartures returns the targets that are known to have announced that they leave.
	knownDepartures func(now time.Time) availability.DepartureList
	// knownLimits returns the rate limits that targets have announced.
	knownLimits func(now time.Time) availability.RateLimitList
	// requestPermits sends permit requests for targets' rate limits, and receives the names of
	// owners that do not reply.
	requestPermits func(requests []ratelimit.PermitRequest, unresponsive []string)

	mu       sync.RWMutex
	pools    map[string]*pool
	services map[string]catalog.Service
	// homeShares holds, by region, the fraction of all requests that the region has to serve as the
	// home region of accounts.
	homeShares      map[string]float64
	instancesByHall map[string][]string
	// unreachable holds the halls to which this instance has lost its links.
	unreachable   map[string]bool
	instanceCount int
	// plan is the compiled routing table of the operators, nil if there is none.
	plan *table.Plan
	// owners are the owners of targets' rate limits, nil until they are known.
	owners *ratelimit.Owners
	// splits holds the latest traffic split of each service between versions. It is kept for
	// services whose targets become known later.
	splits map[string]versionSplit
}

// versionSplit is the traffic split of a service between its old and new version, and the time
// until which it is valid.
type versionSplit struct {
	rollout *serviceRollout
	split   rollout.Split
	until   time.Time
}

func newPools(config Config, knownDepartures func(time.Time) availability.DepartureList, limits func(time.Time) availability.RateLimitList,
	ask func([]ratelimit.PermitRequest, []string)) *pools {
	return &pools{config: config, knownDepartures: knownDepartures, knownLimits: limits, requestPermits: ask, pools: make(map[string]*pool),
		instanceCount: 1, splits: make(map[string]versionSplit)}
}

// get returns the pool of a service, or nil if the service never had a target.
func (ps *pools) get(service string) *pool {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return ps.pools[service]
}

func (ps *pools) setTargets(now time.Time, specs map[string]*catalog.Target, evacuated map[string]bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	byService := make(map[string][]*catalog.Target)
	for _, spec := range specs {
		byService[spec.Service] = append(byService[spec.Service], ps.withTableDrains(spec))
	}
	for service := range byService {
		if ps.pools[service] == nil {
			ps.pools[service] = ps.newPool(service)
		}
	}
	for service, p := range ps.pools {
		p.update(func(u *upstream.Pool) []upstream.Grant {
			return u.SetTargets(now, byService[service], evacuated)
		})
	}
}

// changeTargets applies changed targets and the IDs of removed ones. A changed target is removed from the
// pools of all other services, to one of which it may have belonged.
func (ps *pools) changeTargets(now time.Time, changed []*catalog.Target, removed []string, evacuated map[string]bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	byService := make(map[string][]*catalog.Target)
	for _, spec := range changed {
		byService[spec.Service] = append(byService[spec.Service], ps.withTableDrains(spec))
		if ps.pools[spec.Service] == nil {
			ps.pools[spec.Service] = ps.newPool(spec.Service)
		}
	}
	for service, p := range ps.pools {
		gone := slices.Clone(removed)
		for _, spec := range changed {
			if spec.Service != service {
				gone = append(gone, spec.ID)
			}
		}
		p.update(func(u *upstream.Pool) []upstream.Grant {
			return u.ChangeTargets(now, byService[service], gone, evacuated)
		})
	}
}

// withTableDrains returns the spec of a target, marked as drained if the operators' table drains
// it. The caller holds mu.
func (ps *pools) withTableDrains(spec *catalog.Target) *catalog.Target {
	if !ps.isDrained(spec) {
		return spec
	}
	drained := *spec
	drained.Drained = true
	return &drained
}

// isDrained reports whether the operators' table drains the target, its hall or its region. The
// caller holds mu.
func (ps *pools) isDrained(spec *catalog.Target) bool {
	if ps.plan == nil {
		return false
	}
	return ps.plan.TargetDrained(spec.Name) || ps.plan.HallDrained(spec.Hall) ||
		ps.plan.RegionDrained(ps.config.RegionOf[spec.Hall])
}

// setPlan sets the operators' table. The caller must call setTargets afterwards, which applies the
// drains.
func (ps *pools) setPlan(plan *table.Plan) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.plan = plan
	for service, p := range ps.pools {
		p.update(func(u *upstream.Pool) []upstream.Grant {
			u.SetRows(plan.Rows(service, ps.config.Region))
			return nil
		})
	}
}

func (ps *pools) newPool(service string) *pool {
	u := upstream.NewPool(upstream.Config{
		Service:         service,
		Self:            ps.config.Name,
		Hall:            ps.config.Hall,
		Region:          ps.config.Region,
		RegionOf:        ps.config.RegionOf,
		HoldNewVersions: ps.config.rolloutsEnabled(),
		ShiftStep:       shiftStepFraction * ps.config.ShiftMost,
		ShiftWindow:     shiftWindow,
	})
	p := &pool{upstream: u, retryBudget: retry.NewTokenBucket(ps.config.RetryRatio), waiting: make(map[uint64]chan upstream.Decision), requestPermits: ps.requestPermits, log: ps.config.Log, clock: ps.config.Clock}
	u.SetService(ps.services[service])
	u.SetMembers(ps.instancesByHall)
	u.SetHomeShares(ps.homeShares)
	if ps.plan != nil {
		u.SetRows(ps.plan.Rows(service, ps.config.Region))
	}
	now := ps.config.Clock.Now()
	u.ApplyDepartures(now, ps.knownDepartures(now), availability.SourcePeer)
	u.ApplyRateLimits(now, ps.knownLimits(now), availability.SourcePeer)
	if ps.owners != nil {
		u.SetLimitOwners(ps.owners)
	}
	u.SetUnreachableHalls(now, ps.unreachable)
	p.retryBudget.SetCapacity(ps.config.RetrySlack, ps.instanceCount)
	if s, ok := ps.splits[service]; ok {
		p.rollout.Store(s.rollout)
		u.SetSplit(now, s.split, s.until)
	}
	return p
}

func (ps *pools) setServices(services map[string]catalog.Service) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.services = services
	for name, p := range ps.pools {
		if service, ok := services[name]; ok {
			p.update(func(u *upstream.Pool) []upstream.Grant {
				u.SetService(service)
				return nil
			})
		}
	}
}

// setHomeShares sets, by region, the fraction of all requests that the region has to serve as the
// home region of accounts.
func (ps *pools) setHomeShares(shares map[string]float64) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.homeShares = shares
	ps.updateAll(func(u *upstream.Pool) []upstream.Grant {
		u.SetHomeShares(shares)
		return nil
	})
}

// setInstances sets the names of the instances in each hall and the number of all instances.
func (ps *pools) setInstances(instances map[string][]string, count int) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.instancesByHall, ps.instanceCount = instances, count
	for _, p := range ps.pools {
		p.update(func(u *upstream.Pool) []upstream.Grant {
			u.SetMembers(instances)
			p.retryBudget.SetCapacity(ps.config.RetrySlack, count)
			return nil
		})
	}
}

// targetReports returns the reports on targets of all services for gossip. ProvenIn returns the latest time
// at which this instance is known to have reached a target of a hall.
func (ps *pools) targetReports(now time.Time, provenIn func(hall string) time.Time) upstream.TargetReports {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	var out upstream.TargetReports
	for _, p := range ps.pools {
		out = append(out, p.targetReports(now, provenIn)...)
	}
	return out
}

// applyDepartures records targets that have announced that they leave, and returns the IDs of those
// for which this is new.
func (ps *pools) applyDepartures(now time.Time, departures availability.DepartureList, source availability.Source) []string {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	var changed []string
	for _, p := range ps.pools {
		changed = append(changed, p.applyDepartures(now, departures, source)...)
	}
	return changed
}

// applyRateLimits applies the limits that targets have announced, and returns the IDs of the
// targets whose limits have changed.
func (ps *pools) applyRateLimits(now time.Time, limits availability.RateLimitList, source availability.Source) []string {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	var changed []string
	ps.updateAll(func(u *upstream.Pool) []upstream.Grant {
		ids, grants := u.ApplyRateLimits(now, limits, source)
		changed = append(changed, ids...)
		return grants
	})
	return changed
}

// updateAll changes the pools of all services. The caller holds mu.
func (ps *pools) updateAll(change func(*upstream.Pool) []upstream.Grant) {
	for _, p := range ps.pools {
		p.update(change)
	}
}

// setLimitOwners sets the owners of targets' rate limits.
func (ps *pools) setLimitOwners(owners *ratelimit.Owners) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.owners = owners
	ps.updateAll(func(u *upstream.Pool) []upstream.Grant {
		u.SetLimitOwners(owners)
		return nil
	})
}

// receivePermits handles an owner's reply to a permit request that was sent at askedAt.
func (ps *pools) receivePermits(now, askedAt time.Time, m *peer.PermitGrant) {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	ps.updateAll(func(u *upstream.Pool) []upstream.Grant {
		return u.ReceivePermits(now, askedAt, m.Account, m.From, m.Grant)
	})
}

// ownerUnreachable records that connecting to an instance has failed.
func (ps *pools) ownerUnreachable(now time.Time, owner string) {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	ps.updateAll(func(u *upstream.Pool) []upstream.Grant {
		u.OwnerUnreachable(now, owner)
		return nil
	})
}

// setSplit sets the traffic split of a service between its versions, and the time until which it is
// valid.
func (ps *pools) setSplit(now time.Time, r *serviceRollout, split rollout.Split, until time.Time) {
	service := r.order().Service
	ps.mu.Lock()
	ps.splits[service] = versionSplit{rollout: r, split: split, until: until}
	p := ps.pools[service]
	ps.mu.Unlock()
	if p == nil {
		return
	}
	p.rollout.Store(r)
	p.update(func(u *upstream.Pool) []upstream.Grant { return u.SetSplit(now, split, until) })
}

// versionStats returns statistics on a service's targets of both versions. They are zero for an
// unknown service.
func (ps *pools) versionStats(now time.Time, service string) upstream.VersionStats {
	p := ps.get(service)
	if p == nil {
		return upstream.VersionStats{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstream.VersionStats(now)
}

// evictIdle evicts permits that are not requested any more, and the state of idle targets.
func (ps *pools) evictIdle(now time.Time) {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	ps.updateAll(func(u *upstream.Pool) []upstream.Grant {
		u.Expire(now)
		return nil
	})
}

// endSuspicions ends the suspicions of all targets.
func (ps *pools) endSuspicions(now time.Time) {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	ps.updateAll(func(u *upstream.Pool) []upstream.Grant { return u.EndSuspicions(now) })
}

// setUnreachableHalls sets the halls to which this instance has lost its links.
func (ps *pools) setUnreachableHalls(now time.Time, halls map[string]bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.unreachable = halls
	ps.updateAll(func(u *upstream.Pool) []upstream.Grant { return u.SetUnreachableHalls(now, halls) })
}

// endSuspicionsIn ends the suspicions of the targets of a hall that began at the given time or later.
func (ps *pools) endSuspicionsIn(now time.Time, hall string, since time.Time) {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	ps.updateAll(func(u *upstream.Pool) []upstream.Grant { return u.EndSuspicionsIn(now, hall, since) })
}

// applyTargetReports applies the target reports of another instance.
func (ps *pools) applyTargetReports(now time.Time, reports upstream.TargetReports) {
	if len(reports) == 0 {
		return
	}
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	for _, p := range ps.pools {
		p.applyTargetReports(now, reports)
	}
}
