package rollout

import (
	"slices"
	"time"
)

// Bound is what is promised of a version that turns out to be bad.
type Bound struct {
	// Share is the part of a service's requests that may reach it from the order to the end of
	// the order's duration, and Slack the number on top of that.
	Share, Slack float64
}

// DefaultBound is what is promised where nothing else is set.
var DefaultBound = Bound{Share: 0.1, Slack: 50}

// Situation is what the leader knows of the fleet.
type Situation struct {
	// Members is the number of instances that take requests, as far as is known.
	Members int
	// Rate is the number of requests for the service at all instances, in 1/s.
	Rate float64
	// OldSlots and NewSlots are those of the targets that serve, and Usage the part of the old
	// ones that is in use.
	OldSlots, NewSlots, Usage float64
}

// The times of a rollout, as parts of its duration: canaryEnd and bakeEnd are when the stages of a few
// requests end at the earliest, moveBy and movedBy are when the moving begins and goes on though enough
// was not seen, if nothing speaks against the version, and endBy is when the verdict is written, which
// leaves time for a store that is slow.
const (
	canaryEnd = 0.25
	bakeEnd   = 0.5
	moveBy    = 0.6
	movedBy   = 0.75
	endBy     = 0.85
	// leastStep and mostStep bound how long a moving stage has to last.
	leastStep = 300 * time.Millisecond
	mostStep  = time.Minute
)

const (
	// BeatTime is the time in which a leader tells the stage again.
	BeatTime = 500 * time.Millisecond
	// wantedRate is the number of requests a second that are wanted at new targets before requests
	// move, and mostShare the largest part of all requests that are sent there for it.
	wantedRate = 60.0
	mostShare  = 0.5
	// leastRate is the number of requests a second that is taken for a service without any.
	leastRate = 0.1
	// canaryPart and canarySlackPart are the parts of the bound that are used before requests
	// move. The rest is for a version that turns bad then.
	canaryPart, canarySlackPart = 0.2, 0.3
	// keysOverShare is how many times the part of the keys is that of the requests in the canary
	// stage: of each of its keys, some requests stay at the old targets, so that one key that is
	// asked for often does not exceed the bound before that is known.
	keysOverShare = 4.0
	// mostReports is the number of reports a second that a leader takes.
	mostReports = 128.0
	// roomPart is the part of the new targets' slots that may be filled by moving requests.
	roomPart = 0.85
	// leastUsage is taken for the usage of the old targets' slots if less is seen.
	leastUsage = 0.2
	// stageOdds is the logarithm of the odds that a stage of moving requests has to show. Where fewer
	// observations than fewSeen are to be expected, leastSeen of them are enough.
	stageOdds = 2.0
	fewSeen   = 30
	leastSeen = 0.5
)

// movingSteps are the parts of the requests that go to new targets in the moving stages, and stepParts
// how long each stage has to last, as parts of the order's duration. In the first the new targets
// get to know most objects while most requests for them still run at old ones. It lasts for longer
// than a request that is not answered, so that a version that has turned bad shows in it.
var (
	movingSteps = [...]float64{0.1, 0.3, 1}
	stepParts   = [...]float64{0.12, 0.08, 0.05}
)

// Leader decides on the stages of a rollout. It is not safe for concurrent use.
type Leader struct {
	bound Bound
	order Order
	since time.Time
	judge *Judge
	stage Stage
	// stageAt is when the stage began, seenBefore the number of observations then, and toldAt when
	// it was last told.
	stageAt, toldAt time.Time
	seenBefore      int
	step            int
	told            bool
	verdict         State
	senders         map[string]sender
	// share is the part of the requests that new targets are to get before requests move.
	share   float64
	opinion Opinion
	rate    rate
}

// sender is what an instance has reported last.
type sender struct {
	sent, sentNew uint32
	stage         uint32
	atOld         int
}

// NewLeader returns a leader that goes on with what an instance knows of a rollout. Addr is the peer
// address that is told reports.
func NewLeader(now time.Time, addr string, f *Follower, bound Bound) *Leader {
	l := &Leader{
		bound:   bound,
		order:   f.order,
		since:   f.since,
		judge:   NewJudge(),
		stage:   f.stage,
		stageAt: now,
		verdict: Running,
		senders: make(map[string]sender),
	}
	l.stage.Order, l.stage.Leader = f.order.ID(), addr
	l.stage.Number++
	l.stage.Term++
	if l.stage.Phase == Moving {
		l.step = max(0, slices.Index(movingSteps[:], l.stage.Draw))
	}
	l.share = l.stage.share()
	if l.stage.Phase == Back {
		l.verdict = RolledBack
	}
	return l
}

