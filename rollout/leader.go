package rollout

import (
	"slices"
	"time"
)

// ExposureBound limits the requests that may reach a bad version.
type ExposureBound struct {
	// Share is the fraction of a service's requests that may reach the version from the order to
	// the end of its duration. Slack is the number of requests that may reach it in addition.
	Share, Slack float64
}

// DefaultExposureBound is the bound that applies without other settings.
var DefaultExposureBound = ExposureBound{Share: 0.1, Slack: 50}

// FleetState describes the instances and targets of a service, as the leader sees them.
type FleetState struct {
	// Instances is the number of instances that are known to accept requests.
	Instances int
	// Rate is the rate of requests for the service over all instances, in 1/s.
	Rate float64
	// OldSlots and NewSlots are the numbers of slots of the old and new targets in service.
	// Utilization is the fraction of the old slots in use.
	OldSlots, NewSlots, Utilization float64
}

// Times of a rollout, as fractions of the order's duration. The canary and baking phases last at
// least until canaryEnd and bakeEnd. From moveStartDeadline and moveStepDeadline on, the first and
// the further moving stages begin even if the evidence for the version is incomplete, provided that
// there is none against it. The verdict is due at verdictDeadline, which leaves time for a slow
// store.
const (
	canaryEnd         = 0.25
	bakeEnd           = 0.5
	moveStartDeadline = 0.6
	moveStepDeadline  = 0.75
	verdictDeadline   = 0.85
	// minStepTime and maxStepTime bound the minimum duration of a moving stage.
	minStepTime = 300 * time.Millisecond
	maxStepTime = time.Minute
)

const (
	// HeartbeatInterval is the time after which a leader repeats the announcement of the current
	// stage.
	HeartbeatInterval = 500 * time.Millisecond
	// sampleRate is the rate of requests in 1/s that new targets should get in the canary stages.
	// maxCanaryShare is the largest share of all requests that is used to reach it.
	sampleRate     = 60.0
	maxCanaryShare = 0.5
	// objectionTime is how long a new leader of a rollout that has not begun waits before the canary
	// phase. An instance that knows a verdict which the store has lost reports it in that time.
	objectionTime = 300 * time.Millisecond
	// minRate is the request rate in 1/s that is assumed for a service without requests.
	minRate = 0.1
	// canaryShareFraction and canarySlackFraction are the fractions of the exposure bound that the
	// canary stages may use. The remainder is left for a version that turns bad in the moving
	// stages.
	canaryShareFraction, canarySlackFraction = 0.2, 0.3
	// canaryKeyFactor is the ratio of the share of keys to the share of requests in the canary
	// phase. Some requests of each selected key stay at the old targets, so that a single popular
	// key does not exceed the exposure bound before its popularity is known.
	canaryKeyFactor = 4.0
	// maxReportRate is the rate of reports in 1/s that a leader accepts.
	maxReportRate = 128.0
	// maxFill is the fraction of the new targets' slots that shifted requests may fill.
	maxFill = 0.85
	// minUtilization is the lowest utilization of the old slots that is assumed.
	minUtilization = 0.2
	// A moving stage needs a failure log-likelihood ratio of -stageLLR or less, and one for slow
	// responses of 0 or less. A stage in which fewer than smallSample observations are expected
	// needs only smallSampleFraction of that number instead.
	stageLLR            = 2.0
	smallSample         = 30
	smallSampleFraction = 0.5
)

// movingShares are the shares of requests that go to new targets in the moving stages.
// movingStepFractions are the minimum durations of these stages, as fractions of the order's
// duration. In the first stage the new targets load most objects, while most requests for these
// objects still run at old targets. It lasts longer than the timeout of a request, so that it
// reveals a version that has turned bad.
var (
	movingShares        = [...]float64{0.1, 0.3, 1}
	movingStepFractions = [...]float64{0.12, 0.08, 0.05}
)

// Leader chooses the stages of a rollout. It is not safe for concurrent use.
type Leader struct {
	bound     ExposureBound
	order     Order
	startedAt time.Time
	analyzer  *Analyzer
	stage     Stage
	// stageStart is the start of the current stage, announcedAt the time of its last announcement,
	// and observedBefore the number of observations before its start.
	stageStart, announcedAt time.Time
	observedBefore          int
	step                    int
	announced               bool
	verdict                 State
	lastReports             map[string]lastReport
	// canaryShare is the share of all requests that new targets should get in the canary stages.
	canaryShare float64
	assessment  Assessment
	rate        rateEstimator
}

// lastReport holds the counters of an instance's last report.
type lastReport struct {
	sent, sentNew uint32
	stage         uint32
	inFlightOld   int
}

// NewLeader returns a leader that continues the rollout from the state of a follower. Addr is the
// peer address to which the instances send their reports.
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

// Reissue replaces the order by an equivalent one of another generation.
func (l *Leader) Reissue(order Order) { l.order, l.stage.Order = order, order.ID() }

// Stage returns the current stage.
func (l *Leader) Stage() Stage { return l.stage }

// Verdict returns the state of the order that has to be written to the store. Instances act on a
// rollback as soon as the leader announces it, but on a success only once the store holds it.
func (l *Leader) Verdict() State { return l.verdict }

// Assessment returns the result of the last canary analysis.
func (l *Leader) Assessment() Assessment { return l.assessment }

