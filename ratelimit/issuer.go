package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// lendReserveTime is the time for which an owner keeps permits for its own domain before
	// it lends any, at the rate at which its domain asks.
	lendReserveTime = 100 * time.Millisecond
	// borrowThresholdTime is the time for which the permits of an owner have to last, at the rate at
	// which its domain asks. With fewer it borrows: the answer from another region takes
	// about half of that.
	borrowThresholdTime = 200 * time.Millisecond
	// borrowHorizon is the time for which it borrows.
	borrowHorizon = 300 * time.Millisecond
	// minBorrowInterval is the shortest time between two loans of an account, and emptyFor how
	// long a lender that had nothing to spare is passed over.
	minBorrowInterval  = 100 * time.Millisecond
	emptyLenderBackoff = 300 * time.Millisecond
	// maxRefillWait is how long claims wait for the bucket to be filled.
	maxRefillWait = 50 * time.Millisecond
	// maxLoanWait is how long claims wait for loans: the way to another region and back.
	maxLoanWait = 120 * time.Millisecond
	// maxLoan bounds the permits that are borrowed from one lender at once.
	maxLoan = 1000
	// bucketIdleTimeout is when the bucket of an account that nobody asks for is dropped. It
	// is full by then unless the account's burst takes longer to fill.
	bucketIdleTimeout = time.Minute
)

// Grant is the answer to a question for permits.
type Grant struct {
	// N permits are given, fewer than asked for or none if there are no more.
	N int `msgpack:"n,omitempty"`
	// Lifetime is how long they may be used, from when they were asked for.
	Lifetime time.Duration `msgpack:"l,omitempty"`
	// MoreFollows says that another answer to the question follows: other domains are asked.
	MoreFollows bool `msgpack:"m,omitempty"`
	// RetryAfter is when the next permit is expected, if fewer were given than asked for.
	RetryAfter time.Duration `msgpack:"w,omitempty"`
	// NotOwner says that this instance does not own the account's part.
	NotOwner bool `msgpack:"f,omitempty"`
}

// IssueRequest is a question of an instance for permits.
type IssueRequest struct {
	// From is the asker, and At its own time, which the answer brings back.
	From string
	At   int64
	N    int
}

// Reply is an answer on its way to an instance.
type Reply struct {
	To      string
	At      int64
	Account string
	Grant   Grant
}

// LoanRequest is a question of an owner to that of another domain.
type LoanRequest struct {
	Account string
	// Lender is the lender.
	Lender Owner
	N      int
}

// Issuer issues the permits of the parts that an instance owns. It is not safe for
// concurrent use.
type Issuer struct {
	bound     Bound
	startedAt time.Time
	// firstStart says that the whole system starts for the first time.
	firstStart bool
	ownership  ownership
	buckets    map[string]*bucket
	// queued is the number of claims that wait for loans.
	queued int
	// scaleDenials says that those who ask in vain are denied the longer the more there are.
	scaleDenials bool
}

// bucket is what an owner knows of one account.
type bucket struct {
	limit Limit
	// lifetime is that of the permits.
	lifetime   time.Duration
	tokens     float64
	refilledAt time.Time
	usedAt     time.Time
	// borrowed are permits of other domains.
	borrowed batches
	// demand is the rate at which the own domain asks.
	demand rateEstimate

	lenders    []lender
	owners     *Owners
	borrowedAt time.Time
	// queue are the claims that wait for loans, which are due until loanUntil.
	queue []queuedRequest
	// queuedPermits is the sum of what they claim.
	queuedPermits int
	loanDeadline  time.Time
}

// queuedRequest is a claim that waits for loans.
type queuedRequest struct {
	IssueRequest
	deadline time.Time
}

// lender is an owner of another domain.
type lender struct {
	Owner
	emptyUntil time.Time
	// gaveLast says that the last question brought permits.
	gaveLast bool
}

// bootstrapTime is the time from the first start of the whole system on in which parts pass
// from one owner to the next at once: instances are listed one by one then, and what has
// been issued is little.
const bootstrapTime = 10 * time.Second

