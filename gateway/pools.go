package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/ratelimit"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/table"
	"github.com/rainford/rainford/upstream"
)

// tickEvery is how often requests that wait are looked at without an event.
const tickEvery = 20 * time.Millisecond

// shiftStepShare is the part of the bound on shifts that the shares between
// regions use. The rest is for the draw by key, which follows shares roughly.
const shiftStepShare = 0.6

// pools holds the targets of each service. It is safe for concurrent use.
type pools struct {
	config Config
	// departed returns the targets that are known to have said themselves that they leave.
	departed func(now time.Time) availability.DepartureList
	// limits returns the limits that targets have named.
	limits func(now time.Time) availability.LimitList
	// ask sends questions for permits of targets' limits, and is told the owners that do not
	// answer.
	ask func(asks []ratelimit.Ask, silent []string)

	mu       sync.RWMutex
	pools    map[string]*pool
	services map[string]catalog.Service
	// homeShares are the parts of all requests that regions have to run.
	homeShares map[string]float64
	members    map[string][]string
	count      int
	// plan is the operators' table, nil if there is none.
	plan *table.Plan
	// owners are those of targets' limits, nil before any are known.
	owners *ratelimit.Owners
}

func newPools(config Config, departed func(time.Time) availability.DepartureList, limits func(time.Time) availability.LimitList,
	ask func([]ratelimit.Ask, []string)) *pools {
	return &pools{config: config, departed: departed, limits: limits, ask: ask, pools: make(map[string]*pool), count: 1}
}

// get returns the pool of a service, or nil if it never had a target.
func (ps *pools) get(service string) *pool {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return ps.pools[service]
}

func (ps *pools) setTargets(now time.Time, specs map[string]catalog.Target, evacuated map[string]bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	byService := make(map[string][]catalog.Target)
	for _, spec := range specs {
		spec.Drained = ps.drained(spec)
		byService[spec.Service] = append(byService[spec.Service], spec)
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

// changeTargets takes in changed targets and the IDs of those that are gone.
func (ps *pools) changeTargets(now time.Time, changed []catalog.Target, gone []string, evacuated map[string]bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	byService := make(map[string][]catalog.Target)
	for _, spec := range changed {
		spec.Drained = ps.drained(spec)
		byService[spec.Service] = append(byService[spec.Service], spec)
		if ps.pools[spec.Service] == nil {
			ps.pools[spec.Service] = ps.newPool(spec.Service)
		}
	}
	for service, p := range ps.pools {
		p.update(func(u *upstream.Pool) []upstream.Grant {
			return u.ChangeTargets(now, byService[service], gone, evacuated)
		})
	}
}

// drained tells whether the operators' table drains a target, its hall or its
// region. The caller holds mu.
func (ps *pools) drained(spec catalog.Target) bool {
	if ps.plan == nil {
		return false
	}
	return ps.plan.TargetDrained(spec.Name) || ps.plan.HallDrained(spec.Hall) ||
		ps.plan.RegionDrained(ps.config.RegionOf[spec.Hall])
}

// setPlan takes in the operators' table. setTargets has to follow.
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
		Service:     service,
		Self:        ps.config.Name,
		Hall:        ps.config.Hall,
		Region:      ps.config.Region,
		RegionOf:    ps.config.RegionOf,
		ShiftStep:   shiftStepShare * ps.config.ShiftMost,
		ShiftWindow: shiftWindow,
	})
	p := &pool{upstream: u, tokens: retry.NewTokens(ps.config.RetryRatio), waits: make(map[uint64]chan upstream.Decision), ask: ps.ask, log: ps.config.Log, clock: ps.config.Clock}
	u.SetService(ps.services[service])
	u.SetMembers(ps.members)
	u.SetHomeShares(ps.homeShares)
	if ps.plan != nil {
		u.SetRows(ps.plan.Rows(service, ps.config.Region))
	}
	now := ps.config.Clock.Now()
	u.HearDepartures(now, ps.departed(now), availability.SourcePeer)
	u.HearLimits(now, ps.limits(now), availability.SourcePeer)
	if ps.owners != nil {
		u.SetLimitOwners(ps.owners)
	}
	p.tokens.Share(ps.config.RetrySlack, ps.count)
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

// setHomeShares takes in the parts of all requests that regions have to run because they
// are accounts' homes.
func (ps *pools) setHomeShares(shares map[string]float64) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.homeShares = shares
	for _, p := range ps.pools {
		p.update(func(u *upstream.Pool) []upstream.Grant {
			u.SetHomeShares(shares)
			return nil
		})
	}
}

