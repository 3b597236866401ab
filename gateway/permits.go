package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/ratelimit"
)

// Reasons of requests that are refused because of their account's rate limit.
const (
	reasonOverLimit = "over-limit"
	// reasonNoOwner means that no owner of the limit was reached, or that the client disconnected
	// while the request waited for a permit.
	reasonNoOwner = "no-limit-owner"
)

// permitTickInterval is the interval at which unresponsive owners and queued requests are checked
// while permit requests are pending.
const permitTickInterval = 10 * time.Millisecond

// accountPermits enforces the rate limits of accounts. It acquires a permit for each request of a
// limited account, and issues the permits of the limits that this instance owns. It is safe for
// concurrent use.
type accountPermits struct {
	name      string
	mesh      *peer.Mesh
	limitOf   func(account string) (ratelimit.Limit, bool)
	startedAt time.Time
	clock     *clock.Clock

	mu     sync.Mutex
	holder *ratelimit.Holder
	issuer *ratelimit.Issuer
	// addrs holds the peer addresses of the instances that the store lists, by name.
	addrs   map[string]string
	waiting map[uint64]chan ratelimit.Result
	lastID  uint64
	ticking bool
}

func newPermits(c Config, mesh *peer.Mesh, startedAt time.Time, limitOf func(string) (ratelimit.Limit, bool)) *accountPermits {
	return &accountPermits{
		name:      c.Name,
		mesh:      mesh,
		limitOf:   limitOf,
		startedAt: startedAt,
		clock:     c.Clock,
		holder:    ratelimit.NewHolder(c.Name),
		issuer:    ratelimit.NewIssuer(c.Limits, startedAt, c.FirstStart),
		addrs:     make(map[string]string),
		waiting:   make(map[uint64]chan ratelimit.Result),
	}
}

// limitOf returns the rate limit of an account in the current configuration, false if it has none.
func (g *Gateway) limitOf(account string) (ratelimit.Limit, bool) {
	router := g.router.Load()
	if router == nil {
		return ratelimit.Limit{}, false
	}
	a := router.AccountNamed(account)
	if !a.HasRateLimit() {
		return ratelimit.Limit{}, false
	}
	return ratelimit.Limit{Rate: a.Rate, Burst: a.Burst}, true
}

// setInstances sets the instances that the store lists. They own the shares of the limits.
func (p *accountPermits) setInstances(now time.Time, c Config, members map[string]fleet.Member) {
	instances := make([]ratelimit.Instance, 0, len(members))
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.addrs)
	for _, m := range members {
		instances = append(instances, ratelimit.Instance{Name: m.Name, Hall: m.Hall, Region: m.Region})
		p.addrs[m.Name] = m.PeerAddr
	}
	self := ratelimit.Instance{Name: c.Name, Hall: c.Hall, Region: c.Region}
	owners := ratelimit.NewOwners(limitScope, self, c.RegionOf, instances)
	p.holder.SetOwners(owners)
	p.issuer.SetOwners(now, owners)
}

// limitScope is the scope of limit domains: each hall is a domain with one owner per account.
const limitScope = ratelimit.PerHall

// permit is the right to send one request of an account.
type permit struct {
	account   string
	expiresAt time.Time
}

// acquire acquires a permit for a request of an account. If the instance has none, it waits for an
// owner's reply. The result states why there is no permit.
func (p *accountPermits) acquire(ctx context.Context, account string) (permit, ratelimit.Result) {
	now := p.clock.Now()
	p.mu.Lock()
	p.lastID++
	id := p.lastID
	result, requests := p.holder.Acquire(now, id, account)
	var wait chan ratelimit.Result
	if result.Decision == ratelimit.Wait {
		wait = make(chan ratelimit.Result, 1)
		p.waiting[id] = wait
	}
	p.sendRequests(now, requests)
	p.tick()
	p.mu.Unlock()
	if wait != nil {
		select {
		case result = <-wait:
		case <-ctx.Done():
			p.cancel(account, id, wait)
			return permit{}, ratelimit.Result{Decision: ratelimit.Unavailable}
		}
	}
	return permit{account: account, expiresAt: result.ExpiresAt}, result
}

