package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// lendReserveTime is the time for which an owner keeps permits for its own domain, at
	// the domain's request rate, before it lends any.
	lendReserveTime = 100 * time.Millisecond
	// borrowThresholdTime is the time for which an owner's permits have to last at the
	// request rate of its domain. An owner with fewer permits borrows. A reply from
	// another region takes about half of this time.
	borrowThresholdTime = 200 * time.Millisecond
	// borrowHorizon is the time for which an owner borrows, at the domain's request rate.
	borrowHorizon = 300 * time.Millisecond
	// minBorrowInterval is the shortest time between two loans of an account, unless a lender
	// replied that it has no spare permits while requests are queued.
	// emptyLenderBackoff is how long a lender that had no spare permits is skipped.
	minBorrowInterval  = 100 * time.Millisecond
	emptyLenderBackoff = 300 * time.Millisecond
	// maxRefillWait is how long requests wait for the bucket to be refilled.
	maxRefillWait = 50 * time.Millisecond
	// maxLoanWait is how long requests wait for loans. It covers a round trip to another
	// region.
	maxLoanWait = 120 * time.Millisecond
	// maxLoan is the largest number of permits requested from one lender at once.
	maxLoan = 1000
	// bucketIdleTimeout is the time without requests after which an account's bucket is
	// dropped. The bucket is full by then, unless the account's burst takes longer to fill.
	bucketIdleTimeout = time.Minute
)

// Grant is the reply to a request for permits.
type Grant struct {
	// N is the number of permits granted. It is less than requested if the owner has no
	// more.
	N int `msgpack:"n,omitempty"`
	// Lifetime is how long the permits may be used, counted from when they were requested.
	Lifetime time.Duration `msgpack:"l,omitempty"`
	// MoreFollows means that another reply to the same request follows, because permits
	// are being borrowed from other domains or the bucket is about to be refilled.
	MoreFollows bool `msgpack:"m,omitempty"`
	// RetryAfter is the time until the next permit is expected, if fewer permits were
	// granted than requested.
	RetryAfter time.Duration `msgpack:"w,omitempty"`
	// NotOwner means that the replying instance does not own the account's share.
	NotOwner bool `msgpack:"f,omitempty"`
}

// IssueRequest is an instance's request for permits, as the issuer receives it.
type IssueRequest struct {
	// From is the requesting instance. At is the time of the request on that instance's
	// clock, and is returned in the reply.
	From string
	At   int64
	N    int
}

// Reply is a reply to the instance that requested permits.
type Reply struct {
	To      string
	At      int64
	Account string
	Grant   Grant
}

// LoanRequest is an owner's request for permits to the owner in another domain.
type LoanRequest struct {
	Account string
	// Lender is the owner that the request is sent to.
	Lender Owner
	N      int
}

// Issuer issues permits from the shares that an instance owns. It is not safe for
// concurrent use.
type Issuer struct {
	bound     Bound
	startedAt time.Time
	// firstStart is set if the process started with the first start of the whole system.
	firstStart bool
	ownership  ownership
	buckets    map[string]*bucket
	// queued is the number of requests that wait for loans or for a refill.
	queued int
	// scaleDenials makes denials last longer the more the demand exceeds the limit.
	scaleDenials bool
}

// bucket is the token bucket of one account, with its loans and its queue.
type bucket struct {
	limit Limit
	// lifetime is the lifetime of the permits that are issued.
	lifetime   time.Duration
	tokens     float64
	refilledAt time.Time
	usedAt     time.Time
	// borrowed are permits from other domains.
	borrowed batches
	// demand is the rate at which the own domain requests permits.
	demand rateEstimate

	lenders    []lender
	owners     *Owners
	borrowedAt time.Time
	// queue holds the requests that wait for permits. Replies to loan requests are
	// awaited until loanDeadline.
	queue []queuedRequest
	// queuedPermits is the number of permits that the queued requests still lack.
	queuedPermits int
	loanDeadline  time.Time
}

// queuedRequest is a request that waits for loans or for a refill.
type queuedRequest struct {
	IssueRequest
	deadline time.Time
}

// lender is the owner of the account's share in another domain.
type lender struct {
	Owner
	emptyUntil time.Time
	// gaveLast is set if the last request to the lender brought permits.
	gaveLast bool
}

// bootstrapTime is the time after the first start of the whole system during which shares
// pass to a new owner without the handover delay. Instances are added to the store one by
// one in this time, and few permits have been issued.
const bootstrapTime = 10 * time.Second

// NewIssuer returns the issuer of a process that started at startedAt. FirstStart is true
// if the whole system starts for the first time.
func NewIssuer(bound Bound, startedAt time.Time, firstStart bool) *Issuer {
	return &Issuer{bound: bound, startedAt: startedAt, firstStart: firstStart, ownership: ownership{handoverDelay: handoverDelay}, buckets: make(map[string]*bucket)}
}

// SetOwners replaces the owners as of now.
func (i *Issuer) SetOwners(now time.Time, owners *Owners) {
	if i.firstStart && now.Sub(i.startedAt) < bootstrapTime {
		i.ownership = ownership{handoverDelay: i.ownership.handoverDelay}
	}
	i.ownership.set(now, owners)
}

