package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// reserveTime is the time for which an owner keeps permits for its own domain before
	// it lends any, at the rate at which its domain asks.
	reserveTime = 100 * time.Millisecond
	// lowTime is the time for which the permits of an owner have to last, at the rate at
	// which its domain asks. With fewer it borrows: the answer from another region takes
	// about half of that.
	lowTime = 200 * time.Millisecond
	// borrowTime is the time for which it borrows.
	borrowTime = 300 * time.Millisecond
	// borrowEvery is the shortest time between two loans of an account, and emptyFor how
	// long a lender that had nothing to spare is passed over.
	borrowEvery = 100 * time.Millisecond
	emptyFor    = 300 * time.Millisecond
	// refillTime is how long claims wait for the bucket to be filled.
	refillTime = 50 * time.Millisecond
	// loanTime is how long claims wait for loans: the way to another region and back.
	loanTime = 120 * time.Millisecond
	// maxBorrow bounds the permits that are borrowed from one lender at once.
	maxBorrow = 1000
	// partForgotten is when the bucket of an account that nobody asks for is dropped. It
	// is full by then unless the account's burst takes longer to fill.
	partForgotten = time.Minute
)

// Issue is the answer to a question for permits.
type Issue struct {
	// N permits are given, fewer than asked for or none if there are no more.
	N int `msgpack:"n,omitempty"`
	// Life is how long they may be used, from when they were asked for.
	Life time.Duration `msgpack:"l,omitempty"`
	// More says that another answer to the question follows: other domains are asked.
	More bool `msgpack:"m,omitempty"`
	// Wait is when the next permit is expected, if fewer were given than asked for.
	Wait time.Duration `msgpack:"w,omitempty"`
	// Foreign says that this instance does not own the account's part.
	Foreign bool `msgpack:"f,omitempty"`
}

// Claim is a question of an instance for permits.
type Claim struct {
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
	Issue   Issue
}

// Loan is a question of an owner to that of another domain.
type Loan struct {
	Account string
	// From is the lender.
	From Owner
	N    int
}

// Issuer issues the permits of the parts that an instance owns. It is not safe for
// concurrent use.
type Issuer struct {
	bound     Bound
	startedAt time.Time
	// firstStart says that the whole system starts for the first time.
	firstStart bool
	tenure     tenure
	parts      map[string]*part
	// queued is the number of claims that wait for loans.
	queued int
	// crowds says that those who ask in vain are denied the longer the more there are.
	crowds bool
}

// part is what an owner knows of one account.
type part struct {
	limit Limit
	// life is that of the permits.
	life   time.Duration
	tokens float64
	at     time.Time
	usedAt time.Time
	// borrowed are permits of other domains.
	borrowed lots
	// asked is the rate at which the own domain asks.
	asked rate

	lenders    []lender
	owners     *Owners
	borrowedAt time.Time
	// queue are the claims that wait for loans, which are due until loanUntil.
	queue []queued
	// wanted is the sum of what they claim.
	wanted    int
	loanUntil time.Time
}

// queued is a claim that waits for loans.
type queued struct {
	Claim
	until time.Time
}

// lender is an owner of another domain.
type lender struct {
	Owner
	emptyUntil time.Time
	// gave says that the last question brought permits.
	gave bool
}

// gatherTime is the time from the first start of the whole system on in which parts pass
// from one owner to the next at once: instances are listed one by one then, and what has
// been issued is little.
const gatherTime = 10 * time.Second

// NewIssuer returns the issuer of a process that started at a time, maybe with the whole
// system for the first time.
func NewIssuer(bound Bound, startedAt time.Time, firstStart bool) *Issuer {
	return &Issuer{bound: bound, startedAt: startedAt, firstStart: firstStart, tenure: tenure{time: tenureTime}, parts: make(map[string]*part)}
}

// SetOwners puts owners in force.
func (i *Issuer) SetOwners(now time.Time, owners *Owners) {
	if i.firstStart && now.Sub(i.startedAt) < gatherTime {
		i.tenure = tenure{time: i.tenure.time}
	}
	i.tenure.set(now, owners)
}

