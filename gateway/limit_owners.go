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
	// leastLimit is what a target that names less than that is taken to take, in requests a
	// second: without one now and then nobody would hear that it takes more again.
	leastLimit = 0.25
	// cutOffShare is the part of a limit that is issued by an instance that does not know more
	// than half of the instances to be alive. Those on the other side of a cut may issue all
	// of it, and the two together have to stay within one and a half times the limit.
	cutOffShare = 0.3
	// awayAfter is how long an instance has to be suspected for another one to issue the
	// permits that it did: who issues them is not to change with each suspicion.
	awayAfter = 3 * time.Second
)

// limitOwner issues the permits of targets' limits that belong to this instance. It is safe for
// concurrent use.
type limitOwner struct {
	name   string
	mesh   *peer.Mesh
	limits *targetLimits
	// hear takes in an answer to a question of this instance.
	hear  func(m *peer.PermitGrant)
	began time.Time
	clock *clock.Clock

	mu     sync.Mutex
	issuer *ratelimit.Issuer
	addrs  map[string]string
	// cutOff says that less than half of the instances are known to be alive.
	cutOff  bool
	ticking bool
	// awaySince is when instances came to be suspected, and present those that were last
	// taken not to be away.
	awaySince map[string]time.Time
	present   map[string]fleet.Member
}

func newLimitOwner(c Config, mesh *peer.Mesh, startedAt time.Time, known *targetLimits) *limitOwner {
	return &limitOwner{
		name:      c.Name,
		mesh:      mesh,
		limits:    known,
		began:     startedAt,
		clock:     c.Clock,
		issuer:    ratelimit.NewHallIssuer(startedAt, c.FirstStart),
		addrs:     make(map[string]string),
		awaySince: make(map[string]time.Time),
	}
}

// targetOf returns the target whose permits have a name.
func targetOf(permits string) availability.ID {
	_, target, _ := strings.Cut(permits, ratelimit.HallLimitSeparator)
	return availability.IDOf(target)
}

// review takes in the instances that the store lists, and their states. It returns the owners of
// limits if those have changed.
func (o *limitOwner) review(now time.Time, c Config, registered map[string]fleet.Member, states []fleet.Status) (*ratelimit.Owners, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	present := maps.Clone(registered)
	alive := len(registered)
	for _, s := range states {
		if _, listed := registered[s.Name]; !listed || s.Name == o.name {
			continue
		}
		if s.State == fleet.Alive || s.State == fleet.Unknown {
			delete(o.awaySince, s.Name)
			continue
		}
		alive--
		if o.awaySince[s.Name].IsZero() {
			o.awaySince[s.Name] = now
		}
		if s.State == fleet.Stopping || now.Sub(o.awaySince[s.Name]) >= awayAfter {
			delete(present, s.Name)
		}
	}
	o.cutOff = 2*alive <= len(registered) && len(registered) > 1
	if maps.Equal(present, o.present) {
		return nil, false
	}
	o.present = present
	clear(o.addrs)
	places := make([]ratelimit.Instance, 0, len(present))
	for _, m := range registered {
		o.addrs[m.Name] = m.PeerAddr
	}
	for _, m := range present {
		places = append(places, ratelimit.Instance{Name: m.Name, Hall: m.Hall, Region: m.Region})
	}
	owners := ratelimit.NewHallOwners(ratelimit.Instance{Name: c.Name, Hall: c.Hall, Region: c.Region}, c.RegionOf, places)
	o.issuer.SetOwners(now, owners)
	return owners, true
}

// ask sends questions for permits to their owners. The answers of this instance to itself are
// heard at once.
func (o *limitOwner) ask(now time.Time, asks []ratelimit.PermitRequest) {
	for _, ask := range asks {
		m := &peer.PermitRequest{Account: ask.Account, From: o.name, SentAt: o.stamp(ask.At), N: ask.N, ForTarget: true, Limits: o.limits.about(now, targetOf(ask.Account))}
		if ask.To.Name == o.name {
			o.issue(now, m)
			continue
		}
		o.mu.Lock()
		addr := o.addrs[ask.To.Name]
		o.mu.Unlock()
		o.mesh.Send(addr, m)
	}
}