// setMembers takes in the names of the instances in each hall, and how many
// instances there are in all.
func (ps *pools) setMembers(members map[string][]string, count int) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.members, ps.count = members, count
	for _, p := range ps.pools {
		p.update(func(u *upstream.Pool) []upstream.Grant {
			u.SetMembers(members)
			p.tokens.Share(ps.config.RetrySlack, count)
			return nil
		})
	}
}

// sightings returns the loads of busy targets of all services.
func (ps *pools) sightings(now time.Time) upstream.Sightings {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	var out upstream.Sightings
	for _, p := range ps.pools {
		out = append(out, p.sightings(now)...)
	}
	return out
}

// hearDepartures takes in that targets said that they leave, and returns the IDs of those of
// which it was not known.
func (ps *pools) hearDepartures(now time.Time, departures availability.DepartureList, source availability.Source) []string {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	var fresh []string
	for _, p := range ps.pools {
		fresh = append(fresh, p.hearDepartures(now, departures, source)...)
	}
	return fresh
}

// hearLimits takes in the limits that targets have named, and returns the IDs of those whose limits
// changed.
func (ps *pools) hearLimits(now time.Time, limits availability.LimitList, source availability.Source) []string {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	var changed []string
	for _, p := range ps.pools {
		p.update(func(u *upstream.Pool) []upstream.Grant {
			ids, grants := u.HearLimits(now, limits, source)
			changed = append(changed, ids...)
			return grants
		})
	}
	return changed
}

// setLimitOwners takes in who issues the permits of targets' limits.
func (ps *pools) setLimitOwners(owners *ratelimit.Owners) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.owners = owners
	for _, p := range ps.pools {
		p.update(func(u *upstream.Pool) []upstream.Grant {
			u.SetLimitOwners(owners)
			return nil
		})
	}
}

// hearPermits takes in the answer of an owner to a question for permits that was asked at a time.
func (ps *pools) hearPermits(now, askedAt time.Time, m *peer.PermitIssue) {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	for _, p := range ps.pools {
		p.update(func(u *upstream.Pool) []upstream.Grant {
			return u.HearPermits(now, askedAt, m.Account, m.From, m.Issue)
		})
	}
}

// ownerUnreachable takes in that no connection to an instance could be had.
func (ps *pools) ownerUnreachable(now time.Time, owner string) {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	for _, p := range ps.pools {
		p.update(func(u *upstream.Pool) []upstream.Grant {
			u.OwnerUnreachable(now, owner)
			return nil
		})
	}
}

// forgetPermits drops what is known of permits that nobody asks for.
func (ps *pools) forgetPermits(now time.Time) {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	for _, p := range ps.pools {
		p.update(func(u *upstream.Pool) []upstream.Grant {
			u.ForgetPermits(now)
			return nil
		})
	}
}

// hear takes in the loads of targets that another instance has told of.
func (ps *pools) hear(now time.Time, seen upstream.Sightings) {
	if len(seen) == 0 {
		return
	}
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	for _, p := range ps.pools {
		p.hear(now, seen)
	}
}

// pool is the targets of one service, with the requests that wait for them.
type pool struct {
	mu       sync.Mutex
	upstream *upstream.Pool
	tokens   *retry.Tokens
	waits    map[uint64]chan upstream.Decision
	lastID   uint64
	ticking  bool
	ask      func(asks []ratelimit.Ask, silent []string)
	log      *slog.Logger
	clock    *clock.Clock
}

// update changes the pool and wakes the requests that this grants.
func (p *pool) update(change func(*upstream.Pool) []upstream.Grant) {
	p.mu.Lock()
	defer p.unlock()
	p.wake(change(p.upstream))
	p.tell()
}

// unlock releases mu and sends the questions for permits that came up meanwhile.
func (p *pool) unlock() {
	asks, silent := p.upstream.TakeAsks(), p.upstream.TakeSilent()
	if p.upstream.AwaitsOwners() {
		p.tick()
	}
	p.mu.Unlock()
	if len(asks)+len(silent) > 0 {
		p.ask(asks, silent)
	}
}

// maxBeliefLines is the number of changes in the beliefs on targets that one cause brings
// and that are told in a line each. New targets and halls that are taken back bring
// hundreds at a time, at every instance.
const maxBeliefLines = 4

// tell logs what has changed in the beliefs on targets. The log never blocks.
func (p *pool) tell() {
	events := p.upstream.TakeEvents()
	if len(events) > maxBeliefLines {
		p.tellMany(events)
		return
	}
	for _, e := range events {
		attrs := []slog.Attr{slog.String("target", e.Target), slog.String("belief", string(e.Kind)),
			slog.String("cause", e.Cause.String()), slog.Int("in_flight", e.InFlight), slog.Int("failures", e.Failures)}
		if !e.Until.IsZero() {
			attrs = append(attrs, slog.Int64("for_ms", p.clock.Until(e.Until).Milliseconds()))
		}
		p.log.LogAttrs(context.Background(), p.beliefLevel(e), logTargetBelief, attrs...)
	}
}