// Issue answers a claim of an instance of the own domain on an account whose limit is
// given. It returns the questions to owners of other domains that follow.
func (i *Issuer) Issue(now time.Time, account string, limit Limit, c Claim) (Reply, []Loan) {
	reply := Reply{To: c.From, At: c.At, Account: account}
	if !i.tenure.owns(now, account) {
		reply.Issue.Foreign = true
		return reply, nil
	}
	p := i.part(now, account, limit)
	p.asked.add(now, c.N)
	reply.Issue = i.give(now, p, c.N)
	loans := i.borrow(now, account, p)
	if len(loans) > 0 {
		p.loanUntil = now.Add(loanTime)
	}
	c.N -= reply.Issue.N
	if until, ok := p.queueUntil(now, c.N); ok {
		reply.Issue.More = true
		p.queue = append(p.queue, queued{Claim: c, until: until})
		p.wanted += c.N
		i.queued++
	}
	return reply, loans
}

// queueUntil tells whether a claim on n permits that were not there is to wait, and until
// when: for loans under way, or for the bucket if that has enough soon.
func (p *part) queueUntil(now time.Time, n int) (time.Time, bool) {
	switch {
	case n == 0:
		return time.Time{}, false
	case now.Before(p.loanUntil):
		return p.loanUntil, true
	case p.wait(float64(p.wanted+1)) <= refillTime:
		return now.Add(refillTime), true
	default:
		return time.Time{}, false
	}
}

// give takes permits that were borrowed, since these end, then from the bucket.
func (i *Issuer) give(now time.Time, p *part, n int) Issue {
	issue := Issue{Life: p.life}
	borrowed, until := p.borrowed.take(now, n)
	if borrowed > 0 {
		issue.Life = min(issue.Life, until.Sub(now))
	}
	own := min(n-borrowed, int(p.tokens))
	p.tokens -= float64(own)
	issue.N = borrowed + own
	switch {
	case issue.N >= n:
	case i.crowds:
		issue.Wait = p.crowdWait(now)
	default:
		issue.Wait = p.wait(1)
	}
	return issue
}

// serve answers the claims that wait for loans, as far as there are permits and the loans
// are due.
func (i *Issuer) serve(now time.Time, account string, p *part) []Reply {
	var out []Reply
	i.fill(now, p)
	for len(p.queue) > 0 {
		first := &p.queue[0]
		issue := i.give(now, p, first.N)
		first.N -= issue.N
		p.wanted -= issue.N
		due := first.N == 0 || !now.Before(first.until)
		if !due && issue.N == 0 {
			break
		}
		issue.More = !due
		out = append(out, Reply{To: first.From, At: first.At, Account: account, Issue: issue})
		if !due {
			break
		}
		p.wanted -= first.N
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
	for account, p := range i.parts {
		if len(p.queue) > 0 {
			out = append(out, i.serve(now, account, p)...)
		}
	}
	return out
}

// Lend gives at most n permits of an account to the owner of its part in another domain:
// those that the own domain does not need.
func (i *Issuer) Lend(now time.Time, account string, limit Limit, n int) Issue {
	if !i.tenure.owns(now, account) {
		return Issue{Foreign: true}
	}
	p := i.part(now, account, limit)
	spare := p.tokens - p.asked.now(now)*reserveTime.Seconds()
	given := max(0, min(n, int(spare)))
	p.tokens -= float64(given)
	issue := Issue{N: given, Life: p.life}
	if given < n {
		issue.Wait = p.wait(1)
	}
	return issue
}

// wait is the time until the bucket holds k permits.
func (p *part) wait(k float64) time.Duration {
	if p.limit.Rate <= 0 {
		return maxWait
	}
	return min(maxWait, time.Duration(math.Max(0, k-p.tokens)/p.limit.Rate*float64(time.Second)))
}

// maxWait bounds the times that are told.
const maxWait = 5 * time.Second

// firstTokens is what the bucket of an account holds when the process starts or the part
// comes to it: one request need not be refused for that, and a full bucket would hand out
// again what the process before has just handed out.
const firstTokens = 1

// part returns the account's part with its bucket filled up to now. The bucket of an
// account that was not asked for yet is taken to have been filled since the start, or
// since the part may have come to this instance.
func (i *Issuer) part(now time.Time, account string, limit Limit) *part {
	p := i.parts[account]
	if p == nil {
		since := i.tenure.changedAt
		if since.Before(i.startedAt) {
			since = i.startedAt
		}
		p = &part{at: since, tokens: firstTokens}
		i.parts[account] = p
	}
	p.usedAt = now
	p.limit = i.bound.part(limit, i.tenure.current().Parts())
	p.life = i.bound.Life(limit)
	i.fill(now, p)
	return p
}

// fill fills the bucket up to now.
func (i *Issuer) fill(now time.Time, p *part) {
	p.tokens = min(p.limit.Burst, p.tokens+p.limit.Rate*now.Sub(p.at).Seconds())
	p.at = now
}

// Use is how much of an account's part is asked for.
type Use struct {
	Account string
	// Share is the rate at which permits are asked for, over that of the part.
	Share float64
}

// Busiest returns the n accounts of whose parts most is asked for, the highest first.
func (i *Issuer) Busiest(now time.Time, n int) []Use {
	uses := make([]Use, 0, len(i.parts))
	for account, p := range i.parts {
		if p.limit.Rate > 0 {
			uses = append(uses, Use{Account: account, Share: p.asked.now(now) / p.limit.Rate})
		}
	}
	slices.SortFunc(uses, func(a, b Use) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Account, b.Account))
	})
	return uses[:min(n, len(uses))]
}

