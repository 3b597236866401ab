package rollout

import (
	"slices"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

const (
	// stageTTL is for how long a stage holds that the leader does not tell again. A leader tells
	// it each beatTime.
	stageTTL = 2500 * time.Millisecond
	// reportInterval is the time between two reports of an instance, and quickReportTime the same
	// while more than a few requests go to new targets.
	reportInterval     = 500 * time.Millisecond
	fastReportInterval = 200 * time.Millisecond
	// maxObservations bounds the observations in a report, and those that are kept for the next leader.
	maxObservations = 64
)

// Follower is the part of one instance in the rollout of a service. It is not safe for concurrent
// use.
type Follower struct {
	self string
	// samplePoint is the instance's place among those that take part before the requests move, in
	// [0, 1).
	samplePoint float64

	order     Order
	startedAt time.Time
	verdict   State
	// withdrawn says that the order is no longer there.
	withdrawn bool

	stage   Stage
	heardAt time.Time

	sent, sentNew uint32
	// pendingOld and observed are what the leader has not been told, and reportedOld and told what it has: the
	// next leader needs that too.
	pendingOld, reportedOld map[uint16]*Tally
	pendingNew, reportedNew Observations
	reportedAt              time.Time
	// dirty says that there is something to report, and movedTold is the stage of which the leader
	// was told that all requests here have moved.
	dirty         bool
	movedReported uint32
}

// NewFollower returns the part of an instance in the rollout of an order that it knows from now on.
func NewFollower(now time.Time, self string, order Order) *Follower {
	return &Follower{
		self:        self,
		samplePoint: mix.Unit(mix.Join(mix.Hash(self), uint64(order.ID()))),
		order:       order,
		startedAt:   now,
		pendingOld:  make(map[uint16]*Tally),
		reportedOld: make(map[uint16]*Tally),
		dirty:       true,
	}
}

// Order returns the order.
func (f *Follower) Order() Order { return f.order }

// Stage returns the latest stage that is known.
func (f *Follower) Stage() Stage { return f.stage }

// Verdict returns the verdict that the store holds, or the state Running.
func (f *Follower) Verdict() State {
	if f.verdict.IsFinal() {
		return f.verdict
	}
	return Running
}

// StartedAt returns when the order was first known, as far as is known here.
func (f *Follower) StartedAt() time.Time { return f.startedAt }

// SetState takes in what the store says of the order.
func (f *Follower) SetState(state State) {
	if f.verdict.IsFinal() {
		return
	}
	f.verdict = state
}

// Reissue takes in that the store holds the same order as given at another time: it had lost it. What
// is known of it holds.
func (f *Follower) Reissue(order Order) {
	f.order, f.stage.Order = order, order.ID()
	f.withdrawn = false
}

// Withdraw takes in that the order is no longer in the store. Without a verdict the version gets
// nothing any more.
func (f *Follower) Withdraw() { f.withdrawn = true }

// HandleStage takes in a stage that the leader tells. It reports whether it is a new one.
func (f *Follower) HandleStage(now time.Time, s Stage) bool {
	if s.Order != f.order.ID() {
		return false
	}
	if startedAt := now.Add(-s.Age); startedAt.Before(f.startedAt) {
		f.startedAt = startedAt
	}
	if !s.supersedes(f.stage) {
		return false
	}
	changed := s.Number != f.stage.Number || s.Phase != f.stage.Phase
	if s.Leader != f.stage.Leader || s.Term != f.stage.Term {
		f.requeueReported()
	}
	f.stage, f.heardAt = s, now
	f.dirty = f.dirty || changed
	return changed
}

// requeueReported has all that the leader before was told be told to the next one, which may be the same
// instance.
func (f *Follower) requeueReported() {
	f.dirty = true
	for route, t := range f.reportedOld {
		addTally(f.pendingOld, route, t)
	}
	f.pendingNew = append(f.reportedNew, f.pendingNew...)
	f.reportedOld, f.reportedNew = make(map[uint16]*Tally), nil
}

// Split returns the part of the service's requests that this instance sends to new targets now, and
// until when that holds unless something is heard meanwhile, zero if for good.
func (f *Follower) Split(now time.Time) (Split, time.Time) {
	split := Split{Version: f.order.Version}
	switch {
	case f.verdict == Succeeded:
		split.KeyShare, split.RequestShare, split.TargetShare, split.Ended = 1, 1, 1, true
		return split, time.Time{}
	case f.verdict == RolledBack || f.stage.Phase == Reverted || f.withdrawn:
		split.Ended = true
		return split, time.Time{}
	}
	until := f.heardAt.Add(stageTTL)
	if f.heardAt.IsZero() || !now.Before(until) {
		return split, time.Time{}
	}
	if f.stage.Phase < Moving && f.samplePoint >= f.stage.InstanceShare {
		return split, until
	}
	split.KeyShare, split.RequestShare, split.TargetShare = f.stage.KeyShare, f.stage.RequestShare, f.stage.TargetShare
	return split, until
}

// RecordSent counts a request that is sent to a target.
func (f *Follower) RecordSent(toNew bool) {
	f.sent++
	f.dirty = true
	if toNew {
		f.sentNew++
	}
}

// RecordOld takes in that a request at an old target has ended that tells of the version.
func (f *Follower) RecordOld(o Observation) {
	f.dirty = true
	tally := &Tally{Route: o.Route}
	if o.Outcome == Answered {
		tally.Answered, tally.Latencies = 1, LatencyHistogram{o.Latency: 1}
	} else {
		tally.Failed = 1
	}
	addTally(f.pendingOld, o.Route, tally)
}

// addTally adds a tally to that of a route.
func addTally(to map[uint16]*Tally, route uint16, t *Tally) {
	total := to[route]
	if total == nil {
		total = &Tally{Route: route, Latencies: make(LatencyHistogram, len(t.Latencies))}
		to[route] = total
	}
	total.add(*t)
}

// RecordNew takes in that a request at a new target has ended that tells of the version.
func (f *Follower) RecordNew(o Observation) {
	f.dirty = true
	if len(f.pendingNew) < maxObservations {
		f.pendingNew = append(f.pendingNew, o)
	}
}

// Report returns what the leader is to be told now, and its peer address, if it is time. AtOld is
// the number of requests of this instance that are at old targets.
func (f *Follower) Report(now time.Time, atOld int) (Report, string, bool) {
	if !f.shouldReport(now, atOld) {
		return Report{}, "", false
	}
	r := Report{Order: f.order.ID(), From: f.self, Stage: f.stage.Number, Sent: f.sent, SentNew: f.sentNew, InFlightOld: atOld, New: f.pendingNew}
	for _, t := range f.pendingOld {
		r.Old = append(r.Old, *t)
	}
	slices.SortFunc(r.Old, func(a, b Tally) int { return int(a.Route) - int(b.Route) })
	for route, t := range f.pendingOld {
		addTally(f.reportedOld, route, t)
	}
	f.reportedNew = append(f.reportedNew, f.pendingNew...)
	f.reportedNew = f.reportedNew[max(0, len(f.reportedNew)-maxObservations):]
	f.pendingOld, f.pendingNew = make(map[uint16]*Tally), nil
	f.reportedAt, f.dirty = now, false
	if f.stage.Phase == Moved && atOld == 0 {
		f.movedReported = f.stage.Number
	}
	return r, f.stage.Leader, true
}

// shouldReport tells whether this instance shouldReport now: those that take part from the beginning do, and
// each once when its requests have moved.
func (f *Follower) shouldReport(now time.Time, atOld int) bool {
	if f.stage.Leader == "" || f.Verdict().IsFinal() {
		return false
	}
	if f.stage.Phase == Moved && atOld == 0 && f.movedReported != f.stage.Number {
		return true
	}
	interval := reportInterval
	if f.stage.Phase == Moving || f.stage.Phase == Moved {
		interval = fastReportInterval
	}
	return f.samplePoint < f.stage.InstanceShare && f.dirty && now.Sub(f.reportedAt) >= interval
}