// cancel ends the wait of a request whose client has disconnected. It returns the permit if one was
// granted meanwhile.
func (p *accountPermits) cancel(account string, id uint64, wait chan ratelimit.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
	p.holder.Cancel(account, id)
	select {
	case result := <-wait:
		if result.Decision == ratelimit.Admit {
			p.holder.Release(p.clock.Now(), account, result.ExpiresAt)
		}
	default:
	}
}

// release returns the permit of a request that has not run.
func (p *accountPermits) release(unused permit) {
	if unused.account == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holder.Release(p.clock.Now(), unused.account, unused.expiresAt)
}

// sendRequests sends permit requests to owners. The caller holds mu.
func (p *accountPermits) sendRequests(now time.Time, requests []ratelimit.PermitRequest) {
	for _, request := range requests {
		issueRequest := ratelimit.IssueRequest{From: p.name, At: p.timestamp(now), N: request.N}
		if request.To.Name == p.name {
			p.issue(now, request.Account, issueRequest)
			continue
		}
		p.mesh.Send(p.addrs[request.To.Name], &peer.PermitRequest{Account: request.Account, From: issueRequest.From, SentAt: issueRequest.At, N: issueRequest.N})
	}
}

// issue handles a permit request in the own domain, and borrows permits of other domains if
// necessary. The caller holds mu.
func (p *accountPermits) issue(now time.Time, account string, c ratelimit.IssueRequest) {
	limit, ok := p.limitOf(account)
	if !ok {
		p.reply(now, ratelimit.Reply{To: c.From, At: c.At, Account: account, Grant: ratelimit.Grant{NotOwner: true}})
		return
	}
	reply, loans := p.issuer.Issue(now, account, limit, c)
	p.borrow(now, loans)
	p.reply(now, reply)
}

// borrow sends loan requests to the owners of other domains. The caller holds mu.
func (p *accountPermits) borrow(now time.Time, loans []ratelimit.LoanRequest) {
	for _, loan := range loans {
		p.mesh.Send(p.addrs[loan.Lender.Name], &peer.PermitRequest{Account: loan.Account, From: p.name, SentAt: p.timestamp(now), N: loan.N, Borrow: true})
	}
}

// reply sends replies to permit requests. The caller holds mu.
func (p *accountPermits) reply(now time.Time, replies ...ratelimit.Reply) {
	for _, r := range replies {
		if r.To == p.name {
			p.handleGrant(now, r.At, r.Account, p.name, r.Grant)
			continue
		}
		p.mesh.Send(p.addrs[r.To], &peer.PermitGrant{Account: r.Account, From: p.name, RequestSentAt: r.At, Grant: r.Grant})
	}
}

// handleGrant handles an owner's reply. The caller holds mu.
func (p *accountPermits) handleGrant(now time.Time, at int64, account, from string, grant ratelimit.Grant) {
	results, requests := p.holder.HandleReply(now, p.timeOf(at), account, from, grant)
	p.wake(results)
	p.sendRequests(now, requests)
}

// timestamp returns a time as messages carry it, in nanoseconds since the start of the process.
// timeOf is its inverse.
func (p *accountPermits) timestamp(t time.Time) int64  { return int64(t.Sub(p.startedAt)) }
func (p *accountPermits) timeOf(stamp int64) time.Time { return p.startedAt.Add(time.Duration(stamp)) }

// receiveRequest handles a permit or loan request of another instance.
func (p *accountPermits) receiveRequest(m *peer.PermitRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr, ok := p.addrs[m.From]
	if !ok {
		// The sender requests permits elsewhere until this instance knows its address.
		return
	}
	now := p.clock.Now()
	if !m.Borrow {
		p.issue(now, m.Account, ratelimit.IssueRequest{From: m.From, At: m.SentAt, N: m.N})
		p.tick()
		return
	}
	reply := &peer.PermitGrant{Account: m.Account, From: p.name, RequestSentAt: m.SentAt, Borrow: true, Grant: ratelimit.Grant{NotOwner: true}}
	if limit, ok := p.limitOf(m.Account); ok {
		reply.Grant = p.issuer.Lend(now, m.Account, limit, m.N)
	}
	p.mesh.Send(addr, reply)
}

