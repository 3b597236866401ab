package rollout

import (
	"slices"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

const (
	// stageTTL is the time from the last announcement of a stage to its expiry. An instance then
	// returns to the old targets. A leader repeats the announcement every HeartbeatInterval.
	stageTTL = 2500 * time.Millisecond
	// reportInterval is the time between two reports of an instance. fastReportInterval replaces it
	// in the phases Moving and Moved, in which new targets get more than a few requests.
	reportInterval     = 500 * time.Millisecond
	fastReportInterval = 200 * time.Millisecond
	// maxObservations limits the observations at new targets: RecordNew drops further ones while so
	// many are pending, and so many reported ones are kept for the next leader. After a change of
	// the leader both kinds are pending, so that a report may hold twice as many.
	maxObservations = 64
)

// Follower tracks the rollout of a service at one instance. It is not safe for concurrent use.
type Follower struct {
	self string
	// samplePoint is a pseudo-random number in [0, 1) that is fixed by the instance and the order.
	// The instance takes part in the canary stages if samplePoint is below the InstanceShare of the
	// stage.
	samplePoint float64

	order     Order
	startedAt time.Time
	// verdict is the last state from the store up to the first final one. Only a final state is a
	// verdict.
	verdict State
	// withdrawn reports whether the order has been removed from the store.
	withdrawn bool

	stage Stage
	// heardAt is the time of the last announcement of stage.
	heardAt time.Time

	// sent counts the requests since the order was seen, and sentNew those of them to new targets.
	sent, sentNew uint32
	// pendingOld and pendingNew hold the outcomes at old targets, by route, and at new targets that
	// are not yet reported. reportedOld and reportedNew have been sent to the current leader and
	// are sent again to the next one.
	pendingOld, reportedOld map[uint16]*Tally
	pendingNew, reportedNew Observations
	reportedAt              time.Time
	// hasUnreported reports whether there is anything to report. movedReportedStage is the number
	// of the stage for which the instance has reported that none of its requests is at an old
	// target.
	hasUnreported      bool
	movedReportedStage uint32
}

// NewFollower returns the follower of an order that the instance self first saw at time now.
func NewFollower(now time.Time, self string, order Order) *Follower {
	return &Follower{
		self:          self,
		samplePoint:   mix.Unit(mix.Combine(mix.Hash(self), uint64(order.ID()))),
		order:         order,
		startedAt:     now,
		pendingOld:    make(map[uint16]*Tally),
		reportedOld:   make(map[uint16]*Tally),
		hasUnreported: true,
	}
}

// Order returns the order that the follower tracks, as of the last Reissue.
func (f *Follower) Order() Order { return f.order }

// Stage returns the stage that HandleStage adopted last, or the zero Stage if there is none.
func (f *Follower) Stage() Stage { return f.stage }

// Verdict returns the verdict that is recorded in the store, or Running if there is none.
func (f *Follower) Verdict() State {
	if f.verdict.IsFinal() {
		return f.verdict
	}
	return Running
}

// StartedAt returns the earliest time at which an instance has seen the order, as far as this
// instance knows.
func (f *Follower) StartedAt() time.Time { return f.startedAt }

// SetState records the state that the store holds for the order. It has no effect
// once that state is final.
func (f *Follower) SetState(state State) {
	if f.verdict.IsFinal() {
		return
	}
	f.verdict = state
}

// Reissue replaces the order by one with the same content and another generation, which was
// written to the store after the store had lost the order. The progress of the rollout is kept.
func (f *Follower) Reissue(order Order) {
	f.order, f.stage.Order = order, order.ID()
	f.withdrawn = false
}

// Withdraw records that the order has been removed from the store. Unless the rollout
// has succeeded, this instance then sends no more requests to the new targets.
func (f *Follower) Withdraw() { f.withdrawn = true }

// HandleStage adopts a stage that a leader has announced, unless it belongs to another order or
// does not supersede the current stage. It reports whether the number or the phase of the current
// stage has changed.
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
	f.hasUnreported = f.hasUnreported || changed
	return changed
}