// GivenAgain takes in that the store holds the same order as given at another time.
func (l *Leader) GivenAgain(order Order) { l.order, l.stage.Order = order, order.ID() }

// Stage returns the stage that is decided.
func (l *Leader) Stage() Stage { return l.stage }

// Verdict returns the state of the order that the store is to hold. All instances act on a rollback
// as soon as the leader tells it, but on a success only once the store holds it.
func (l *Leader) Verdict() State { return l.verdict }

// Opinion returns what the leader last thought of the version.
func (l *Leader) Opinion() Opinion { return l.opinion }

// Counts returns the numbers of requests that the reports tell of: all, and those sent to new
// targets.
func (l *Leader) Counts() (sent, sentNew int) {
	for _, s := range l.senders {
		sent += int(s.sent)
		sentNew += int(s.sentNew)
	}
	return sent, sentNew
}

// Hear takes in a report.
func (l *Leader) Hear(now time.Time, r Report) {
	if r.Order != l.order.ID() {
		return
	}
	l.senders[r.From] = sender{sent: r.Sent, sentNew: r.SentNew, stage: r.Stage, atOld: r.AtOld}
	l.judge.Hear(now, r)
}

// Decide decides on the stage, and reports whether all instances are to be told of it now.
func (l *Leader) Decide(now time.Time, s Situation) (Stage, bool) {
	l.opinion = l.judge.Opinion(now)
	sent, _ := l.Counts()
	l.rate.note(now, sent)
	if reported, ok := l.rate.perSecond(); ok && l.stage.Senders > 0 {
		s.Rate = reported / l.stage.Senders
	}
	before := l.stage
	if l.verdict == Running {
		l.decide(now, s)
	}
	changed := before.Phase != l.stage.Phase || before.Draw != l.stage.Draw || before.Keys != l.stage.Keys || before.Targets != l.stage.Targets ||
		before.Senders != l.stage.Senders
	if changed {
		l.stage.Number++
		l.stageAt, l.seenBefore = now, l.judge.Observed()
		l.judge.BeginStage()
	}
	tell := changed || !l.told || now.Sub(l.toldAt) >= BeatTime
	if tell {
		l.told, l.toldAt = true, now
		l.stage.Beat++
	}
	l.stage.Age = now.Sub(l.since)
	return l.stage, tell
}

// decide goes on to the next phase if it is time.
func (l *Leader) decide(now time.Time, s Situation) {
	elapsed := now.Sub(l.since)
	if l.opinion.Bad != ReasonNone {
		l.rollBack(l.opinion.Bad)
		return
	}
	switch l.stage.Phase {
	case Waiting:
		l.wait(elapsed, s)
	case Canary, Baking:
		l.bake(elapsed, s)
	case Moving:
		l.move(now, elapsed, s)
	case Moved:
		l.finish(now, elapsed, s)
	}
}

// part returns a part of the order's duration.
func (l *Leader) part(x float64) time.Duration { return time.Duration(x * float64(l.order.Duration)) }

func (l *Leader) rollBack(reason Reason) {
	l.verdict = RolledBack
	l.stage.Phase, l.stage.Reason = Back, reason
	l.stage.Keys, l.stage.Draw, l.stage.Targets = 0, 0, 0
}

// wait begins the canary once there are new targets.
func (l *Leader) wait(elapsed time.Duration, s Situation) {
	switch {
	case s.NewSlots > 0:
		l.beginCanary(s)
	case elapsed >= l.part(moveBy):
		l.rollBack(ReasonNoTargets)
	}
}

// beginCanary chooses who sends what where at first.
func (l *Leader) beginCanary(s Situation) {
	reports := min(2*float64(s.Members), s.Rate)
	l.stage.Senders = min(1, mostReports/max(reports, 1))
	l.share = l.smallShare(s)
	l.stage.Phase = Canary
	l.stage.Keys = min(1, keysOverShare*l.share/l.stage.Senders)
	l.stage.Draw = l.share / (l.stage.Senders * l.stage.Keys)
	l.stage.Targets = l.stage.Keys
}

