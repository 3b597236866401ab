package gateway

import (
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/ratelimit"
)

const (
	// minTargetLimit is the smallest rate that is issued for a target, in requests per second, even
	// if the target announces a lower limit. During a partition partitionedShare of it is issued.
	// Without an occasional request no response could
	// announce a higher limit.
	minTargetLimit = 0.25
	// partitionedShare is the fraction of a limit that an instance issues while it considers at
	// most half of the instances alive. During a network partition the other side may issue the
	// whole limit, and the total of both sides has to stay within one and a half times the limit.
	partitionedShare = 0.3
	// ownerFailoverDelay is how long an instance has to be suspected before another instance takes
	// over its limits. It keeps ownership from moving with every short suspicion.
	ownerFailoverDelay = 3 * time.Second
)

// targetLimitOwner issues the permits of the targets' rate limits that this instance owns. It is
// safe for concurrent use.
type targetLimitOwner struct {
	name   string
	mesh   *peer.Mesh
	limits *targetLimits
	// onGrant handles the reply to a permit request of this instance.
	onGrant   func(m *peer.PermitGrant)
	startedAt time.Time
	clock     *clock.Clock

	mu     sync.Mutex
	issuer *ratelimit.Issuer
	addrs  map[string]string
	// partitioned is true if at most half of the instances are alive or of unknown state.
	partitioned bool
	ticking     bool
	// suspectedSince is the time since which each instance has been neither alive nor of unknown
	// state. candidates are the
	// instances that may own limits, as of the last update.
	suspectedSince map[string]time.Time
	candidates     map[string]fleet.Member
}

func newTargetLimitOwner(c Config, mesh *peer.Mesh, startedAt time.Time, peerAddr *targetLimits) *targetLimitOwner {
	return &targetLimitOwner{
		name:           c.Name,
		mesh:           mesh,
		limits:         peerAddr,
		startedAt:      startedAt,
		clock:          c.Clock,
		issuer:         ratelimit.NewHallIssuer(startedAt, c.FirstStart),
		addrs:          make(map[string]string),
		suspectedSince: make(map[string]time.Time),
	}
}

// targetOfPermits returns the target to which a permit name belongs.
func targetOfPermits(permits string) availability.ID {
	_, target, _ := strings.Cut(permits, ratelimit.HallLimitSeparator)
	return availability.IDOf(target)
}

// updateOwners updates the owners to the instances that the store lists and their states. It
// returns the owners, and false if they have not changed.
func (o *targetLimitOwner) updateOwners(now time.Time, c Config, registered map[string]fleet.Member, states []fleet.Status) (*ratelimit.Owners, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	candidates := maps.Clone(registered)
	alive := len(registered)
	for _, s := range states {
		if _, listed := registered[s.Name]; !listed || s.Name == o.name {
			continue
		}
		if s.State == fleet.Alive || s.State == fleet.Unknown {
			delete(o.suspectedSince, s.Name)
			continue
		}
		alive--
		if o.suspectedSince[s.Name].IsZero() {
			o.suspectedSince[s.Name] = now
		}
		if s.State == fleet.Stopping || now.Sub(o.suspectedSince[s.Name]) >= ownerFailoverDelay {
			delete(candidates, s.Name)
		}
	}
	o.partitioned = 2*alive <= len(registered) && len(registered) > 1
	if maps.Equal(candidates, o.candidates) {
		return nil, false
	}
	o.candidates = candidates
	clear(o.addrs)
	instances := make([]ratelimit.Instance, 0, len(candidates))
	for _, m := range registered {
		o.addrs[m.Name] = m.PeerAddr
	}
	for _, m := range candidates {
		instances = append(instances, ratelimit.Instance{Name: m.Name, Hall: m.Hall, Region: m.Region})
	}
	owners := ratelimit.NewHallOwners(ratelimit.Instance{Name: c.Name, Hall: c.Hall, Region: c.Region}, c.RegionOf, instances)
	o.issuer.SetOwners(now, owners)
	return owners, true
}

// request sends permit requests to the owners. Requests for which this instance is the owner are
// handled directly.
func (o *targetLimitOwner) request(now time.Time, requests []ratelimit.PermitRequest) {
	for _, request := range requests {
		m := &peer.PermitRequest{Account: request.Account, From: o.name, SentAt: o.timestamp(request.At), N: request.N, ForTarget: true, Limits: o.limits.update(now, targetOfPermits(request.Account))}
		if request.To.Name == o.name {
			o.issue(now, m)
			continue
		}
		o.mu.Lock()
		addr := o.addrs[request.To.Name]
		o.mu.Unlock()
		o.mesh.Send(addr, m)
	}
}