// issue answers a question.
func (o *limitOwner) issue(now time.Time, m *peer.PermitRequest) {
	limit, ok := o.limits.of(targetOf(m.Account))
	reply := ratelimit.Reply{To: m.From, At: m.SentAt, Account: m.Account, Grant: ratelimit.Grant{NotOwner: true}}
	if ok {
		o.mu.Lock()
		reply, _ = o.issuer.Issue(now, m.Account, o.rate(limit), ratelimit.IssueRequest{From: m.From, At: m.SentAt, N: m.N})
		o.tick()
		o.mu.Unlock()
	}
	o.reply(now, reply)
}

// limitBurst is the time for which a limit that nobody uses is kept.
const limitBurst = 250 * time.Millisecond

// rate returns what is issued of a limit. The caller holds mu.
func (o *limitOwner) rate(perSecond float64) ratelimit.Limit {
	perSecond = max(perSecond, leastLimit)
	if o.cutOff {
		perSecond *= cutOffShare
	}
	return ratelimit.Limit{Rate: perSecond, Burst: perSecond * limitBurst.Seconds()}
}

// reply sends answers.
func (o *limitOwner) reply(now time.Time, replies ...ratelimit.Reply) {
	for _, r := range replies {
		m := &peer.PermitGrant{Account: r.Account, From: o.name, RequestSentAt: r.At, Grant: r.Grant, ForTarget: true, Limits: o.limits.about(now, targetOf(r.Account))}
		if r.To == o.name {
			// The caller may hold what the answer changes.
			go o.hear(m)
			continue
		}
		o.mu.Lock()
		addr := o.addrs[r.To]
		o.mu.Unlock()
		o.mesh.Send(addr, m)
	}
}

// tick looks for claims that wait, as long as there are any. The caller holds mu.
func (o *limitOwner) tick() {
	if o.ticking || o.issuer.Queued() == 0 {
		return
	}
	o.ticking = true
	time.AfterFunc(permitTick, o.onTick)
}

func (o *limitOwner) onTick() {
	o.mu.Lock()
	o.ticking = false
	now := o.clock.Now()
	replies := o.issuer.Tick(now)
	o.tick()
	o.mu.Unlock()
	o.reply(now, replies...)
}

// forget drops what is known of limits that nobody asks for.
func (o *limitOwner) forget(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.issuer.EvictIdle(now)
}

// stamp returns a time as messages carry it: that since the start of the process. moment is its
// inverse.
func (o *limitOwner) stamp(t time.Time) int64      { return int64(t.Sub(o.began)) }
func (o *limitOwner) moment(stamp int64) time.Time { return o.began.Add(time.Duration(stamp)) }

// reviewOwners takes in who may issue the permits of targets' limits. The caller holds mu.
func (g *Gateway) reviewOwners(now time.Time) {
	owners, changed := g.limitOwner.review(now, g.config, g.registered, g.view.Others(now))
	if changed {
		g.pools.setLimitOwners(owners)
	}
}

// receiveLimitAsk answers a question for permits of a target's limit.
func (g *Gateway) receiveLimitAsk(m *peer.PermitRequest) {
	now := g.clock.Now()
	g.hearLimits(now, m.Limits)
	g.limitOwner.issue(now, m)
}

// receiveLimitIssue takes in the answer of an owner of a target's limit.
func (g *Gateway) receiveLimitIssue(m *peer.PermitGrant) {
	now := g.clock.Now()
	askedAt := g.limitOwner.moment(m.RequestSentAt)
	if askedAt.After(now) {
		// The question was asked by the process before this one.
		return
	}
	g.hearLimits(now, m.Limits)
	g.pools.hearPermits(now, askedAt, m)
}

// askForPermits sends questions of pools, and opens other connections to owners that are silent.
func (g *Gateway) askForPermits(asks []ratelimit.PermitRequest, silent []string) {
	g.limitOwner.renew(silent)
	g.limitOwner.ask(g.clock.Now(), asks)
}

// renew opens other connections to owners that do not answer: the open ones may carry nothing.
func (o *limitOwner) renew(silent []string) {
	for _, name := range silent {
		o.mu.Lock()
		addr := o.addrs[name]
		o.mu.Unlock()
		o.mesh.ReconnectBoth(addr)
	}
}

// nameOf returns the instance with a peer address, "" if there is none.
func (o *limitOwner) nameOf(addr string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, known := range o.addrs {
		if known == addr {
			return name
		}
	}
	return ""
}
