package rollout

import (
	"slices"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

const (
	// stageLife is for how long a stage holds that the leader does not tell again. A leader tells
	// it each beatTime.
	stageLife = 2500 * time.Millisecond
	// reportTime is the time between two reports of an instance, and quickReportTime the same
	// while more than a few requests go to new targets.
	reportTime      = 500 * time.Millisecond
	quickReportTime = 200 * time.Millisecond
	// maxReported bounds the observations in a report, and those that are kept for the next leader.
	maxReported = 64
)

// Follower is the part of one instance in the rollout of a service. It is not safe for concurrent
// use.
type Follower struct {
	self string
	// participant is the instance's place among those that take part before the requests move, in
	// [0, 1).
	participant float64

	order   Order
	since   time.Time
	verdict State
	// withdrawn says that the order is no longer there.
	withdrawn bool

	stage   Stage
	heardAt time.Time

	sent, sentNew uint32
	// old and observed are what the leader has not been told, and toldOld and told what it has: the
	// next leader needs that too.
	old, toldOld   map[uint16]*Tally
	observed, told Observations
	reportedAt     time.Time
	// news says that there is something to report, and movedTold is the stage of which the leader
	// was told that all requests here have moved.
	news      bool
	movedTold uint32
}

// NewFollower returns the part of an instance in the rollout of an order that it knows from now on.
func NewFollower(now time.Time, self string, order Order) *Follower {
	return &Follower{
		self:        self,
		participant: mix.Unit(mix.Join(mix.Hash(self), uint64(order.ID()))),
		order:       order,
		since:       now,
		old:         make(map[uint16]*Tally),
		toldOld:     make(map[uint16]*Tally),
		news:        true,
	}
}

// Order returns the order.
func (f *Follower) Order() Order { return f.order }

// Stage returns the latest stage that is known.
func (f *Follower) Stage() Stage { return f.stage }

// Verdict returns the verdict that the store holds, or the state Running.
func (f *Follower) Verdict() State {
	if f.verdict.IsVerdict() {
		return f.verdict
	}
	return Running
}

// Since returns when the order was first known, as far as is known here.
func (f *Follower) Since() time.Time { return f.since }

// Learn takes in what the store says of the order.
func (f *Follower) Learn(state State) {
	if f.verdict.IsVerdict() {
		return
	}
	f.verdict = state
}

// GivenAgain takes in that the store holds the same order as given at another time: it had lost it. What
// is known of it holds.
func (f *Follower) GivenAgain(order Order) {
	f.order, f.stage.Order = order, order.ID()
	f.withdrawn = false
}

// Withdraw takes in that the order is no longer in the store. Without a verdict the version gets
// nothing any more.
func (f *Follower) Withdraw() { f.withdrawn = true }

// Hear takes in a stage that the leader tells. It reports whether it is a new one.
func (f *Follower) Hear(now time.Time, s Stage) bool {
	if s.Order != f.order.ID() {
		return false
	}
	if at := now.Add(-s.Age); at.Before(f.since) {
		f.since = at
	}
	if !s.overrides(f.stage) {
		return false
	}
	changed := s.Number != f.stage.Number || s.Phase != f.stage.Phase
	if s.Leader != f.stage.Leader || s.Term != f.stage.Term {
		f.tellAgain()
	}
	f.stage, f.heardAt = s, now
	f.news = f.news || changed
	return changed
}

// tellAgain has all that the leader before was told be told to the next one, which may be the same
// instance.
func (f *Follower) tellAgain() {
	f.news = true
	for route, t := range f.toldOld {
		addTally(f.old, route, t)
	}
	f.observed = append(f.told, f.observed...)
	f.toldOld, f.told = make(map[uint16]*Tally), nil
}

// Split returns the part of the service's requests that this instance sends to new targets now, and
// until when that holds unless something is heard meanwhile, zero if for good.
func (f *Follower) Split(now time.Time) (Split, time.Time) {
	split := Split{Version: f.order.Version}
	switch {
	case f.verdict == Succeeded:
		split.Keys, split.Draw, split.Targets, split.Over = 1, 1, 1, true
		return split, time.Time{}
	case f.verdict == RolledBack || f.stage.Phase == Back || f.withdrawn:
		split.Over = true
		return split, time.Time{}
	}
	until := f.heardAt.Add(stageLife)
	if f.heardAt.IsZero() || !now.Before(until) {
		return split, time.Time{}
	}
	if f.stage.Phase < Moving && f.participant >= f.stage.Senders {
		return split, until
	}
	split.Keys, split.Draw, split.Targets = f.stage.Keys, f.stage.Draw, f.stage.Targets
	return split, until
}

// Sent counts a request that is sent to a target.
func (f *Follower) Sent(toNew bool) {
	f.sent++
	f.news = true
	if toNew {
		f.sentNew++
	}
}

// EndedOld takes in that a request at an old target has ended that tells of the version.
func (f *Follower) EndedOld(o Observation) {
	f.news = true
	one := &Tally{Route: o.Route}
	if o.Outcome == Answered {
		one.Answered, one.Times = 1, Times{o.Took: 1}
	} else {
		one.Failed = 1
	}
	addTally(f.old, o.Route, one)
}

// addTally adds a tally to that of a route.
func addTally(to map[uint16]*Tally, route uint16, t *Tally) {
	held := to[route]
	if held == nil {
		held = &Tally{Route: route, Times: make(Times, len(t.Times))}
		to[route] = held
	}
	held.add(*t)
}

// EndedNew takes in that a request at a new target has ended that tells of the version.
func (f *Follower) EndedNew(o Observation) {
	f.news = true
	if len(f.observed) < maxReported {
		f.observed = append(f.observed, o)
	}
}

// Report returns what the leader is to be told now, and its peer address, if it is time. AtOld is
// the number of requests of this instance that are at old targets.
func (f *Follower) Report(now time.Time, atOld int) (Report, string, bool) {
	if !f.reports(now, atOld) {
		return Report{}, "", false
	}
	r := Report{Order: f.order.ID(), From: f.self, Stage: f.stage.Number, Sent: f.sent, SentNew: f.sentNew, AtOld: atOld, New: f.observed}
	for _, t := range f.old {
		r.Old = append(r.Old, *t)
	}
	slices.SortFunc(r.Old, func(a, b Tally) int { return int(a.Route) - int(b.Route) })
	for route, t := range f.old {
		addTally(f.toldOld, route, t)
	}
	f.told = append(f.told, f.observed...)
	f.told = f.told[max(0, len(f.told)-maxReported):]
	f.old, f.observed = make(map[uint16]*Tally), nil
	f.reportedAt, f.news = now, false
	if f.stage.Phase == Moved && atOld == 0 {
		f.movedTold = f.stage.Number
	}
	return r, f.stage.Leader, true
}

// reports tells whether this instance reports now: those that take part from the beginning do, and
// each once when its requests have moved.
func (f *Follower) reports(now time.Time, atOld int) bool {
	if f.stage.Leader == "" || f.Verdict().IsVerdict() {
		return false
	}
	if f.stage.Phase == Moved && atOld == 0 && f.movedTold != f.stage.Number {
		return true
	}
	every := reportTime
	if f.stage.Phase == Moving || f.stage.Phase == Moved {
		every = quickReportTime
	}
	return f.participant < f.stage.Senders && f.news && now.Sub(f.reportedAt) >= every
}