// requeueReported marks everything that was sent to the previous leader as pending again. The next
// leader needs this even if the same instance leads again, since a leader starts without
// observations.
func (f *Follower) requeueReported() {
	f.hasUnreported = true
	for route, t := range f.reportedOld {
		addTally(f.pendingOld, route, t)
	}
	f.pendingNew = append(f.reportedNew, f.pendingNew...)
	f.reportedOld, f.reportedNew = make(map[uint16]*Tally), nil
}

// Split returns the traffic split of this instance at time now, and the time until which it holds
// if no further announcement arrives. That time is zero if the split does not expire: after the
// verdict, a rollback or a withdrawal, and while there is no announced stage that has not expired.
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

// RecordSent counts a request that was sent to a target of the service, a new one if toNew is set.
func (f *Follower) RecordSent(toNew bool) {
	f.sent++
	f.hasUnreported = true
	if toNew {
		f.sentNew++
	}
}

// RecordOld records the outcome of a request at an old target. The caller leaves out outcomes that
// show nothing about the version of the target, such as a disconnection of the client.
func (f *Follower) RecordOld(o Observation) {
	f.hasUnreported = true
	tally := &Tally{Route: o.Route}
	if o.Outcome == Answered {
		tally.Answered, tally.Latencies = 1, LatencyHistogram{o.Latency: 1}
	} else {
		tally.Failed = 1
	}
	addTally(f.pendingOld, o.Route, tally)
}

// addTally adds a tally to the total of its route.
func addTally(to map[uint16]*Tally, route uint16, t *Tally) {
	total := to[route]
	if total == nil {
		total = &Tally{Route: route, Latencies: make(LatencyHistogram, len(t.Latencies))}
		to[route] = total
	}
	total.add(*t)
}

// RecordNew records the outcome of a request at a new target, unless maxObservations are pending.
// The caller leaves out outcomes that show nothing about the version of the target, as for
// RecordOld.
func (f *Follower) RecordNew(o Observation) {
	f.hasUnreported = true
	if len(f.pendingNew) < maxObservations {
		f.pendingNew = append(f.pendingNew, o)
	}
}

// Report returns the report that is due at time now and the peer address of the leader, or false if
// none is due. It marks the contents of the report as reported. The argument inFlightOld is the
// number of requests of this instance in flight at old targets.
func (f *Follower) Report(now time.Time, inFlightOld int) (Report, string, bool) {
	if !f.shouldReport(now, inFlightOld) {
		return Report{}, "", false
	}
	r := Report{Order: f.order.ID(), From: f.self, Stage: f.stage.Number, Sent: f.sent, SentNew: f.sentNew, InFlightOld: inFlightOld, New: f.pendingNew}
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
	f.reportedAt, f.hasUnreported = now, false
	if f.stage.Phase == Moved && inFlightOld == 0 {
		f.movedReportedStage = f.stage.Number
	}
	return r, f.stage.Leader, true
}

// shouldReport reports whether a report is due. An instance whose samplePoint is below the
// InstanceShare of the stage reports while there is something to report, at most once in
// reportInterval, or in fastReportInterval in the phases Moving and Moved. In the phase Moved, each
// instance also reports once for each stage number that none of its requests is at an old target
// any more.
func (f *Follower) shouldReport(now time.Time, inFlightOld int) bool {
	if f.stage.Leader == "" || f.Verdict().IsFinal() {
		return false
	}
	if f.stage.Phase == Moved && inFlightOld == 0 && f.movedReportedStage != f.stage.Number {
		return true
	}
	interval := reportInterval
	if f.stage.Phase == Moving || f.stage.Phase == Moved {
		interval = fastReportInterval
	}
	return f.samplePoint < f.stage.InstanceShare && f.hasUnreported && now.Sub(f.reportedAt) >= interval
}