// Counts returns the number of requests that instances have reported as sent, and the number of
// those that were sent to new targets.
func (l *Leader) Counts() (sent, sentNew int) {
	for _, s := range l.lastReports {
		sent += int(s.sent)
		sentNew += int(s.sentNew)
	}
	return sent, sentNew
}

// HandleReport processes the report of an instance. Reports about other orders are ignored.
func (l *Leader) HandleReport(now time.Time, r Report) {
	if r.Order != l.order.ID() {
		return
	}
	l.lastReports[r.From] = lastReport{sent: r.Sent, sentNew: r.SentNew, stage: r.Stage, inFlightOld: r.InFlightOld}
	l.analyzer.AddReport(now, r)
}

// Decide updates the stage and reports whether it has to be announced to all instances now.
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

// decide rolls a bad version back, and otherwise advances the phase if its conditions hold.
func (l *Leader) decide(now time.Time, s FleetState) {
	elapsed := now.Sub(l.startedAt)
	if l.assessment.Bad != ReasonNone {
		l.rollBack(l.assessment.Bad)
		return
	}
	switch l.stage.Phase {
	case Waiting:
		if !l.AwaitsObjections(now) {
			l.waitForTargets(elapsed, s)
		}
	case Canary, Baking:
		l.bake(elapsed, s)
	case Moving:
		l.advanceMove(now, elapsed, s)
	case Moved:
		l.finish(now, elapsed, s)
	}
}

// AwaitsObjections reports whether the leader still waits for the verdict that another instance may know.
// The caller should send the stage to the other instances repeatedly until then.
func (l *Leader) AwaitsObjections(now time.Time) bool {
	return l.stage.Phase == Waiting && now.Sub(l.stageStart) < objectionTime
}

// fraction returns a fraction of the order's duration.
func (l *Leader) fraction(share float64) time.Duration {
	return time.Duration(share * float64(l.order.Duration))
}

// rollBack ends the rollout with a rollback, which also ends all traffic to the new targets.
func (l *Leader) rollBack(reason Reason) {
	l.verdict = RolledBack
	l.stage.Phase, l.stage.Reason = Reverted, reason
	l.stage.KeyShare, l.stage.RequestShare, l.stage.TargetShare = 0, 0, 0
}

// waitForTargets starts the canary phase once there are new targets, and rolls back if there are
// none at moveStartDeadline.
func (l *Leader) waitForTargets(elapsed time.Duration, s FleetState) {
	switch {
	case s.NewSlots > 0:
		l.beginCanary(s)
	case elapsed >= l.fraction(moveStartDeadline):
		l.rollBack(ReasonNoTargets)
	}
}

// beginCanary sets the shares of the canary phase.
func (l *Leader) beginCanary(s FleetState) {
	reports := min(2*float64(s.Instances), s.Rate)
	l.stage.InstanceShare = min(1, maxReportRate/max(reports, 1))
	l.canaryShare = l.computeCanaryShare(s)
	l.stage.Phase = Canary
	l.stage.KeyShare = min(1, canaryKeyFactor*l.canaryShare/l.stage.InstanceShare)
	l.stage.RequestShare = l.canaryShare / (l.stage.InstanceShare * l.stage.KeyShare)
	l.stage.TargetShare = l.stage.KeyShare
}

// computeCanaryShare returns the share of all requests for new targets in the canary stages. It
// suffices to assess the version, but leaves most of the exposure bound for the moving stages.
func (l *Leader) computeCanaryShare(s FleetState) float64 {
	rate := max(s.Rate, minRate)
	canaryRequests := rate * bakeEnd * l.order.Duration.Seconds()
	maxShare := canaryShareFraction/bakeEnd*l.bound.Share + canarySlackFraction*l.bound.Slack/max(canaryRequests, 1)
	return min(sampleRate/rate, maxShare, maxCanaryShare*l.stage.InstanceShare)
}

// bake ends the canary and baking phases when their time is over and the evidence suffices.
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
		l.enforceBound(elapsed)
	}
}

// enforceBound pauses the canary while new targets have got more requests than intended.
func (l *Leader) enforceBound(elapsed time.Duration) {
	sent, sentNew := l.Counts()
	intended := l.canaryShare / l.stage.InstanceShare
	excess := float64(sentNew) - 1.5*intended*float64(sent) - canarySlackFraction*l.bound.Slack
	full := min(1, intended/max(l.stage.KeyShare, intended))
	if budget, limited := l.canaryBudget(elapsed); limited {
		excess = max(excess, float64(sentNew)-budget)
	}
	switch {
	case excess > 0:
		l.stage.RequestShare = 0
	case excess < -1 && l.stage.RequestShare == 0:
		l.stage.RequestShare = full
	}
}

// hasCapacity reports whether the new targets can serve a share of the requests.
func (l *Leader) hasCapacity(share float64, s FleetState) bool {
	needed := share * max(s.Utilization, minUtilization) * s.OldSlots
	return s.NewSlots > 0 && needed <= maxFill*s.NewSlots
}

// advanceMove begins the next moving stage when the current one has passed.
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

// stagePassed reports whether a moving stage has reached its minimum duration without evidence
// against the version, and either has enough evidence for it or has reached moveStepDeadline.
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

// finish declares success once no request is at an old target and the stage has passed. At
// verdictDeadline the stage need not have passed, and the reports of half of the instances suffice.
// While the version is suspect there is no success. The rollout is rolled back if it has not
// succeeded within the order's duration.
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
