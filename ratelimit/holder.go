package ratelimit

import (
	"math"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

const (
	// sameRegionTimeout and farTimeout are how long the answer of an owner of the own or of
	// another region is waited for. Between regions the way there and back takes 70 to
	// 110 ms.
	sameRegionTimeout  = 50 * time.Millisecond
	crossRegionTimeout = 150 * time.Millisecond
	// followUpTimeout is how long the next answer of an owner is waited for that said that
	// another one follows.
	followUpTimeout = maxLoanWait + sameRegionTimeout
	// maxTries bounds the owners that are asked for one request.
	maxTries = 3
	// timeoutSuspension is how long an owner that did not answer is passed over, and foreignFor
	// how long one that says that it does not own the part.
	timeoutSuspension  = time.Second
	notOwnerSuspension = 500 * time.Millisecond

	// prefetchTime is the time for which permits are asked for ahead of need, and lowShare
	// the part of them below which more are asked for.
	prefetchTime      = 250 * time.Millisecond
	prefetchThreshold = 0.4
	// minPrefetchRequests is the number of requests in a permit's life from which on permits are
	// asked for ahead of need. Of fewer requests many would come too late for theirs.
	minPrefetchRequests = 3

	// minDenial and mostDenial bound the time for which an instance that got none
	// refuses without asking again.
	minDenial = 10 * time.Millisecond
	maxDenial = 100 * time.Millisecond
	// minPermitRate bounds the rate of permits that a forecast is made from, in 1/s.
	minPermitRate = 0.5
	// accountIdleTimeout is when an account without requests is forgotten.
	accountIdleTimeout = 30 * time.Second
)

// Decision is the kind of an answer to a request for a permit.
type Decision int

// The verdicts.
const (
	// Admit means that the request has a permit.
	Admit Decision = iota
	// Wait means that an owner is asked; an Answer with the request's ID follows unless it
	// is cancelled.
	Wait
	// Refuse means that the account is beyond its limit.
	Refuse
	// Unavailable means that no owner could be asked.
	Unavailable
)

// Result ends a request for a permit.
type Result struct {
	ID       uint64
	Decision Decision
	// ExpiresAt is how long the permit may be used.
	ExpiresAt time.Time
	// RetryAfter is when there is room again, after a refusal.
	RetryAfter time.Duration
	// Owner is the instance that was asked last, Used the rate of the account's requests
	// here and Got that of permits, in 1/s, to explain a refusal.
	Owner                   string
	RequestRate, PermitRate float64
}

// PermitRequest is a question to the owner of an account's part.
type PermitRequest struct {
	Account string
	To      Owner
	N       int
	// At is when it is asked. The answer is told by it.
	At time.Time
}

// Holder holds the permits of an instance. It is not safe for concurrent use.
type Holder struct {
	owners   *Owners
	accounts map[string]*accountState
	// outstanding is the number of accounts whose owner's answer is due.
	outstanding int
	// suspended are of the owners that are passed over, by name.
	suspended map[string]suspension
	// salt tells the instances' drawn times apart.
	salt uint64
	// maxDenial bounds the time for which an instance that got none refuses without asking.
	maxDenial time.Duration
}

// accountState is what an instance knows of one account.
type accountState struct {
	permits batches
	// lifetime is that of the last permits.
	lifetime time.Duration
	// requestRate is the rate of requests, and permitRate that of permits.
	requestRate, permitRate rateEstimate
	waiting                 []uint64
	// outstanding is set while an owner's answer is due.
	outstanding bool
	request     PermitRequest
	requestedAt time.Time
	// deadline is when the answer should be there.
	deadline time.Time
	tries    int

	deniedUntil time.Time
	// denials is the number of requests refused since the last permit.
	denials int

	owners        []Owner
	ownersSource  *Owners
	notOwnerUntil map[string]time.Time
	usedAt        time.Time
}

// NewHolder returns a holder without permits for the instance of a name.
func NewHolder(name string) *Holder {
	return &Holder{accounts: make(map[string]*accountState), suspended: make(map[string]suspension), salt: mix.Hash(name), maxDenial: maxDenial}
}

// SetOwners puts owners in force.
func (h *Holder) SetOwners(owners *Owners) { h.owners = owners }

// Acquire asks for a permit for a request of an account, and returns what to ask owners.
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

// Release gives back the permit of a request that was not sent.
func (h *Holder) Release(now time.Time, account string, until time.Time) {
	if a := h.accounts[account]; a != nil && now.Before(until) {
		a.permits.add(1, until)
	}
}

// Cancel ends the wait of a request.
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

// setOutstanding notes whether an owner's answer is due for an account.
func (h *Holder) setOutstanding(a *accountState, outstanding bool) {
	switch {
	case outstanding && !a.outstanding:
		h.outstanding++
	case !outstanding && a.outstanding:
		h.outstanding--
	}
	a.outstanding = outstanding
}

// prefetch returns the question for permits prefetch of need, if there is to be one.
func (h *Holder) prefetch(now time.Time, account string, a *accountState) []PermitRequest {
	used := a.requestRate.value(now)
	if a.outstanding || now.Before(a.deniedUntil) || used*a.lifetime.Seconds() < minPrefetchRequests {
		return nil
	}
	wanted := used * min(prefetchTime, a.lifetime/2).Seconds()
	if float64(a.permits.count(now)) >= prefetchThreshold*wanted {
		return nil
	}
	a.tries = 0
	_, requests := h.askNext(now, account, a)
	return requests
}

// requestSize is how many permits to ask for: for the requests that wait, and ahead of need.
func (h *Holder) requestSize(now time.Time, a *accountState) int {
	used := a.requestRate.value(now)
	n := len(a.waiting)
	if used*a.lifetime.Seconds() >= minPrefetchRequests {
		n += int(math.Ceil(used*min(prefetchTime, a.lifetime/2).Seconds())) - a.permits.count(now)
	}
	return max(n, 1)
}

// askNext asks the askNext owner, or ends the wait of all requests if there is none left.
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

// nextOwner returns the nearest owner that is not known to be of no use.
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

// HandleReply takes in the answer of an owner to a question that was asked at a time. It returns
// the ends of requests that waited, and what to ask next.
func (h *Holder) HandleReply(now, askedAt time.Time, account, from string, grant Grant) ([]Result, []PermitRequest) {
	a := h.accounts[account]
	if a == nil {
		return nil, nil
	}
	delete(h.suspended, from)
	if until := askedAt.Add(min(grant.Lifetime, maxLifetime)); grant.N > 0 && now.Before(until) {
		a.permits.add(grant.N, until)
		a.lifetime = grant.Lifetime
		a.permitRate.add(now, grant.N)
		a.denials = 0
	}
	due := a.outstanding && a.request.To.Name == from && a.requestedAt.Equal(askedAt)
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

// serveWaiting gives the permits held to the requests that wait.
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

// deny refuses a request. It is told to come back when those refused before it are served,
// at the rate at which permits come, and spread so that those refused together do not come
// together.
func (h *Holder) deny(now time.Time, a *accountState, id uint64) Result {
	a.denials++
	wait := a.deniedUntil.Sub(now).Seconds() + float64(a.denials)/max(a.permitRate.value(now), minPermitRate)
	wait *= 1 + mix.Unit(mix.Join(id, h.salt))/2
	after := min(time.Duration(wait*float64(time.Second)), maxWait)
	return h.withRates(now, a, Result{ID: id, Decision: Refuse, RetryAfter: max(after, minDenial)})
}

// withRates adds what decided to a refusal.
func (h *Holder) withRates(now time.Time, a *accountState, result Result) Result {
	result.Owner, result.RequestRate, result.PermitRate = a.request.To.Name, a.requestRate.value(now), a.permitRate.value(now)
	return result
}

// EvictIdle drops what is known of accounts without requests.
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

// OwnerUnreachable passes over an owner that refused a connection, and asks the next one for
// the requests that wait for its answer.
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