// Issue handles a request from an instance of the own domain for permits of an account with
// the given limit. It returns the reply and the loan requests to send.
func (i *Issuer) Issue(now time.Time, account string, limit Limit, request IssueRequest) (Reply, []LoanRequest) {
	reply := Reply{To: request.From, At: request.At, Account: account}
	if !i.ownership.owns(now, account) {
		reply.Grant.NotOwner = true
		return reply, nil
	}
	b := i.bucket(now, account, limit)
	b.demand.add(now, request.N)
	reply.Grant = i.grant(now, b, request.N)
	requests := i.borrow(now, account, b)
	if len(requests) > 0 {
		b.loanDeadline = now.Add(maxLoanWait)
	}
	request.N -= reply.Grant.N
	if until, ok := b.queueDeadline(now, request.N); ok {
		reply.Grant.MoreFollows = true
		b.queue = append(b.queue, queuedRequest{IssueRequest: request, deadline: until})
		b.queuedPermits += request.N
		i.queued++
	}
	return reply, requests
}

// queueDeadline reports whether a request that still lacks n permits is queued, and until
// when. It waits for outstanding loans, or for a refill that is due soon.
func (b *bucket) queueDeadline(now time.Time, n int) (time.Time, bool) {
	switch {
	case n == 0:
		return time.Time{}, false
	case now.Before(b.loanDeadline):
		return b.loanDeadline, true
	case b.timeToTokens(float64(b.queuedPermits+1)) <= maxRefillWait:
		return now.Add(maxRefillWait), true
	default:
		return time.Time{}, false
	}
}

// grant takes up to n permits. It takes borrowed permits first, because they expire, and then
// tokens from the bucket.
func (i *Issuer) grant(now time.Time, b *bucket, n int) Grant {
	grant := Grant{Lifetime: b.lifetime}
	borrowed, until := b.borrowed.take(now, n)
	if borrowed > 0 {
		grant.Lifetime = min(grant.Lifetime, until.Sub(now))
	}
	own := min(n-borrowed, int(b.tokens))
	b.tokens -= float64(own)
	grant.N = borrowed + own
	switch {
	case grant.N >= n:
	case i.scaleDenials:
		grant.RetryAfter = b.scaledDenial(now)
	default:
		grant.RetryAfter = b.timeToTokens(1)
	}
	return grant
}

// serveQueue answers the queued requests in order, with the permits that are available. If they
// are too few for the first request, it gets them with MoreFollows set and stays queued until it
// has all its permits or its deadline passes.
func (i *Issuer) serveQueue(now time.Time, account string, b *bucket) []Reply {
	var out []Reply
	i.refill(now, b)
	for len(b.queue) > 0 {
		first := &b.queue[0]
		grant := i.grant(now, b, first.N)
		first.N -= grant.N
		b.queuedPermits -= grant.N
		due := first.N == 0 || !now.Before(first.deadline)
		if !due && grant.N == 0 {
			break
		}
		grant.MoreFollows = !due
		out = append(out, Reply{To: first.From, At: first.At, Account: account, Grant: grant})
		if !due {
			break
		}
		b.queuedPermits -= first.N
		b.queue = b.queue[1:]
		i.queued--
	}
	return out
}

// Queued returns the number of requests that wait for loans or for a refill.
func (i *Issuer) Queued() int { return i.queued }

// Tick answers queued requests that can be served or whose deadline has passed. The caller
// calls it periodically while Queued is not 0.
func (i *Issuer) Tick(now time.Time) []Reply {
	var out []Reply
	for account, b := range i.buckets {
		if len(b.queue) > 0 {
			out = append(out, i.serveQueue(now, account, b)...)
		}
	}
	return out
}

// Lend grants up to n permits of an account to the account's owner in another domain. It
// grants only permits that the own domain does not need.
func (i *Issuer) Lend(now time.Time, account string, limit Limit, n int) Grant {
	if !i.ownership.owns(now, account) {
		return Grant{NotOwner: true}
	}
	b := i.bucket(now, account, limit)
	spare := b.tokens - b.demand.value(now)*lendReserveTime.Seconds()
	lent := max(0, min(n, int(spare)))
	b.tokens -= float64(lent)
	grant := Grant{N: lent, Lifetime: b.lifetime}
	if lent < n {
		grant.RetryAfter = b.timeToTokens(1)
	}
	return grant
}

// timeToTokens returns the time until the bucket holds k tokens, at most maxWait.
func (b *bucket) timeToTokens(k float64) time.Duration {
	if b.limit.Rate <= 0 {
		return maxWait
	}
	return min(maxWait, time.Duration(math.Max(0, k-b.tokens)/b.limit.Rate*float64(time.Second)))
}

// maxWait is the upper bound of the waiting times in replies.
const maxWait = 5 * time.Second

// initialTokens is the content of a new bucket at the time when the process started or the
// owners were last replaced. It is bounded by the burst of the share. With one token, a single request is not refused. A full bucket
// would issue again what the previous process has just issued.
const initialTokens = 1

