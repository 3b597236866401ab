package rollout

import (
	"slices"
	"time"
)

// ExposureBound is what is promised of a version that turns out to be bad.
type ExposureBound struct {
	// Share is the part of a service's requests that may reach it from the order to the end of
	// the order's duration, and Slack the number on top of that.
	Share, Slack float64
}

// DefaultExposureBound is what is promised where nothing else is set.
var DefaultExposureBound = ExposureBound{Share: 0.1, Slack: 50}

// FleetState is what the leader knows of the fleet.
type FleetState struct {
	// Instances is the number of instances that take requests, as far as is known.
	Instances int
	// Rate is the number of requests for the service at all instances, in 1/s.
	Rate float64
	// OldSlots and NewSlots are those of the targets that serve, and Utilization the part of the old
	// ones that is in use.
	OldSlots, NewSlots, Utilization float64
}

// The times of a rollout, as parts of its duration: canaryEnd and bakeEnd are when the stages of a few
// requests end at the earliest, moveStartDeadline and moveStepDeadline are when the moving begins and goes on though enough
// was not seen, if nothing speaks against the version, and verdictDeadline is when the verdict is written, which
// leaves time for a store that is slow.
const (
	canaryEnd         = 0.25
	bakeEnd           = 0.5
	moveStartDeadline = 0.6
	moveStepDeadline  = 0.75
	verdictDeadline   = 0.85
	// minStepTime and mostStep bound how long a moving stage has to last.
	minStepTime = 300 * time.Millisecond
	maxStepTime = time.Minute
)

const (
	// HeartbeatInterval is the time in which a leader tells the stage again.
	HeartbeatInterval = 500 * time.Millisecond
	// sampleRate is the number of requests a second that are wanted at new targets before requests
	// move, and mostShare the largest part of all requests that are sent there for it.
	sampleRate     = 60.0
	maxCanaryShare = 0.5
	// minRate is the number of requests a second that is taken for a service without any.
	minRate = 0.1
	// canaryShareFraction and canarySlackFraction are the parts of the bound that are used before requests
	// move. The rest is for a version that turns bad then.
	canaryShareFraction, canarySlackFraction = 0.2, 0.3
	// canaryKeyFactor is how many times the part of the keys is that of the requests in the canary
	// stage: of each of its keys, some requests stay at the old targets, so that one key that is
	// asked for often does not exceed the bound before that is known.
	canaryKeyFactor = 4.0
	// maxReportRate is the number of reports a second that a leader takes.
	maxReportRate = 128.0
	// maxFill is the part of the new targets' slots that may be filled by moving requests.
	maxFill = 0.85
	// minUtilization is taken for the usage of the old targets' slots if less is seen.
	minUtilization = 0.2
	// stageLLR is the logarithm of the odds that a stage of moving requests has to show. Where fewer
	// observations than fewSeen are to be expected, leastSeen of them are enough.
	stageLLR            = 2.0
	smallSample         = 30
	smallSampleFraction = 0.5
)

// movingShares are the parts of the requests that go to new targets in the moving stages, and movingStepFractions
// how long each stage has to last, as parts of the order's duration. In the first the new targets
// get to know most objects while most requests for them still run at old ones. It lasts for longer
// than a request that is not answered, so that a version that has turned bad shows in it.
var (
	movingShares        = [...]float64{0.1, 0.3, 1}
	movingStepFractions = [...]float64{0.12, 0.08, 0.05}
)

// Leader decides on the stages of a rollout. It is not safe for concurrent use.
type Leader struct {
	bound     ExposureBound
	order     Order
	startedAt time.Time
	analyzer  *Analyzer
	stage     Stage
	// stageStart is when the stage began, seenBefore the number of observations then, and announcedAt when
	// it was last told.
	stageStart, announcedAt time.Time
	observedBefore          int
	step                    int
	announced               bool
	verdict                 State
	lastReports             map[string]lastReport
	// canaryShare is the part of the requests that new targets are to get before requests move.
	canaryShare float64
	assessment  Assessment
	rate        rateEstimator
}

// lastReport is what an instance has reported last.
type lastReport struct {
	sent, sentNew uint32
	stage         uint32
	inFlightOld   int
}

// NewLeader returns a leader that goes on with what an instance knows of a rollout. Addr is the peer
// address that is told reports.
func NewLeader(now time.Time, addr string, f *Follower, bound ExposureBound) *Leader {
	l := &Leader{
		bound:       bound,
		order:       f.order,
		startedAt:   f.startedAt,
		analyzer:    NewAnalyzer(),
		stage:       f.stage,
		stageStart:  now,
		verdict:     Running,
		lastReports: make(map[string]lastReport),
	}
	l.stage.Order, l.stage.Leader = f.order.ID(), addr
	l.stage.Number++
	l.stage.Term++
	if l.stage.Phase == Moving {
		l.step = max(0, slices.Index(movingShares[:], l.stage.RequestShare))
	}
	l.canaryShare = l.stage.totalShare()
	if l.stage.Phase == Reverted {
		l.verdict = RolledBack
	}
	return l
}

