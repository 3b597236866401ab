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
func (i *Issuer) Issue(now time.Time, account string, limit Limit, c IssueRequest) (Reply, []LoanRequest) {
	reply := Reply{To: c.From, At: c.At, Account: account}
	if !i.ownership.owns(now, account) {
		reply.Grant.NotOwner = true
		return reply, nil
	}
	p := i.bucket(now, account, limit)
	p.demand.add(now, c.N)
	reply.Grant = i.grant(now, p, c.N)
	loans := i.borrow(now, account, p)
	if len(loans) > 0 {
		p.loanDeadline = now.Add(maxLoanWait)
	}
	c.N -= reply.Grant.N
	if until, ok := p.queueDeadline(now, c.N); ok {
		reply.Grant.MoreFollows = true
		p.queue = append(p.queue, queuedRequest{IssueRequest: c, deadline: until})
		p.queuedPermits += c.N
		i.queued++
	}
	return reply, loans
}

// queueDeadline tells whether a claim on n permits that were not there is to wait, and until
// when: for loans under way, or for the bucket if that has enough soon.
func (p *bucket) queueDeadline(now time.Time, n int) (time.Time, bool) {
	switch {
	case n == 0:
		return time.Time{}, false
	case now.Before(p.loanDeadline):
		return p.loanDeadline, true
	case p.timeToTokens(float64(p.queuedPermits+1)) <= maxRefillWait:
		return now.Add(maxRefillWait), true
	default:
		return time.Time{}, false
	}
}

// grant takes permits that were borrowed, since these end, then from the bucket.
func (i *Issuer) grant(now time.Time, p *bucket, n int) Grant {
	issue := Grant{Lifetime: p.lifetime}
	borrowed, until := p.borrowed.take(now, n)
	if borrowed > 0 {
		issue.Lifetime = min(issue.Lifetime, until.Sub(now))
	}
	own := min(n-borrowed, int(p.tokens))
	p.tokens -= float64(own)
	issue.N = borrowed + own
	switch {
	case issue.N >= n:
	case i.scaleDenials:
		issue.RetryAfter = p.scaledDenial(now)
	default:
		issue.RetryAfter = p.timeToTokens(1)
	}
	return issue
}

