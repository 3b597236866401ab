package rollout

import (
	"math"
	"time"
)

// Reason says why a version is judged to be bad, or an order was given up.
type Reason string

// The reasons.
const (
	ReasonNone     Reason = ""
	ReasonFailures Reason = "failures"
	ReasonSlow     Reason = "slow"
	// ReasonNoTargets means that the version had no targets that serve in time.
	ReasonNoTargets Reason = "no-targets"
	// ReasonNoTime means that the requests could not be moved in time.
	ReasonNoTime Reason = "no-time"
)

// The judge holds the failures and slow answers of the new targets against those of the old ones
// on the same route, by the sequential probability ratio test: it sums up how much more likely an
// observation is if the version is bad than if it is as good as the old one, and decides once the
// sum is far enough from 0. A version may turn bad at any time, so the sum is taken over the last
// seconds too, and by itself on each route, since a version may be bad on one alone.
const (
	// badLLR and goodOdds are the logarithms of the odds at which a version is judged to be bad
	// and to be good. The first is the higher one, as it is looked at again and again.
	badLLR  = 11.0
	goodLLR = 4.6

	// minFailureRate is the part of the answers that is taken to fail at a good version at least,
	// and moreFailing the additional part at a bad one.
	minFailureRate      = 0.01
	failureRateIncrease = 0.06
	// minSlowRate and moreSlow are the same for slow answers.
	minSlowRate      = 0.05
	slowRateIncrease = 0.25
	// slowFactor is how many usual times of the old targets a slow answer takes.
	slowFactor = 2.5
	// relativeIncrease is the additional part, as a multiple of that of the old version, if that
	// has many failures or slow answers itself.
	relativeIncrease = 0.75

	// minReference is the number of answers of the old targets in the last seconds below which
	// all answers since the order are the reference.
	minReference = 50
)

// suspectLLR is the logarithm of the odds from which on the last seconds speak against a version.
const suspectLLR = 2.0

const (
	// windowSlots is the number of windowSlotTime that make up the last seconds.
	windowSlots        = 6
	windowSlotDuration = 500 * time.Millisecond
)

// Analyzer decides whether a version is good or bad.
type Analyzer struct {
	// total are those since the judge has begun, and stage those of the stage.
	total, stage statsByRoute
	// window are those of the last seconds, of which the one at the index began at slotAt.
	window    [windowSlots]statsByRoute
	slot      int
	slotStart time.Time
	// firstSeen are the places where new targets have had a key, and when that was first told.
	firstSeen map[targetKey]time.Time
	// observed is the number of observations of new targets.
	observed int
}

// targetKey is where an observation was made.
type targetKey struct {
	target, key uint32
}

// maxTargetKeys bounds the places that are remembered: 1 MB.
const maxTargetKeys = 20_000

// NewAnalyzer returns a judge that has seen nothing.
func NewAnalyzer() *Analyzer {
	j := &Analyzer{total: make(statsByRoute), stage: make(statsByRoute), firstSeen: make(map[targetKey]time.Time)}
	for i := range j.window {
		j.window[i] = make(statsByRoute)
	}
	return j
}

// Observed returns the number of observations of new targets.
func (j *Analyzer) Observed() int { return j.observed }

// AddReport takes in what an instance has observed.
func (j *Analyzer) AddReport(now time.Time, r Report) {
	j.advance(now)
	for _, t := range r.Old {
		j.total.route(t.Route).addOld(t)
		j.window[j.slot].route(t.Route).addOld(t)
	}
	for _, o := range r.New {
		j.observed++
		o.Cold = o.Cold || j.mayBeFirst(now, o)
		limit, known := slowThreshold(j.total.route(o.Route).old.Latencies)
		j.total.route(o.Route).addNew(o, limit, known)
		j.window[j.slot].route(o.Route).addNew(o, limit, known)
		j.stage.route(o.Route).addNew(o, limit, known)
	}
}

// mayBeFirst tells whether the target may not have had the key when the request was sent: then it is
// slower for that reason.
func (j *Analyzer) mayBeFirst(now time.Time, o Observation) bool {
	at := targetKey{target: o.Target, key: o.Key}
	since, ok := j.firstSeen[at]
	if !ok && len(j.firstSeen) < maxTargetKeys {
		j.firstSeen[at] = now
	}
	sentAt := now.Add(-o.Latency.Duration() - reportInterval)
	return !ok || sentAt.Before(since)
}