// Reissue takes in that the store holds the same order as given at another time.
func (l *Leader) Reissue(order Order) { l.order, l.stage.Order = order, order.ID() }

// Stage returns the stage that is decided.
func (l *Leader) Stage() Stage { return l.stage }

// Verdict returns the state of the order that the store is to hold. All instances act on a rollback
// as soon as the leader tells it, but on a success only once the store holds it.
func (l *Leader) Verdict() State { return l.verdict }

// Assessment returns what the leader last thought of the version.
func (l *Leader) Assessment() Assessment { return l.assessment }

// Counts returns the numbers of requests that the reports tell of: all, and those sent to new
// targets.
func (l *Leader) Counts() (sent, sentNew int) {
	for _, s := range l.lastReports {
		sent += int(s.sent)
		sentNew += int(s.sentNew)
	}
	return sent, sentNew
}

// HandleReport takes in a report.
func (l *Leader) HandleReport(now time.Time, r Report) {
	if r.Order != l.order.ID() {
		return
	}
	l.lastReports[r.From] = lastReport{sent: r.Sent, sentNew: r.SentNew, stage: r.Stage, inFlightOld: r.InFlightOld}
	l.analyzer.AddReport(now, r)
}

// Decide decides on the stage, and reports whether all instances are to be told of it now.
func (l *Leader) Decide(now time.Time, s FleetState) (Stage, bool) {
	l.assessment = l.analyzer.Assess(now)
	sent, _ := l.Counts()
	l.rate.add(now, sent)
	if reported, ok := l.rate.perSecond(); ok && l.stage.InstanceShare > 0 {
		s.Rate = reported / l.stage.InstanceShare
	}
	before := l.stage
	if l.verdict == Running {
		l.decide(now, s)
	}
	changed := before.Phase != l.stage.Phase || before.RequestShare != l.stage.RequestShare || before.KeyShare != l.stage.KeyShare || before.TargetShare != l.stage.TargetShare ||
		before.InstanceShare != l.stage.InstanceShare
	if changed {
		l.stage.Number++
		l.stageStart, l.observedBefore = now, l.analyzer.Observed()
		l.analyzer.BeginStage()
	}
	announce := changed || !l.announced || now.Sub(l.announcedAt) >= HeartbeatInterval
	if announce {
		l.announced, l.announcedAt = true, now
		l.stage.Heartbeat++
	}
	l.stage.Age = now.Sub(l.startedAt)
	return l.stage, announce
}

// decide goes on to the next phase if it is time.
func (l *Leader) decide(now time.Time, s FleetState) {
	elapsed := now.Sub(l.startedAt)
	if l.assessment.Bad != ReasonNone {
		l.rollBack(l.assessment.Bad)
		return
	}
	switch l.stage.Phase {
	case Waiting:
		l.waitForTargets(elapsed, s)
	case Canary, Baking:
		l.bake(elapsed, s)
	case Moving:
		l.advanceMove(now, elapsed, s)
	case Moved:
		l.finish(now, elapsed, s)
	}
}

// fraction returns a fraction of the order's duration.
func (l *Leader) fraction(share float64) time.Duration {
	return time.Duration(share * float64(l.order.Duration))
}

func (l *Leader) rollBack(reason Reason) {
	l.verdict = RolledBack
	l.stage.Phase, l.stage.Reason = Reverted, reason
	l.stage.KeyShare, l.stage.RequestShare, l.stage.TargetShare = 0, 0, 0
}

// waitForTargets begins the canary once there are new targets.
func (l *Leader) waitForTargets(elapsed time.Duration, s FleetState) {
	switch {
	case s.NewSlots > 0:
		l.beginCanary(s)
	case elapsed >= l.fraction(moveStartDeadline):
		l.rollBack(ReasonNoTargets)
	}
}

// beginCanary chooses who sends what where at first.
func (l *Leader) beginCanary(s FleetState) {
	reports := min(2*float64(s.Instances), s.Rate)
	l.stage.InstanceShare = min(1, maxReportRate/max(reports, 1))
	l.canaryShare = l.computeCanaryShare(s)
	l.stage.Phase = Canary
	l.stage.KeyShare = min(1, canaryKeyFactor*l.canaryShare/l.stage.InstanceShare)
	l.stage.RequestShare = l.canaryShare / (l.stage.InstanceShare * l.stage.KeyShare)
	l.stage.TargetShare = l.stage.KeyShare
}