// receiveGrant handles another instance's reply to a permit or loan request.
func (p *accountPermits) receiveGrant(m *peer.PermitGrant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if m.RequestSentAt > p.timestamp(now) {
		// The request was sent by a previous process of this instance.
		return
	}
	if m.Borrow {
		replies, loans := p.issuer.HandleLoan(now, p.timeOf(m.RequestSentAt), m.Account, m.From, m.Grant)
		p.borrow(now, loans)
		p.reply(now, replies...)
	} else {
		p.handleGrant(now, m.RequestSentAt, m.Account, m.From, m.Grant)
	}
	p.tick()
}

// wake delivers results to the requests that wait for them. The caller holds mu.
func (p *accountPermits) wake(results []ratelimit.Result) {
	for _, result := range results {
		if wait := p.waiting[result.ID]; wait != nil {
			delete(p.waiting, result.ID)
			wait <- result
		}
	}
}

// tick schedules a check for unresponsive owners and queued permit requests while there are any.
// The caller holds mu.
func (p *accountPermits) tick() {
	if p.ticking || !p.holder.NeedsTick() && p.issuer.Queued() == 0 {
		return
	}
	p.ticking = true
	time.AfterFunc(permitTickInterval, p.onTick)
}

func (p *accountPermits) onTick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ticking = false
	now := p.clock.Now()
	results, requests, unresponsive := p.holder.Tick(now)
	for _, owner := range unresponsive {
		p.mesh.ReconnectBoth(p.addrs[owner])
	}
	p.wake(results)
	p.sendRequests(now, requests)
	p.reply(now, p.issuer.Tick(now)...)
	p.tick()
}

// maxObservedAccounts bounds the accounts that the metrics name, however many accounts there are.
const maxObservedAccounts = 8

// observeUtilization reports the utilization of the shares that this instance owns, for the
// accounts with the highest utilization.
func (p *accountPermits) observeUtilization(observe func(float64, ...string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, use := range p.issuer.Busiest(p.clock.Now(), maxObservedAccounts) {
		observe(use.Utilization, use.Account)
	}
}

// ownerUnreachable records that connecting to an instance has failed.
func (p *accountPermits) ownerUnreachable(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for name, peerAddr := range p.addrs {
		if peerAddr != addr {
			continue
		}
		results, requests := p.holder.OwnerUnreachable(now, name)
		p.wake(results)
		p.sendRequests(now, requests)
	}
	p.tick()
}

// evictIdle evicts the state of accounts that send no requests.
func (p *accountPermits) evictIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holder.EvictIdle(now)
	p.issuer.EvictIdle(now)
}

// admit acquires a permit for the request if its account has a rate limit. It returns a refusal and
// false if the request exceeds the limit, no owner of the limit was reached, or the client
// disconnected during the wait. It runs before the body is read.
func (g *Gateway) admit(ex *exchange) (requestResult, bool) {
	if !ex.account.HasRateLimit() {
		return requestResult{}, true
	}
	startedAt := g.clock.Now()
	permit, result := g.accountPermits.acquire(ex.ctx, ex.account.Name)
	ex.permitWait = g.clock.Since(startedAt)
	ex.limitResult = result
	g.metrics.permits.Add(1, permitResultName(result.Decision))
	switch result.Decision {
	case ratelimit.Admit:
		ex.permit = permit
		return requestResult{}, true
	case ratelimit.Refuse:
		return beforeBody(ex, requestResult{status: http.StatusTooManyRequests, reason: reasonOverLimit, retryAfter: result.RetryAfter}), false
	default:
		return beforeBody(ex, notRunResult(reasonNoOwner, max(result.RetryAfter, defaultRetryAfter))), false
	}
}

// permitResultName returns the name of a decision in the metrics.
func permitResultName(decision ratelimit.Decision) string {
	switch decision {
	case ratelimit.Admit:
		return "admitted"
	case ratelimit.Refuse:
		return reasonOverLimit
	default:
		return reasonNoOwner
	}
}

// knowsOwners reports whether the instance can find the owners of limits, or the configuration has
// no limits.
func (g *Gateway) knowsOwners(router *catalog.Router) bool {
	return !router.HasRateLimits() || g.readiness.instancesLoaded.Load()
}
