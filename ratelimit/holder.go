package ratelimit

import (
	"math"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

const (
	// sameRegionTimeout and crossRegionTimeout are how long a holder waits for the reply
	// of an owner in its own region or in another one. A round trip between regions takes
	// 70 to 110 ms.
	sameRegionTimeout  = 50 * time.Millisecond
	crossRegionTimeout = 150 * time.Millisecond
	// followUpTimeout is how long a holder waits for the next reply after a grant with
	// MoreFollows.
	followUpTimeout = maxLoanWait + sameRegionTimeout
	// maxTries is the largest number of owners that are tried for one request.
	maxTries = 3
	// timeoutSuspension is how long an owner that did not reply in time, or refused a
	// connection, is skipped.
	// notOwnerSuspension is how long an instance that does not own the share is skipped.
	timeoutSuspension  = time.Second
	notOwnerSuspension = 500 * time.Millisecond

	// prefetchTime is the time for which permits are requested ahead of need.
	// prefetchThreshold is the fraction of these permits below which more are requested.
	prefetchTime      = 250 * time.Millisecond
	prefetchThreshold = 0.4
	// minPrefetchRequests is the number of requests within a permit's lifetime from which
	// on permits are prefetched. At a lower rate, many prefetched permits would expire
	// unused.
	minPrefetchRequests = 3

	// minDenial and maxDenial bound the time for which an instance refuses requests
	// without a new permit request after it was denied a permit.
	minDenial = 10 * time.Millisecond
	maxDenial = 100 * time.Millisecond
	// minPermitRate is the lowest permit rate, in 1/s, that a forecast uses.
	minPermitRate = 0.5
	// accountIdleTimeout is the time without requests after which an account's state is
	// dropped.
	accountIdleTimeout = 30 * time.Second
)

// Decision is the decision on a request of an account.
type Decision int

// The decisions.
const (
	// Admit means that the request has a permit.
	Admit Decision = iota
	// Wait means that an owner has been sent a permit request. A Result with the request's
	// ID follows unless the request is cancelled.
	Wait
	// Refuse means that the account is over its limit.
	Refuse
	// Unavailable means that no owner is left to ask: those asked did not reply, could not be
	// reached, or do not own the share.
	Unavailable
)

// Result is the decision on a request, with its reasons.
type Result struct {
	ID       uint64
	Decision Decision
	// ExpiresAt is the time until which the permit may be used.
	ExpiresAt time.Time
	// RetryAfter is the time after which a retry is worthwhile, if the request was not
	// admitted.
	RetryAfter time.Duration
	// Owner is the instance to which the last permit request was sent. RequestRate is the
	// rate of the account's requests at this instance and PermitRate that of the permits
	// received, both in 1/s. They explain a refusal.
	Owner                   string
	RequestRate, PermitRate float64
}

// PermitRequest is a request for permits to the owner of an account's share.
type PermitRequest struct {
	Account string
	To      Owner
	N       int
	// At is the time of the request. It identifies the request in the reply.
	At time.Time
}

// Holder holds the permits of one instance. It is not safe for concurrent use.
type Holder struct {
	owners   *Owners
	accounts map[string]*accountState
	// outstanding is the number of accounts with an outstanding permit request.
	outstanding int
	// suspended are the owners that are skipped, by name.
	suspended map[string]suspension
	// salt makes the jitter of waiting times differ between instances.
	salt uint64
	// maxDenial is the longest time for which this holder refuses requests after a denial.
	maxDenial time.Duration
}

// accountState is the state of one account at a holder.
type accountState struct {
	permits batches
	// lifetime is the lifetime of the permits received last.
	lifetime time.Duration
	// requestRate is the rate of requests (for hall limits, of permits used), permitRate
	// that of permits received.
	requestRate, permitRate rateEstimate
	waiting                 []uint64
	// outstanding is set while a permit request awaits its reply.
	outstanding bool
	request     PermitRequest
	requestedAt time.Time
	// deadline is the time at which the outstanding request times out.
	deadline time.Time
	tries    int

	deniedUntil time.Time
	// denials is the number of requests refused since permits were last received.
	denials int

	owners        []Owner
	ownersSource  *Owners
	notOwnerUntil map[string]time.Time
	usedAt        time.Time
}

// NewHolder returns a holder without permits for the named instance.
func NewHolder(name string) *Holder {
	return &Holder{accounts: make(map[string]*accountState), suspended: make(map[string]suspension), salt: mix.Hash(name), maxDenial: maxDenial}
}

// SetOwners replaces the owners.
func (h *Holder) SetOwners(owners *Owners) { h.owners = owners }

// Acquire acquires a permit for a request of an account. It returns the decision and the
// permit requests to send.
func (h *Holder) Acquire(now time.Time, id uint64, account string) (Result, []PermitRequest) {
	a := h.account(account)
	a.usedAt = now
	a.requestRate.add(now, 1)
	if n, until := a.permits.take(now, 1); n > 0 {
		return Result{ID: id, Decision: Admit, ExpiresAt: until}, h.prefetch(now, account, a)
	}
	if now.Before(a.deniedUntil) {
		return h.deny(now, a, id), nil
	}
	a.waiting = append(a.waiting, id)
	if a.outstanding {
		return Result{ID: id, Decision: Wait}, nil
	}
	a.tries = 0
	results, requests := h.askNext(now, account, a)
	if len(results) > 0 {
		return results[0], nil
	}
	return Result{ID: id, Decision: Wait}, requests
}

func (h *Holder) account(name string) *accountState {
	a := h.accounts[name]
	if a == nil {
		a = &accountState{}
		h.accounts[name] = a
	}
	return a
}

// Release returns the permit of a request that was not sent. The permit can be used again
// until it expires.
func (h *Holder) Release(now time.Time, account string, until time.Time) {
	if a := h.accounts[account]; a != nil && now.Before(until) {
		a.permits.add(1, until)
	}
}

// Cancel removes a waiting request.
func (h *Holder) Cancel(account string, id uint64) {
	a := h.accounts[account]
	if a == nil {
		return
	}
	for k, waiting := range a.waiting {
		if waiting == id {
			a.waiting = append(a.waiting[:k], a.waiting[k+1:]...)
			return
		}
	}
}

// setOutstanding records whether an account has an outstanding permit request.
func (h *Holder) setOutstanding(a *accountState, outstanding bool) {
	switch {
	case outstanding && !a.outstanding:
		h.outstanding++
	case !outstanding && a.outstanding:
		h.outstanding--
	}
	a.outstanding = outstanding
}

// prefetch returns a request for permits ahead of need if the permits held run low.
func (h *Holder) prefetch(now time.Time, account string, a *accountState) []PermitRequest {
	rate := a.requestRate.value(now)
	if a.outstanding || now.Before(a.deniedUntil) || rate*a.lifetime.Seconds() < minPrefetchRequests {
		return nil
	}
	wanted := rate * min(prefetchTime, a.lifetime/2).Seconds()
	if float64(a.permits.count(now)) >= prefetchThreshold*wanted {
		return nil
	}
	a.tries = 0
	_, requests := h.askNext(now, account, a)
	return requests
}

// requestSize returns the number of permits to request: one for each waiting request, plus
// those to prefetch, less those held, but at least one.
func (h *Holder) requestSize(now time.Time, a *accountState) int {
	rate := a.requestRate.value(now)
	n := len(a.waiting)
	if rate*a.lifetime.Seconds() >= minPrefetchRequests {
		n += int(math.Ceil(rate*min(prefetchTime, a.lifetime/2).Seconds())) - a.permits.count(now)
	}
	return max(n, 1)
}

// askNext returns a permit request to the next owner. If no owner is left or maxTries have been
// asked, it ends the wait of all requests.
func (h *Holder) askNext(now time.Time, account string, a *accountState) ([]Result, []PermitRequest) {
	owner, ok := h.nextOwner(now, account, a)
	if !ok || a.tries >= maxTries {
		h.setOutstanding(a, false)
		return h.finishAll(a, h.withRates(now, a, Result{Decision: Unavailable, RetryAfter: timeoutSuspension})), nil
	}
	a.tries++
	h.setOutstanding(a, true)
	a.requestedAt, a.deadline = now, now.Add(crossRegionTimeout)
	if owner.SameRegion {
		a.deadline = now.Add(sameRegionTimeout)
	}
	a.request = PermitRequest{Account: account, To: owner, N: h.requestSize(now, a), At: now}
	return nil, []PermitRequest{a.request}
}

// nextOwner returns the nearest owner that is not skipped after a timeout, a refused connection
// or a NotOwner reply.
func (h *Holder) nextOwner(now time.Time, account string, a *accountState) (Owner, bool) {
	if h.owners == nil {
		return Owner{}, false
	}
	if a.ownersSource != h.owners {
		a.ownersSource, a.owners = h.owners, h.owners.Of(account)
	}
	for _, owner := range a.owners {
		if now.Before(h.suspended[owner.Name].until) || now.Before(a.notOwnerUntil[owner.Name]) {
			continue
		}
		return owner, true
	}
	return Owner{}, false
}

func (h *Holder) finishAll(a *accountState, result Result) []Result {
	out := make([]Result, 0, len(a.waiting))
	for _, id := range a.waiting {
		result.ID = id
		out = append(out, result)
	}
	a.waiting = a.waiting[:0]
	return out
}

// HandleReply processes an owner's reply to a permit request that was sent at
// requestedAt. It returns the results of waiting requests and the permit requests to send next.
func (h *Holder) HandleReply(now, requestedAt time.Time, account, from string, grant Grant) ([]Result, []PermitRequest) {
	a := h.accounts[account]
	if a == nil {
		return nil, nil
	}
	delete(h.suspended, from)
	if until := requestedAt.Add(min(grant.Lifetime, maxLifetime)); grant.N > 0 && now.Before(until) {
		a.permits.add(grant.N, until)
		a.lifetime = grant.Lifetime
		a.permitRate.add(now, grant.N)
		a.denials = 0
	}
	due := a.outstanding && a.request.To.Name == from && a.requestedAt.Equal(requestedAt)
	if due && grant.NotOwner {
		if a.notOwnerUntil == nil {
			a.notOwnerUntil = make(map[string]time.Time)
		}
		a.notOwnerUntil[from] = now.Add(notOwnerSuspension)
		return h.askNext(now, account, a)
	}
	results := h.serveWaiting(now, a)
	if !due {
		return results, nil
	}
	if grant.MoreFollows {
		a.request.N -= grant.N
		a.deadline = now.Add(followUpTimeout)
		return results, nil
	}
	h.setOutstanding(a, false)
	if grant.N < a.request.N {
		a.deniedUntil = now.Add(min(max(grant.RetryAfter, minDenial), h.maxDenial))
	}
	if len(a.waiting) == 0 {
		return results, nil
	}
	if grant.N < a.request.N {
		for _, id := range a.waiting {
			results = append(results, h.deny(now, a, id))
		}
		a.waiting = a.waiting[:0]
		return results, nil
	}
	a.tries = 0
	more, requests := h.askNext(now, account, a)
	return append(results, more...), requests
}

// serveWaiting gives the available permits to waiting requests.
func (h *Holder) serveWaiting(now time.Time, a *accountState) []Result {
	var out []Result
	for len(a.waiting) > 0 {
		n, until := a.permits.take(now, 1)
		if n == 0 {
			break
		}
		out = append(out, Result{ID: a.waiting[0], Decision: Admit, ExpiresAt: until})
		a.waiting = a.waiting[1:]
	}
	return out
}

// deny refuses a request. RetryAfter is the time until the requests refused before it have
// been served at the current permit rate, plus jitter so that requests that were refused
// together are not retried together.
func (h *Holder) deny(now time.Time, a *accountState, id uint64) Result {
	a.denials++
	wait := a.deniedUntil.Sub(now).Seconds() + float64(a.denials)/max(a.permitRate.value(now), minPermitRate)
	wait *= 1 + mix.Unit(mix.Combine(id, h.salt))/2
	after := min(time.Duration(wait*float64(time.Second)), maxWait)
	return h.withRates(now, a, Result{ID: id, Decision: Refuse, RetryAfter: max(after, minDenial)})
}

// withRates adds the owner and the rates to a result.
func (h *Holder) withRates(now time.Time, a *accountState, result Result) Result {
	result.Owner, result.RequestRate, result.PermitRate = a.request.To.Name, a.requestRate.value(now), a.permitRate.value(now)
	return result
}

// EvictIdle drops the state of accounts without recent requests, and suspensions that have
// ended.
func (h *Holder) EvictIdle(now time.Time) {
	for name, a := range h.accounts {
		if !a.outstanding && now.Sub(a.usedAt) >= accountIdleTimeout {
			delete(h.accounts, name)
		}
	}
	for name, s := range h.suspended {
		if !s.timedOut && !now.Before(s.until) {
			delete(h.suspended, name)
		}
	}
}

// OwnerUnreachable suspends an owner that refused a connection, and sends the permit requests
// that it left unanswered to the next owner.
func (h *Holder) OwnerUnreachable(now time.Time, owner string) (results []Result, requests []PermitRequest) {
	h.suspended[owner] = suspension{until: now.Add(timeoutSuspension)}
	for name, a := range h.accounts {
		if !a.outstanding || a.request.To.Name != owner {
			continue
		}
		if len(a.waiting) == 0 {
			h.setOutstanding(a, false)
			continue
		}
		finished, requested := h.askNext(now, name, a)
		results, requests = append(results, finished...), append(requests, requested...)
	}
	return results, requests
}