// bucket returns the account's bucket, refilled up to now. A new bucket counts as having
// been refilled since the process started or since ownership last changed, whichever is later.
func (i *Issuer) bucket(now time.Time, account string, limit Limit) *bucket {
	b := i.buckets[account]
	if b == nil {
		since := i.ownership.changedAt
		if since.Before(i.startedAt) {
			since = i.startedAt
		}
		b = &bucket{refilledAt: since, tokens: initialTokens}
		i.buckets[account] = b
	}
	b.usedAt = now
	b.limit = i.bound.share(limit, i.ownership.current().Shares())
	b.lifetime = i.bound.PermitLifetime(limit)
	i.refill(now, b)
	return b
}

// refill adds the tokens that have accrued since the last refill.
func (i *Issuer) refill(now time.Time, b *bucket) {
	b.tokens = min(b.limit.Burst, b.tokens+b.limit.Rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// AccountUse is the utilization of one account's share.
type AccountUse struct {
	Account string
	// Utilization is the rate at which permits are requested, divided by the rate of the
	// share.
	Utilization float64
}

// Busiest returns the n accounts with the highest utilization, in descending order.
func (i *Issuer) Busiest(now time.Time, n int) []AccountUse {
	uses := make([]AccountUse, 0, len(i.buckets))
	for account, b := range i.buckets {
		if b.limit.Rate > 0 {
			uses = append(uses, AccountUse{Account: account, Utilization: b.demand.value(now) / b.limit.Rate})
		}
	}
	slices.SortFunc(uses, func(a, b AccountUse) int {
		return cmp.Or(cmp.Compare(b.Utilization, a.Utilization), cmp.Compare(a.Account, b.Account))
	})
	return uses[:min(n, len(uses))]
}

// EvictIdle drops the buckets of accounts without recent requests.
func (i *Issuer) EvictIdle(now time.Time) {
	for account, b := range i.buckets {
		if now.Sub(b.usedAt) >= bucketIdleTimeout && len(b.queue) == 0 {
			delete(i.buckets, account)
		}
	}
}

// borrow returns the loan requests to send if the available permits do not last for
// borrowThresholdTime at the rate of demand.
func (i *Issuer) borrow(now time.Time, account string, b *bucket) []LoanRequest {
	demand := b.demand.value(now)
	available := b.tokens + b.limit.Rate*now.Sub(b.refilledAt).Seconds() + float64(b.borrowed.count(now))
	if available >= max(1, demand*borrowThresholdTime.Seconds()) || demand < 1 || now.Sub(b.borrowedAt) < minBorrowInterval {
		return nil
	}
	missing := max(b.queuedPermits, int(math.Ceil(demand*borrowHorizon.Seconds()-available)))
	lenders := i.availableLenders(now, account, b)
	if missing <= 0 || len(lenders) == 0 {
		return nil
	}
	b.borrowedAt = now
	lenders = lenders[:min(len(lenders), missing)]
	each := min(maxLoan, (missing+len(lenders)-1)/len(lenders))
	out := make([]LoanRequest, 0, len(lenders))
	for _, l := range lenders {
		out = append(out, LoanRequest{Account: account, Lender: l.Owner, N: each})
	}
	return out
}

// availableLenders returns the lenders that may have permits to spare. Those that lent permits
// the last time come first.
func (i *Issuer) availableLenders(now time.Time, account string, b *bucket) []*lender {
	if current := i.ownership.current(); b.owners != current {
		b.owners = current
		b.lenders = b.lenders[:0]
		for _, owner := range current.lenders(account) {
			b.lenders = append(b.lenders, lender{Owner: owner})
		}
	}
	var gaveLast, others []*lender
	for k := range b.lenders {
		l := &b.lenders[k]
		switch {
		case now.Before(l.emptyUntil):
		case l.gaveLast:
			gaveLast = append(gaveLast, l)
		default:
			others = append(others, l)
		}
	}
	return append(gaveLast, others...)
}

// HandleLoan processes a lender's reply to a loan request that was sent at
// requestedAt. It returns the replies to queued requests and the loan requests to send next.
func (i *Issuer) HandleLoan(now, requestedAt time.Time, account, from string, grant Grant) ([]Reply, []LoanRequest) {
	b := i.buckets[account]
	if b == nil {
		return nil, nil
	}
	until := requestedAt.Add(min(grant.Lifetime, b.lifetime))
	if grant.N > 0 && now.Before(until) {
		b.borrowed.add(grant.N, until)
	}
	for k := range b.lenders {
		l := &b.lenders[k]
		if l.Name != from {
			continue
		}
		l.gaveLast = grant.N > 0
		if !l.gaveLast {
			l.emptyUntil = now.Add(emptyLenderBackoff)
		}
	}
	replies := i.serveQueue(now, account, b)
	if b.queuedPermits == 0 || grant.N > 0 {
		return replies, nil
	}
	// This lender had no spare permits. Another lender may have some.
	b.borrowedAt = time.Time{}
	return replies, i.borrow(now, account, b)
}