// computeCanaryShare is the part of the requests that new targets are to get before requests move: enough to
// judge the version by, and no more than leaves most of the bound for later.
func (l *Leader) computeCanaryShare(s FleetState) float64 {
	rate := max(s.Rate, minRate)
	canaryRequests := rate * bakeEnd * l.order.Duration.Seconds()
	maxShare := canaryShareFraction/bakeEnd*l.bound.Share + canarySlackFraction*l.bound.Slack/max(canaryRequests, 1)
	return min(sampleRate/rate, maxShare, maxCanaryShare*l.stage.InstanceShare)
}

// bake ends the stages of a few requests when it is time and enough was seen.
func (l *Leader) bake(elapsed time.Duration, s FleetState) {
	late := elapsed >= l.fraction(moveStartDeadline)
	idle := l.analyzer.Observed() == 0 && s.Rate*l.order.Duration.Seconds() > 1
	ready := l.assessment.Good || late && !l.assessment.Suspect && !idle && max(l.assessment.FailureLLR, l.assessment.SlowLLR) <= suspectLLR
	switch {
	case elapsed >= l.fraction(bakeEnd) && ready && l.hasCapacity(movingShares[0], s):
		l.stage.Phase, l.step = Moving, 0
		l.stage.KeyShare, l.stage.RequestShare, l.stage.TargetShare = 1, movingShares[0], 1
	case elapsed >= l.fraction(verdictDeadline):
		l.rollBack(ReasonNoTime)
	case l.stage.Phase == Canary && elapsed >= l.fraction(canaryEnd) && !l.assessment.Suspect:
		l.stage.Phase = Baking
		l.canaryShare = l.computeCanaryShare(s)
		l.stage.KeyShare = l.canaryShare / l.stage.InstanceShare
		l.stage.RequestShare, l.stage.TargetShare = 1, l.canaryShare
	default:
		l.enforceBound()
	}
}

// enforceBound sends fewer requests if more than meant to have gone to new targets.
func (l *Leader) enforceBound() {
	sent, sentNew := l.Counts()
	intended := l.canaryShare / l.stage.InstanceShare
	excess := float64(sentNew) - 1.5*intended*float64(sent) - canarySlackFraction*l.bound.Slack
	full := min(1, intended/max(l.stage.KeyShare, intended))
	switch {
	case excess > 0:
		l.stage.RequestShare = 0
	case excess < -1 && l.stage.RequestShare == 0:
		l.stage.RequestShare = full
	}
}

// hasCapacity tells whether the new targets can take a part of the requests.
func (l *Leader) hasCapacity(share float64, s FleetState) bool {
	needed := share * max(s.Utilization, minUtilization) * s.OldSlots
	return s.NewSlots > 0 && needed <= maxFill*s.NewSlots
}

// advanceMove goes on to the next of the moving stages.
func (l *Leader) advanceMove(now time.Time, elapsed time.Duration, s FleetState) {
	switch {
	case elapsed >= l.fraction(verdictDeadline):
		l.rollBack(ReasonNoTime)
	case !l.stagePassed(now, elapsed, s) || !l.hasCapacity(movingShares[l.step+1], s):
	default:
		l.step++
		l.stage.RequestShare = movingShares[l.step]
		if l.stage.RequestShare >= 1 {
			l.stage.Phase = Moved
		}
	}
}

// stagePassed tells whether a stage of moving requests has lasted for long enough and has shown that
// nothing speaks against the version, or may not last longer.
func (l *Leader) stagePassed(now time.Time, elapsed time.Duration, s FleetState) bool {
	duration := now.Sub(l.stageStart)
	if duration < min(max(l.fraction(movingStepFractions[l.step]), minStepTime), maxStepTime) || l.assessment.Suspect {
		return false
	}
	if l.assessment.StageFailureLLR <= -stageLLR && l.assessment.StageSlowLLR <= 0 || elapsed >= l.fraction(moveStepDeadline) {
		return true
	}
	expected := l.stage.RequestShare * l.stage.InstanceShare * s.Rate * duration.Seconds()
	return expected < smallSample && l.analyzer.Observed()-l.observedBefore >= int(smallSampleFraction*expected)
}

// finish ends the rollout once no request is at an old target any more.
func (l *Leader) finish(now time.Time, elapsed time.Duration, s FleetState) {
	moved := 0
	for _, report := range l.lastReports {
		if report.stage == l.stage.Number && report.inFlightOld == 0 {
			moved++
		}
	}
	late := elapsed >= l.fraction(verdictDeadline)
	switch {
	case l.assessment.Suspect:
	case moved >= s.Instances && (late || l.stagePassed(now, elapsed, s)), late && 2*moved >= s.Instances:
		l.verdict = Succeeded
		return
	}
	if elapsed >= l.order.Duration {
		l.rollBack(ReasonNoTime)
	}
}
