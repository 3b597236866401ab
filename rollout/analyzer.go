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
	a := &Analyzer{total: make(statsByRoute), stage: make(statsByRoute), firstSeen: make(map[targetKey]time.Time)}
	for i := range a.window {
		a.window[i] = make(statsByRoute)
	}
	return a
}

// Observed returns the number of observations of new targets.
func (a *Analyzer) Observed() int { return a.observed }

// AddReport takes in what an instance has observed.
func (a *Analyzer) AddReport(now time.Time, r Report) {
	a.advance(now)
	for _, t := range r.Old {
		a.total.route(t.Route).addOld(t)
		a.window[a.slot].route(t.Route).addOld(t)
	}
	for _, o := range r.New {
		a.observed++
		o.Cold = o.Cold || a.mayBeFirst(now, o)
		threshold, known := slowThreshold(a.total.route(o.Route).old.Latencies)
		a.total.route(o.Route).addNew(o, threshold, known)
		a.window[a.slot].route(o.Route).addNew(o, threshold, known)
		a.stage.route(o.Route).addNew(o, threshold, known)
	}
}

// mayBeFirst tells whether the target may not have had the key when the request was sent: then it is
// slower for that reason.
func (a *Analyzer) mayBeFirst(now time.Time, o Observation) bool {
	at := targetKey{target: o.Target, key: o.Key}
	since, ok := a.firstSeen[at]
	if !ok && len(a.firstSeen) < maxTargetKeys {
		a.firstSeen[at] = now
	}
	sentAt := now.Add(-o.Latency.Duration() - reportInterval)
	return !ok || sentAt.Before(since)
}

// advance begins new slots as time passes.
func (a *Analyzer) advance(now time.Time) {
	if a.slotStart.IsZero() || now.Sub(a.slotStart) >= 2*windowSlots*windowSlotDuration {
		a.slotStart = now
	}
	for now.Sub(a.slotStart) >= windowSlotDuration {
		a.slot = (a.slot + 1) % windowSlots
		a.window[a.slot] = make(statsByRoute)
		a.slotStart = a.slotStart.Add(windowSlotDuration)
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
func (a *Analyzer) Assess(now time.Time) Assessment {
	a.advance(now)
	result := Assessment{MaxLLR: math.Inf(-1)}
	for route, stats := range a.total {
		if len(stats.targets) == 0 {
			continue
		}
		window := a.windowStats(route)
		reference := stats.old
		if window.old.Answered+window.old.Failed >= minReference {
			reference = window.old
		}
		overall, recent := compare(stats, stats.old, stats.old), compare(window, reference, stats.old)
		result.FailureLLR += overall.failureLLR
		result.SlowLLR += overall.slowLLR
		result.MaxLLR = max(result.MaxLLR, overall.failureLLR, overall.slowLLR)
		result.add(overall)
		result.add(recent)
		stage := compare(a.stage.route(route), stats.old, stats.old)
		result.StageFailureLLR += stage.failureLLR
		result.StageSlowLLR += stage.slowLLR
	}
	switch {
	case result.Bad != ReasonNone:
	case result.FailureLLR >= badLLR:
		result.Bad = ReasonFailures
	case result.SlowLLR >= badLLR:
		result.Bad = ReasonSlow
	}
	result.Good = result.Bad == ReasonNone && !result.Suspect && result.MaxLLR <= 0 && result.FailureLLR <= -goodLLR && result.SlowLLR <= -goodLLR
	return result
}

// add takes in what some of the observations on a route say.
func (a *Assessment) add(e evidence) {
	a.Suspect = a.Suspect || max(e.failureLLR, e.slowLLR) > suspectLLR
	switch {
	case a.Bad != ReasonNone:
	case e.failureLLR >= badLLR && !e.fewFailures:
		a.Bad = ReasonFailures
	case e.slowLLR >= badLLR && !e.fewSlow:
		a.Bad = ReasonSlow
	}
}

// BeginStage forgets the observations of the stage that has ended.
func (a *Analyzer) BeginStage() { a.stage = make(statsByRoute) }

// windowStats joins the observations of a route of the windowStats seconds.
func (a *Analyzer) windowStats(route uint16) *routeStats {
	merged := &routeStats{}
	for _, slot := range a.window {
		if r := slot[route]; r != nil {
			merged.merge(r)
		}
	}
	return merged
}

// evidence is what observations say: the logarithms of the odds, and whether they are of too few
// targets or keys.
type evidence struct {
	failureLLR, slowLLR  float64
	fewFailures, fewSlow bool
}

// compare returns what the observations of new targets say against those of the old ones of a
// reference. Usual tells the usual time of these.
func compare(r *routeStats, reference, latencies Tally) evidence {
	failures := r.failures()
	e := evidence{failureLLR: logLikelihoodRatio(failures, failureRate(reference), minFailureRate, failureRateIncrease), fewFailures: failures.tooFew}
	threshold, known := slowThreshold(latencies.Latencies)
	if !known {
		return e
	}
	slow := r.slowness()
	e.slowLLR, e.fewSlow = logLikelihoodRatio(slow, slowRate(reference.Latencies, threshold), minSlowRate, slowRateIncrease), slow.tooFew
	return e
}

// logLikelihoodRatio returns the logarithm of how much more likely the counts are if a part of more than usual of
// the observations are bad than if only as many as usual are.
func logLikelihoodRatio(c counts, goodRate, minGoodRate, minIncrease float64) float64 {
	goodRate = max(goodRate, minGoodRate)
	badRate := min(goodRate+max(minIncrease, relativeIncrease*goodRate), 0.98)
	goodRate = min(goodRate, 0.9*badRate)
	return float64(c.bad)*math.Log(badRate/goodRate) + float64(c.good)*math.Log((1-badRate)/(1-goodRate))
}