// NewIssuer returns the issuer of a process that started at a time, maybe with the whole
// system for the first time.
func NewIssuer(bound Bound, startedAt time.Time, firstStart bool) *Issuer {
	return &Issuer{bound: bound, startedAt: startedAt, firstStart: firstStart, ownership: ownership{handoverDelay: handoverDelay}, buckets: make(map[string]*bucket)}
}

// SetOwners puts owners in force.
func (i *Issuer) SetOwners(now time.Time, owners *Owners) {
	if i.firstStart && now.Sub(i.startedAt) < bootstrapTime {
		i.ownership = ownership{handoverDelay: i.ownership.handoverDelay}
	}
	i.ownership.set(now, owners)
}

// Issue answers a claim of an instance of the own domain on an account whose limit is
// given. It returns the questions to owners of other domains that follow.
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

// queueDeadline tells whether a claim on n permits that were not there is to wait, and until
// when: for loans under way, or for the bucket if that has enough soon.
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

// grant takes permits that were borrowed, since these end, then from the bucket.
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

// serveQueue answers the claims that wait for loans, as far as there are permits and the loans
// are due.
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

// Queued returns the number of claims that wait for loans.
func (i *Issuer) Queued() int { return i.queued }

// Tick answers the claims whose loans are not coming. It is to be called while Queued is
// not 0.
func (i *Issuer) Tick(now time.Time) []Reply {
	var out []Reply
	for account, b := range i.buckets {
		if len(b.queue) > 0 {
			out = append(out, i.serveQueue(now, account, b)...)
		}
	}
	return out
}

// Lend gives at most n permits of an account to the owner of its part in another domain:
// those that the own domain does not need.
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

// timeToTokens is the time until the bucket holds k permits.
func (b *bucket) timeToTokens(k float64) time.Duration {
	if b.limit.Rate <= 0 {
		return maxWait
	}
	return min(maxWait, time.Duration(math.Max(0, k-b.tokens)/b.limit.Rate*float64(time.Second)))
}

// maxWait bounds the times that are told.
const maxWait = 5 * time.Second

// initialTokens is what the bucket of an account holds when the process starts or the part
// comes to it: one request need not be refused for that, and a full bucket would hand out
// again what the process before has just handed out.
const initialTokens = 1

// bucket returns the account's bucket with its bucket filled up to now. The bucket of an
// account that was not asked for yet is taken to have been filled since the start, or
// since the bucket may have come to this instance.
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

// refill fills the bucket up to now.
func (i *Issuer) refill(now time.Time, b *bucket) {
	b.tokens = min(b.limit.Burst, b.tokens+b.limit.Rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// AccountUse is how much of an account's part is asked for.
type AccountUse struct {
	Account string
	// Utilization is the rate at which permits are asked for, over that of the part.
	Utilization float64
}

// Busiest returns the n accounts of whose parts most is asked for, the highest first.
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

// EvictIdle drops what is known of accounts that nobody has asked for of late.
func (i *Issuer) EvictIdle(now time.Time) {
	for account, b := range i.buckets {
		if now.Sub(b.usedAt) >= bucketIdleTimeout && len(b.queue) == 0 {
			delete(i.buckets, account)
		}
	}
}

// borrow returns the questions to owners of other domains, if the part is asked for at a
// higher rate than its permits last.
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

// availableLenders returns the owners that may have permits to spare: those that gave some the
// last time first.
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

// HandleLoan takes in what a lender gave. AskedAt is when it was asked.
// It returns the answers to claims that waited, and the questions to lenders that follow.
func (i *Issuer) HandleLoan(now, askedAt time.Time, account, from string, grant Grant) ([]Reply, []LoanRequest) {
	b := i.buckets[account]
	if b == nil {
		return nil, nil
	}
	until := askedAt.Add(min(grant.Lifetime, b.lifetime))
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
	// The lender had nothing to spare: the next one may have.
	b.borrowedAt = time.Time{}
	return replies, i.borrow(now, account, b)
}