// issue handles a permit request.
func (o *targetLimitOwner) issue(now time.Time, m *peer.PermitRequest) {
	limit, ok := o.limits.get(targetOfPermits(m.Account))
	reply := ratelimit.Reply{To: m.From, At: m.SentAt, Account: m.Account, Grant: ratelimit.Grant{NotOwner: true}}
	if ok {
		o.mu.Lock()
		reply, _ = o.issuer.Issue(now, m.Account, o.issuedLimit(limit), ratelimit.IssueRequest{From: m.From, At: m.SentAt, N: m.N})
		o.tick()
		o.mu.Unlock()
	}
	o.reply(now, reply)
}

// targetLimitBurst is the time for which permits of an unused limit accumulate.
const targetLimitBurst = 250 * time.Millisecond

// issuedLimit returns the rate and burst that this instance issues for an announced limit in
// requests per second. The caller holds mu.
func (o *targetLimitOwner) issuedLimit(perSecond float64) ratelimit.Limit {
	perSecond = max(perSecond, minTargetLimit)
	if o.partitioned {
		perSecond *= partitionedShare
	}
	return ratelimit.Limit{Rate: perSecond, Burst: perSecond * targetLimitBurst.Seconds()}
}

// reply sends replies to permit requests.
func (o *targetLimitOwner) reply(now time.Time, replies ...ratelimit.Reply) {
	for _, r := range replies {
		m := &peer.PermitGrant{Account: r.Account, From: o.name, RequestSentAt: r.At, Grant: r.Grant, ForTarget: true, Limits: o.limits.update(now, targetOfPermits(r.Account))}
		if r.To == o.name {
			// It runs in a goroutine, because the caller may hold locks that onGrant needs.
			go o.onGrant(m)
			continue
		}
		o.mu.Lock()
		addr := o.addrs[r.To]
		o.mu.Unlock()
		o.mesh.Send(addr, m)
	}
}

// tick schedules a check of the queued permit requests while there are any. The caller holds mu.
func (o *targetLimitOwner) tick() {
	if o.ticking || o.issuer.Queued() == 0 {
		return
	}
	o.ticking = true
	time.AfterFunc(permitTickInterval, o.onTick)
}

func (o *targetLimitOwner) onTick() {
	o.mu.Lock()
	o.ticking = false
	now := o.clock.Now()
	replies := o.issuer.Tick(now)
	o.tick()
	o.mu.Unlock()
	o.reply(now, replies...)
}

// evictIdle evicts the state of limits for which no permits are requested.
func (o *targetLimitOwner) evictIdle(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.issuer.EvictIdle(now)
}

// timestamp returns a time as messages carry it, in nanoseconds since the start of the process.
// timeOf is its inverse.
func (o *targetLimitOwner) timestamp(t time.Time) int64 { return int64(t.Sub(o.startedAt)) }
func (o *targetLimitOwner) timeOf(stamp int64) time.Time {
	return o.startedAt.Add(time.Duration(stamp))
}

// updateLimitOwners updates the owners of targets' limits to the current instances and their
// states. The caller holds mu.
func (g *Gateway) updateLimitOwners(now time.Time) {
	owners, changed := g.targetLimitOwner.updateOwners(now, g.config, g.registered, g.view.Others(now))
	if changed {
		g.pools.setLimitOwners(owners)
	}
}

// receiveTargetPermitRequest handles another instance's request for permits of a target's limit.
func (g *Gateway) receiveTargetPermitRequest(m *peer.PermitRequest) {
	now := g.clock.Now()
	g.receiveLimits(now, m.Limits)
	g.targetLimitOwner.issue(now, m)
}

// receiveTargetPermitGrant handles the reply of the owner of a target's limit.
func (g *Gateway) receiveTargetPermitGrant(m *peer.PermitGrant) {
	now := g.clock.Now()
	askedAt := g.targetLimitOwner.timeOf(m.RequestSentAt)
	if askedAt.After(now) {
		// The request was sent by a previous process of this instance.
		return
	}
	g.receiveLimits(now, m.Limits)
	g.pools.receivePermits(now, askedAt, m)
}

// requestPermits sends the permit requests of pools, and reconnects to unresponsive owners.
func (g *Gateway) requestPermits(requests []ratelimit.PermitRequest, unresponsive []string) {
	g.targetLimitOwner.reconnect(unresponsive)
	g.targetLimitOwner.request(g.clock.Now(), requests)
}

// reconnect opens new connections to owners that do not reply, since the open connections may drop
// all packets.
func (o *targetLimitOwner) reconnect(unresponsive []string) {
	for _, name := range unresponsive {
		o.mu.Lock()
		addr := o.addrs[name]
		o.mu.Unlock()
		o.mesh.ReconnectBoth(addr)
	}
}

// instanceAt returns the name of the instance with a peer address, "" if there is none.
func (o *targetLimitOwner) instanceAt(addr string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, peerAddr := range o.addrs {
		if peerAddr == addr {
			return name
		}
	}
	return ""
}