// tellMany logs many changes in one line: how many there are of each kind.
func (p *pool) tellMany(events []upstream.Event) {
	counts := make(map[upstream.EventKind]int)
	level := slog.LevelInfo
	for _, e := range events {
		counts[e.Kind]++
		level = max(level, p.beliefLevel(e))
	}
	p.log.LogAttrs(context.Background(), level, logTargetBeliefs, slog.Int("changes", len(events)), slog.Any("beliefs", counts))
}

// longRest is the rest from which on operators should look: a target that is only full asks for
// seconds.
const longRest = time.Minute

func (p *pool) beliefLevel(e upstream.Event) slog.Level {
	switch e.Kind {
	case upstream.Suspected, upstream.Taken:
		return slog.LevelWarn
	case upstream.Resting:
		if p.clock.Until(e.Until) > longRest {
			return slog.LevelWarn
		}
	}
	return slog.LevelInfo
}

func (p *pool) wake(grants []upstream.Grant) {
	for _, grant := range grants {
		wait := p.waits[grant.ID]
		if wait != nil {
			delete(p.waits, grant.ID)
			wait <- grant.Decision
		}
	}
}

// acquire returns a target for the request, or a refusal. It waits in the queue
// if it must.
func (p *pool) acquire(ctx context.Context, r upstream.Request) upstream.Decision {
	p.mu.Lock()
	p.lastID++
	r.ID = p.lastID
	decision := p.upstream.Acquire(p.clock.Now(), r)
	if decision.Verdict != upstream.Wait {
		p.unlock()
		return decision
	}
	wait := make(chan upstream.Decision, 1)
	p.waits[r.ID] = wait
	p.tick()
	p.unlock()
	select {
	case decision = <-wait:
		return decision
	case <-ctx.Done():
		return p.abandon(r.ID, wait)
	}
}

// abandon ends the wait of a request whose client has left.
func (p *pool) abandon(id uint64, wait chan upstream.Decision) upstream.Decision {
	p.mu.Lock()
	defer p.unlock()
	delete(p.waits, id)
	p.upstream.Cancel(id)
	select {
	case granted := <-wait:
		if granted.Verdict == upstream.Send {
			p.wake(p.upstream.Release(p.clock.Now(), granted.Target.ID, notSent(granted)))
		}
	default:
	}
	return upstream.Decision{Verdict: upstream.Refuse, Reason: upstream.ReasonLate}
}

// tick looks at the queue again and again while there is one. The caller holds
// mu.
func (p *pool) tick() {
	if p.ticking {
		return
	}
	p.ticking = true
	time.AfterFunc(tickEvery, p.onTick)
}

func (p *pool) onTick() {
	p.mu.Lock()
	defer p.unlock()
	p.ticking = false
	p.wake(p.upstream.Tick(p.clock.Now()))
	if p.upstream.Waiting() > 0 {
		p.tick()
	}
}

// notSent is the result of a decision that nothing was sent by.
func notSent(d upstream.Decision) upstream.Result {
	return upstream.Result{Outcome: upstream.Abandoned, NotSent: true, Sent: d.Sent}
}

// unsent ends a decision that nothing was sent by.
func (p *pool) unsent(d upstream.Decision) { p.release(d.Target.ID, notSent(d)) }

func (p *pool) release(target string, r upstream.Result) {
	p.mu.Lock()
	defer p.unlock()
	p.wake(p.upstream.Release(p.clock.Now(), target, r))
	p.tell()
}

// may tells whether a request that was granted a target may still be sent there.
func (p *pool) may(d upstream.Decision) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstream.May(p.clock.Now(), d.Target.ID, d.Sent)
}

// away returns the refusal of a request if none of its targets may be sent to for a while.
func (p *pool) away(r upstream.Request) (upstream.Decision, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstream.Away(p.clock.Now(), r)
}

func (p *pool) hearDepartures(now time.Time, departures availability.DepartureList, source availability.Source) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.tell()
	return p.upstream.HearDepartures(now, departures, source)
}

func (p *pool) sightings(now time.Time) upstream.Sightings {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstream.Sightings(now)
}

func (p *pool) hear(now time.Time, seen upstream.Sightings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstream.Hear(now, seen)
	p.tell()
}

// arrived counts a request of a client for the budget of repeats.
func (p *pool) arrived() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens.Request()
}

// spend takes a repeat from the budget.
func (p *pool) spend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tokens.Spend()
}