// Forget drops what is known of accounts that nobody has asked for of late.
func (i *Issuer) Forget(now time.Time) {
	for account, p := range i.parts {
		if now.Sub(p.usedAt) >= partForgotten && len(p.queue) == 0 {
			delete(i.parts, account)
		}
	}
}

// borrow returns the questions to owners of other domains, if the part is asked for at a
// higher rate than its permits last.
func (i *Issuer) borrow(now time.Time, account string, p *part) []Loan {
	asked := p.asked.now(now)
	held := p.tokens + p.limit.Rate*now.Sub(p.at).Seconds() + float64(p.borrowed.count(now))
	if held >= max(1, asked*lowTime.Seconds()) || asked < 1 || now.Sub(p.borrowedAt) < borrowEvery {
		return nil
	}
	missing := max(p.wanted, int(math.Ceil(asked*borrowTime.Seconds()-held)))
	lenders := i.lendersOf(now, account, p)
	if missing <= 0 || len(lenders) == 0 {
		return nil
	}
	p.borrowedAt = now
	lenders = lenders[:min(len(lenders), missing)]
	each := min(maxBorrow, (missing+len(lenders)-1)/len(lenders))
	out := make([]Loan, 0, len(lenders))
	for _, l := range lenders {
		out = append(out, Loan{Account: account, From: l.Owner, N: each})
	}
	return out
}

// lendersOf returns the owners that may have permits to spare: those that gave some the
// last time first.
func (i *Issuer) lendersOf(now time.Time, account string, p *part) []*lender {
	if current := i.tenure.current(); p.owners != current {
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
		case l.gave:
			gave = append(gave, l)
		default:
			others = append(others, l)
		}
	}
	return append(gave, others...)
}

// Borrowed takes in what a lender gave. AskedAt is when it was asked.
// It returns the answers to claims that waited, and the questions to lenders that follow.
func (i *Issuer) Borrowed(now, askedAt time.Time, account, from string, issue Issue) ([]Reply, []Loan) {
	p := i.parts[account]
	if p == nil {
		return nil, nil
	}
	until := askedAt.Add(min(issue.Life, p.life))
	if issue.N > 0 && now.Before(until) {
		p.borrowed.add(issue.N, until)
	}
	for k := range p.lenders {
		l := &p.lenders[k]
		if l.Name != from {
			continue
		}
		l.gave = issue.N > 0
		if !l.gave {
			l.emptyUntil = now.Add(emptyFor)
		}
	}
	replies := i.serve(now, account, p)
	if p.wanted == 0 || issue.N > 0 {
		return replies, nil
	}
	// The lender had nothing to spare: the next one may have.
	p.borrowedAt = time.Time{}
	return replies, i.borrow(now, account, p)
}