// serveQueue answers the claims that wait for loans, as far as there are permits and the loans
// are due.
func (i *Issuer) serveQueue(now time.Time, account string, p *bucket) []Reply {
	var out []Reply
	i.refill(now, p)
	for len(p.queue) > 0 {
		first := &p.queue[0]
		issue := i.grant(now, p, first.N)
		first.N -= issue.N
		p.queuedPermits -= issue.N
		due := first.N == 0 || !now.Before(first.deadline)
		if !due && issue.N == 0 {
			break
		}
		issue.MoreFollows = !due
		out = append(out, Reply{To: first.From, At: first.At, Account: account, Grant: issue})
		if !due {
			break
		}
		p.queuedPermits -= first.N
		p.queue = p.queue[1:]
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
	for account, p := range i.buckets {
		if len(p.queue) > 0 {
			out = append(out, i.serveQueue(now, account, p)...)
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
	p := i.bucket(now, account, limit)
	spare := p.tokens - p.demand.value(now)*lendReserveTime.Seconds()
	given := max(0, min(n, int(spare)))
	p.tokens -= float64(given)
	issue := Grant{N: given, Lifetime: p.lifetime}
	if given < n {
		issue.RetryAfter = p.timeToTokens(1)
	}
	return issue
}

// timeToTokens is the time until the bucket holds k permits.
func (p *bucket) timeToTokens(k float64) time.Duration {
	if p.limit.Rate <= 0 {
		return maxWait
	}
	return min(maxWait, time.Duration(math.Max(0, k-p.tokens)/p.limit.Rate*float64(time.Second)))
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
	p := i.buckets[account]
	if p == nil {
		since := i.ownership.changedAt
		if since.Before(i.startedAt) {
			since = i.startedAt
		}
		p = &bucket{refilledAt: since, tokens: initialTokens}
		i.buckets[account] = p
	}
	p.usedAt = now
	p.limit = i.bound.share(limit, i.ownership.current().Shares())
	p.lifetime = i.bound.PermitLifetime(limit)
	i.refill(now, p)
	return p
}

// refill fills the bucket up to now.
func (i *Issuer) refill(now time.Time, p *bucket) {
	p.tokens = min(p.limit.Burst, p.tokens+p.limit.Rate*now.Sub(p.refilledAt).Seconds())
	p.refilledAt = now
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
	for account, p := range i.buckets {
		if p.limit.Rate > 0 {
			uses = append(uses, AccountUse{Account: account, Utilization: p.demand.value(now) / p.limit.Rate})
		}
	}
	slices.SortFunc(uses, func(a, b AccountUse) int {
		return cmp.Or(cmp.Compare(b.Utilization, a.Utilization), cmp.Compare(a.Account, b.Account))
	})
	return uses[:min(n, len(uses))]
}

// EvictIdle drops what is known of accounts that nobody has asked for of late.
func (i *Issuer) EvictIdle(now time.Time) {
	for account, p := range i.buckets {
		if now.Sub(p.usedAt) >= bucketIdleTimeout && len(p.queue) == 0 {
			delete(i.buckets, account)
		}
	}
}

// borrow returns the questions to owners of other domains, if the part is asked for at a
// higher rate than its permits last.
func (i *Issuer) borrow(now time.Time, account string, p *bucket) []LoanRequest {
	asked := p.demand.value(now)
	held := p.tokens + p.limit.Rate*now.Sub(p.refilledAt).Seconds() + float64(p.borrowed.count(now))
	if held >= max(1, asked*borrowThresholdTime.Seconds()) || asked < 1 || now.Sub(p.borrowedAt) < minBorrowInterval {
		return nil
	}
	missing := max(p.queuedPermits, int(math.Ceil(asked*borrowHorizon.Seconds()-held)))
	lenders := i.availableLenders(now, account, p)
	if missing <= 0 || len(lenders) == 0 {
		return nil
	}
	p.borrowedAt = now
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
func (i *Issuer) availableLenders(now time.Time, account string, p *bucket) []*lender {
	if current := i.ownership.current(); p.owners != current {
		p.owners = current
		p.lenders = p.lenders[:0]
		for _, owner := range current.lenders(account) {
			p.lenders = append(p.lenders, lender{Owner: owner})
		}
	}
	var gave, others []*lender
	for k := range p.lenders {
		l := &p.lenders[k]
		switch {
		case now.Before(l.emptyUntil):
		case l.gaveLast:
			gave = append(gave, l)
		default:
			others = append(others, l)
		}
	}
	return append(gave, others...)
}

// HandleLoan takes in what a lender gave. AskedAt is when it was asked.
// It returns the answers to claims that waited, and the questions to lenders that follow.
func (i *Issuer) HandleLoan(now, askedAt time.Time, account, from string, issue Grant) ([]Reply, []LoanRequest) {
	p := i.buckets[account]
	if p == nil {
		return nil, nil
	}
	until := askedAt.Add(min(issue.Lifetime, p.lifetime))
	if issue.N > 0 && now.Before(until) {
		p.borrowed.add(issue.N, until)
	}
	for k := range p.lenders {
		l := &p.lenders[k]
		if l.Name != from {
			continue
		}
		l.gaveLast = issue.N > 0
		if !l.gaveLast {
			l.emptyUntil = now.Add(emptyLenderBackoff)
		}
	}
	replies := i.serveQueue(now, account, p)
	if p.queuedPermits == 0 || issue.N > 0 {
		return replies, nil
	}
	// The lender had nothing to spare: the next one may have.
	p.borrowedAt = time.Time{}
	return replies, i.borrow(now, account, p)
}