// advance begins new slots as time passes.
func (j *Analyzer) advance(now time.Time) {
	if j.slotStart.IsZero() || now.Sub(j.slotStart) >= 2*windowSlots*windowSlotDuration {
		j.slotStart = now
	}
	for now.Sub(j.slotStart) >= windowSlotDuration {
		j.slot = (j.slot + 1) % windowSlots
		j.window[j.slot] = make(statsByRoute)
		j.slotStart = j.slotStart.Add(windowSlotDuration)
	}
}

// Assessment is what a judge thinks of a version.
type Assessment struct {
	// Bad is why the version is bad, ReasonNone if it is not.
	Bad Reason
	// Good says that enough was seen to take it for good, and Suspect that the observations on a
	// route, or of the last seconds, speak rather against it.
	Good, Suspect bool
	// MaxLLR is the highest of the logarithms of the odds by all observations on a route.
	MaxLLR float64
	// FailureLLR and SlowLLR are the logarithms of the odds that it fails more often and is slower, by
	// all observations, and StageFailing and StageSlow the same by those of the stage alone.
	FailureLLR, SlowLLR           float64
	StageFailureLLR, StageSlowLLR float64
}

// Assess returns what the judge thinks now.
func (j *Analyzer) Assess(now time.Time) Assessment {
	j.advance(now)
	o := Assessment{MaxLLR: math.Inf(-1)}
	for hash, all := range j.total {
		if len(all.targets) == 0 {
			continue
		}
		last := j.windowStats(hash)
		reference := all.old
		if last.old.Answered+last.old.Failed >= minReference {
			reference = last.old
		}
		whole, recent := compare(all, all.old, all.old), compare(last, reference, all.old)
		o.FailureLLR += whole.failureLLR
		o.SlowLLR += whole.slowLLR
		o.MaxLLR = max(o.MaxLLR, whole.failureLLR, whole.slowLLR)
		o.add(whole)
		o.add(recent)
		stage := compare(j.stage.route(hash), all.old, all.old)
		o.StageFailureLLR += stage.failureLLR
		o.StageSlowLLR += stage.slowLLR
	}
	switch {
	case o.Bad != ReasonNone:
	case o.FailureLLR >= badLLR:
		o.Bad = ReasonFailures
	case o.SlowLLR >= badLLR:
		o.Bad = ReasonSlow
	}
	o.Good = o.Bad == ReasonNone && !o.Suspect && o.MaxLLR <= 0 && o.FailureLLR <= -goodLLR && o.SlowLLR <= -goodLLR
	return o
}

// add takes in what some of the observations on a route say.
func (o *Assessment) add(w evidence) {
	o.Suspect = o.Suspect || max(w.failureLLR, w.slowLLR) > suspectLLR
	switch {
	case o.Bad != ReasonNone:
	case w.failureLLR >= badLLR && !w.fewFailures:
		o.Bad = ReasonFailures
	case w.slowLLR >= badLLR && !w.fewSlow:
		o.Bad = ReasonSlow
	}
}

// BeginStage forgets the observations of the stage that has ended.
func (j *Analyzer) BeginStage() { j.stage = make(statsByRoute) }

// windowStats joins the observations of a route of the windowStats seconds.
func (j *Analyzer) windowStats(hash uint16) *routeStats {
	joined := &routeStats{}
	for _, slot := range j.window {
		if r := slot[hash]; r != nil {
			joined.merge(r)
		}
	}
	return joined
}

// evidence is what observations say: the logarithms of the odds, and whether they are of too few
// targets or keys.
type evidence struct {
	failureLLR, slowLLR  float64
	fewFailures, fewSlow bool
}

// compare returns what the observations of new targets say against those of the old ones of a
// reference. Usual tells the usual time of these.
func compare(r *routeStats, reference, usual Tally) evidence {
	failures := r.failures()
	w := evidence{failureLLR: logLikelihoodRatio(failures, failureRate(reference), minFailureRate, failureRateIncrease), fewFailures: failures.tooFew}
	limit, known := slowThreshold(usual.Latencies)
	if !known {
		return w
	}
	slow := r.slowness()
	w.slowLLR, w.fewSlow = logLikelihoodRatio(slow, slowRate(reference.Latencies, limit), minSlowRate, slowRateIncrease), slow.tooFew
	return w
}

// logLikelihoodRatio returns the logarithm of how much more likely the counts are if a part of more than usual of
// the observations are bad than if only as many as usual are.
func logLikelihoodRatio(c counts, usual, least, more float64) float64 {
	usual = max(usual, least)
	worse := min(usual+max(more, relativeIncrease*usual), 0.98)
	usual = min(usual, 0.9*worse)
	return float64(c.bad)*math.Log(worse/usual) + float64(c.good)*math.Log((1-worse)/(1-usual))
}