// smallShare is the part of the requests that new targets are to get before requests move: enough to
// judge the version by, and no more than leaves most of the bound for later.
func (l *Leader) smallShare(s Situation) float64 {
	rate := max(s.Rate, leastRate)
	baked := rate * bakeEnd * l.order.Duration.Seconds()
	most := canaryPart/bakeEnd*l.bound.Share + canarySlackPart*l.bound.Slack/max(baked, 1)
	return min(wantedRate/rate, most, mostShare*l.stage.Senders)
}

// bake ends the stages of a few requests when it is time and enough was seen.
func (l *Leader) bake(elapsed time.Duration, s Situation) {
	late := elapsed >= l.part(moveBy)
	idle := l.judge.Observed() == 0 && s.Rate*l.order.Duration.Seconds() > 1
	ready := l.opinion.Good || late && !l.opinion.Suspect && !idle && max(l.opinion.Failing, l.opinion.Slow) <= suspectOdds
	switch {
	case elapsed >= l.part(bakeEnd) && ready && l.hasRoom(movingSteps[0], s):
		l.stage.Phase, l.step = Moving, 0
		l.stage.Keys, l.stage.Draw, l.stage.Targets = 1, movingSteps[0], 1
	case elapsed >= l.part(endBy):
		l.rollBack(ReasonNoTime)
	case l.stage.Phase == Canary && elapsed >= l.part(canaryEnd) && !l.opinion.Suspect:
		l.stage.Phase = Baking
		l.share = l.smallShare(s)
		l.stage.Keys = l.share / l.stage.Senders
		l.stage.Draw, l.stage.Targets = 1, l.share
	default:
		l.keepToBound()
	}
}

// keepToBound sends fewer requests if more than meant to have gone to new targets.
func (l *Leader) keepToBound() {
	sent, sentNew := l.Counts()
	meant := l.share / l.stage.Senders
	over := float64(sentNew) - 1.5*meant*float64(sent) - canarySlackPart*l.bound.Slack
	full := min(1, meant/max(l.stage.Keys, meant))
	switch {
	case over > 0:
		l.stage.Draw = 0
	case over < -1 && l.stage.Draw == 0:
		l.stage.Draw = full
	}
}

// hasRoom tells whether the new targets can take a part of the requests.
func (l *Leader) hasRoom(part float64, s Situation) bool {
	needed := part * max(s.Usage, leastUsage) * s.OldSlots
	return s.NewSlots > 0 && needed <= roomPart*s.NewSlots
}

// move goes on to the next of the moving stages.
func (l *Leader) move(now time.Time, elapsed time.Duration, s Situation) {
	switch {
	case elapsed >= l.part(endBy):
		l.rollBack(ReasonNoTime)
	case !l.stageShown(now, elapsed, s) || !l.hasRoom(movingSteps[l.step+1], s):
	default:
		l.step++
		l.stage.Draw = movingSteps[l.step]
		if l.stage.Draw >= 1 {
			l.stage.Phase = Moved
		}
	}
}

// stageShown tells whether a stage of moving requests has lasted for long enough and has shown that
// nothing speaks against the version, or may not last longer.
func (l *Leader) stageShown(now time.Time, elapsed time.Duration, s Situation) bool {
	lasted := now.Sub(l.stageAt)
	if lasted < min(max(l.part(stepParts[l.step]), leastStep), mostStep) || l.opinion.Suspect {
		return false
	}
	if l.opinion.StageFailing <= -stageOdds && l.opinion.StageSlow <= 0 || elapsed >= l.part(movedBy) {
		return true
	}
	expected := l.stage.Draw * l.stage.Senders * s.Rate * lasted.Seconds()
	return expected < fewSeen && l.judge.Observed()-l.seenBefore >= int(leastSeen*expected)
}

// finish ends the rollout once no request is at an old target any more.
func (l *Leader) finish(now time.Time, elapsed time.Duration, s Situation) {
	moved := 0
	for _, one := range l.senders {
		if one.stage == l.stage.Number && one.atOld == 0 {
			moved++
		}
	}
	last := elapsed >= l.part(endBy)
	switch {
	case l.opinion.Suspect:
	case moved >= s.Members && (last || l.stageShown(now, elapsed, s)), last && 2*moved >= s.Members:
		l.verdict = Succeeded
		return
	}
	if elapsed >= l.order.Duration {
		l.rollBack(ReasonNoTime)
	}
}
