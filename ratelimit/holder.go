package ratelimit

import (
	"math"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

const (
	// nearTimeout and farTimeout are how long the answer of an owner of the own or of
	// another region is waited for. Between regions the way there and back takes 70 to
	// 110 ms.
	nearTimeout = 50 * time.Millisecond
	farTimeout  = 150 * time.Millisecond
	// moreTimeout is how long the next answer of an owner is waited for that said that
	// another one follows.
	moreTimeout = loanTime + nearTimeout
	// maxTries bounds the owners that are asked for one request.
	maxTries = 3
	// silentFor is how long an owner that did not answer is passed over, and foreignFor
	// how long one that says that it does not own the part.
	silentFor  = time.Second
	foreignFor = 500 * time.Millisecond

	// aheadTime is the time for which permits are asked for ahead of need, and lowShare
	// the part of them below which more are asked for.
	aheadTime = 250 * time.Millisecond
	lowShare  = 0.4
	// aheadFrom is the number of requests in a permit's life from which on permits are
	// asked for ahead of need. Of fewer requests many would come too late for theirs.
	aheadFrom = 3

	// leastDenial and mostDenial bound the time for which an instance that got none
	// refuses without asking again.
	leastDenial = 10 * time.Millisecond
	mostDenial  = 100 * time.Millisecond
	// leastGot bounds the rate of permits that a forecast is made from, in 1/s.
	leastGot = 0.5
	// heldForgotten is when an account without requests is forgotten.
	heldForgotten = 30 * time.Second
)

// Verdict is the kind of an answer to a request for a permit.
type Verdict int

// The verdicts.
const (
	// Admit means that the request has a permit.
	Admit Verdict = iota
	// Wait means that an owner is asked; an Answer with the request's ID follows unless it
	// is cancelled.
	Wait
	// Refuse means that the account is beyond its limit.
	Refuse
	// Unknown means that no owner could be asked.
	Unknown
)

// Answer ends a request for a permit.
type Answer struct {
	ID      uint64
	Verdict Verdict
	// Until is how long the permit may be used.
	Until time.Time
	// RetryAfter is when there is room again, after a refusal.
	RetryAfter time.Duration
	// Owner is the instance that was asked last, Used the rate of the account's requests
	// here and Got that of permits, in 1/s, to explain a refusal.
	Owner     string
	Used, Got float64
}

// Ask is a question to the owner of an account's part.
type Ask struct {
	Account string
	To      Owner
	N       int
	// At is when it is asked. The answer is told by it.
	At time.Time
}

// Holder holds the permits of an instance. It is not safe for concurrent use.
type Holder struct {
	owners *Owners
	held   map[string]*held
	// asking is the number of accounts whose owner's answer is due.
	asking int
	// silences are of the owners that are passed over, by name.
	silences map[string]silence
	// salt tells the instances' drawn times apart.
	salt uint64
	// mostDenial bounds the time for which an instance that got none refuses without asking.
	mostDenial time.Duration
}

// held is what an instance knows of one account.
type held struct {
	permits lots
	// life is that of the last permits.
	life time.Duration
	// used is the rate of requests, and got that of permits.
	used, got rate
	waiting   []uint64
	// asking is set while an owner's answer is due.
	asking  bool
	ask     Ask
	askedAt time.Time
	// dueAt is when the answer should be there.
	dueAt time.Time
	tries int

	deniedUntil time.Time
	// denials is the number of requests refused since the last permit.
	denials int

	owners       []Owner
	from         *Owners
	foreignUntil map[string]time.Time
	usedAt       time.Time
}

// NewHolder returns a holder without permits for the instance of a name.
func NewHolder(name string) *Holder {
	return &Holder{held: make(map[string]*held), silences: make(map[string]silence), salt: mix.Hash(name), mostDenial: mostDenial}
}

// SetOwners puts owners in force.
func (h *Holder) SetOwners(owners *Owners) { h.owners = owners }

// Take asks for a permit for a request of an account, and returns what to ask owners.
func (h *Holder) Take(now time.Time, id uint64, account string) (Answer, []Ask) {
	a := h.account(account)
	a.usedAt = now
	a.used.add(now, 1)
	if n, until := a.permits.take(now, 1); n > 0 {
		return Answer{ID: id, Verdict: Admit, Until: until}, h.ahead(now, account, a)
	}
	if now.Before(a.deniedUntil) {
		return h.deny(now, a, id), nil
	}
	a.waiting = append(a.waiting, id)
	if a.asking {
		return Answer{ID: id, Verdict: Wait}, nil
	}
	a.tries = 0
	answers, asks := h.next(now, account, a)
	if len(answers) > 0 {
		return answers[0], nil
	}
	return Answer{ID: id, Verdict: Wait}, asks
}

func (h *Holder) account(name string) *held {
	a := h.held[name]
	if a == nil {
		a = &held{}
		h.held[name] = a
	}
	return a
}

// Return gives back the permit of a request that was not sent.
func (h *Holder) Return(now time.Time, account string, until time.Time) {
	if a := h.held[account]; a != nil && now.Before(until) {
		a.permits.add(1, until)
	}
}

// Cancel ends the wait of a request.
func (h *Holder) Cancel(account string, id uint64) {
	a := h.held[account]
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

// setAsking notes whether an owner's answer is due for an account.
func (h *Holder) setAsking(a *held, asking bool) {
	switch {
	case asking && !a.asking:
		h.asking++
	case !asking && a.asking:
		h.asking--
	}
	a.asking = asking
}

// ahead returns the question for permits ahead of need, if there is to be one.
func (h *Holder) ahead(now time.Time, account string, a *held) []Ask {
	used := a.used.now(now)
	if a.asking || now.Before(a.deniedUntil) || used*a.life.Seconds() < aheadFrom {
		return nil
	}
	wanted := used * min(aheadTime, a.life/2).Seconds()
	if float64(a.permits.count(now)) >= lowShare*wanted {
		return nil
	}
	a.tries = 0
	_, asks := h.next(now, account, a)
	return asks
}

// wanted is how many permits to ask for: for the requests that wait, and ahead of need.
func (h *Holder) wanted(now time.Time, a *held) int {
	used := a.used.now(now)
	n := len(a.waiting)
	if used*a.life.Seconds() >= aheadFrom {
		n += int(math.Ceil(used*min(aheadTime, a.life/2).Seconds())) - a.permits.count(now)
	}
	return max(n, 1)
}

// next asks the next owner, or ends the wait of all requests if there is none left.
func (h *Holder) next(now time.Time, account string, a *held) ([]Answer, []Ask) {
	owner, ok := h.ownerFor(now, account, a)
	if !ok || a.tries >= maxTries {
		h.setAsking(a, false)
		return h.answerAll(a, h.explain(now, a, Answer{Verdict: Unknown, RetryAfter: silentFor})), nil
	}
	a.tries++
	h.setAsking(a, true)
	a.askedAt, a.dueAt = now, now.Add(farTimeout)
	if owner.Near {
		a.dueAt = now.Add(nearTimeout)
	}
	a.ask = Ask{Account: account, To: owner, N: h.wanted(now, a), At: now}
	return nil, []Ask{a.ask}
}

// ownerFor returns the nearest owner that is not known to be of no use.
func (h *Holder) ownerFor(now time.Time, account string, a *held) (Owner, bool) {
	if h.owners == nil {
		return Owner{}, false
	}
	if a.from != h.owners {
		a.from, a.owners = h.owners, h.owners.Of(account)
	}
	for _, owner := range a.owners {
		if now.Before(h.silences[owner.Name].until) || now.Before(a.foreignUntil[owner.Name]) {
			continue
		}
		return owner, true
	}
	return Owner{}, false
}

func (h *Holder) answerAll(a *held, answer Answer) []Answer {
	out := make([]Answer, 0, len(a.waiting))
	for _, id := range a.waiting {
		answer.ID = id
		out = append(out, answer)
	}
	a.waiting = a.waiting[:0]
	return out
}

// Hear takes in the answer of an owner to a question that was asked at a time. It returns
// the ends of requests that waited, and what to ask next.
func (h *Holder) Hear(now, askedAt time.Time, account, from string, issue Issue) ([]Answer, []Ask) {
	a := h.held[account]
	if a == nil {
		return nil, nil
	}
	delete(h.silences, from)
	if until := askedAt.Add(min(issue.Life, maxLife)); issue.N > 0 && now.Before(until) {
		a.permits.add(issue.N, until)
		a.life = issue.Life
		a.got.add(now, issue.N)
		a.denials = 0
	}
	due := a.asking && a.ask.To.Name == from && a.askedAt.Equal(askedAt)
	if due && issue.Foreign {
		if a.foreignUntil == nil {
			a.foreignUntil = make(map[string]time.Time)
		}
		a.foreignUntil[from] = now.Add(foreignFor)
		return h.next(now, account, a)
	}
	answers := h.serveWaiting(now, a)
	if !due {
		return answers, nil
	}
	if issue.More {
		a.ask.N -= issue.N
		a.dueAt = now.Add(moreTimeout)
		return answers, nil
	}
	h.setAsking(a, false)
	if issue.N < a.ask.N {
		a.deniedUntil = now.Add(min(max(issue.Wait, leastDenial), h.mostDenial))
	}
	if len(a.waiting) == 0 {
		return answers, nil
	}
	if issue.N < a.ask.N {
		for _, id := range a.waiting {
			answers = append(answers, h.deny(now, a, id))
		}
		a.waiting = a.waiting[:0]
		return answers, nil
	}
	a.tries = 0
	more, asks := h.next(now, account, a)
	return append(answers, more...), asks
}

// serveWaiting gives the permits held to the requests that wait.
func (h *Holder) serveWaiting(now time.Time, a *held) []Answer {
	var out []Answer
	for len(a.waiting) > 0 {
		n, until := a.permits.take(now, 1)
		if n == 0 {
			break
		}
		out = append(out, Answer{ID: a.waiting[0], Verdict: Admit, Until: until})
		a.waiting = a.waiting[1:]
	}
	return out
}

// deny refuses a request. It is told to come back when those refused before it are served,
// at the rate at which permits come, and spread so that those refused together do not come
// together.
func (h *Holder) deny(now time.Time, a *held, id uint64) Answer {
	a.denials++
	wait := a.deniedUntil.Sub(now).Seconds() + float64(a.denials)/max(a.got.now(now), leastGot)
	wait *= 1 + mix.Unit(mix.Join(id, h.salt))/2
	after := min(time.Duration(wait*float64(time.Second)), maxWait)
	return h.explain(now, a, Answer{ID: id, Verdict: Refuse, RetryAfter: max(after, leastDenial)})
}

// explain adds what decided to a refusal.
func (h *Holder) explain(now time.Time, a *held, answer Answer) Answer {
	answer.Owner, answer.Used, answer.Got = a.ask.To.Name, a.used.now(now), a.got.now(now)
	return answer
}

// Forget drops what is known of accounts without requests.
func (h *Holder) Forget(now time.Time) {
	for name, a := range h.held {
		if !a.asking && now.Sub(a.usedAt) >= heldForgotten {
			delete(h.held, name)
		}
	}
	for name, s := range h.silences {
		if !s.unanswered && !now.Before(s.until) {
			delete(h.silences, name)
		}
	}
}

// Unreachable passes over an owner that refused a connection, and asks the next one for
// the requests that wait for its answer.
func (h *Holder) Unreachable(now time.Time, owner string) (answers []Answer, asks []Ask) {
	h.silences[owner] = silence{until: now.Add(silentFor)}
	for name, a := range h.held {
		if !a.asking || a.ask.To.Name != owner {
			continue
		}
		if len(a.waiting) == 0 {
			h.setAsking(a, false)
			continue
		}
		ended, asked := h.next(now, name, a)
		answers, asks = append(answers, ended...), append(asks, asked...)
	}
	return answers, asks
}
