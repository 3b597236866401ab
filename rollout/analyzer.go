package rollout

import (
	"math"
	"time"
)

// Reason states why a version was judged to be bad or a rollout was aborted.
type Reason string

// Reasons for a rollback.
const (
	ReasonNone     Reason = ""
	ReasonFailures Reason = "failures"
	ReasonSlow     Reason = "slow"
	// ReasonNoTargets states that the version had no targets in service in time.
	ReasonNoTargets Reason = "no-targets"
	// ReasonNoTime states that the requests could not be shifted in time.
	ReasonNoTime Reason = "no-time"
)

// The analysis compares the failures and slow responses of the new targets with those of the old
// targets on the same route by a sequential probability ratio test. It sums the log-likelihood
// ratio (LLR) of the hypothesis that the version is bad to the hypothesis that it is as good as the
// old one, and decides when the sum is far enough from 0. A version may turn bad at any time, so
// the sum is also taken over a sliding window. A version may be bad on one route only, so each
// route is also tested by itself.
const (
	// badLLR and goodLLR are the log-likelihood ratios at which a version is judged to be bad or
	// good. badLLR is higher because the test is evaluated repeatedly.
	badLLR  = 11.0
	goodLLR = 4.6

	// minFailureRate is the lowest failure rate assumed of a good version, failureRateIncrease the
	// increase assumed of a bad one.
	minFailureRate      = 0.01
	failureRateIncrease = 0.06
	// minSlowRate and slowRateIncrease are the same for slow responses.
	minSlowRate      = 0.05
	slowRateIncrease = 0.25
	// slowFactor is the multiple of the old targets' median latency from which a response is slow.
	slowFactor = 2.5
	// relativeIncrease is the increase assumed of a bad version, relative to the rate of the old
	// one. It applies if the old version has many failures or slow responses itself.
	relativeIncrease = 0.75

	// minReference is the number of responses of old targets in the window below which all their
	// responses since the order are the reference.
	minReference = 50
)

// suspectLLR is the log-likelihood ratio above which a version is suspect.
const suspectLLR = 2.0

const (
	// windowSlots is the number of slots of the sliding window, windowSlotDuration the length of
	// one.
	windowSlots        = 6
	windowSlotDuration = 500 * time.Millisecond
)

// Analyzer performs the canary analysis of a version. It is not safe for concurrent use.
type Analyzer struct {
	// total holds all observations, stage those of the current stage.
	total, stage statsByRoute
	// window is a ring of slots. slot is the index of the current one, which began at slotStart.
	window    [windowSlots]statsByRoute
	slot      int
	slotStart time.Time
	// firstSeen is the time of the first observation of each key at each new target.
	firstSeen map[targetKey]time.Time
	// observed is the number of observations of new targets.
	observed int
}

// targetKey identifies a key at a target.
type targetKey struct {
	target, key uint32
}

// maxTargetKeys limits the entries of Analyzer.firstSeen, which then take 1 MB.
const maxTargetKeys = 20_000

// NewAnalyzer returns an analyzer without observations.
func NewAnalyzer() *Analyzer {
	a := &Analyzer{total: make(statsByRoute), stage: make(statsByRoute), firstSeen: make(map[targetKey]time.Time)}
	for i := range a.window {
		a.window[i] = make(statsByRoute)
	}
	return a
}

// Observed returns the number of observations of new targets.
func (a *Analyzer) Observed() int { return a.observed }

// AddReport adds the observations of a report that arrived at time now.
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

// mayBeFirst reports whether the target may not have had the key's object when the request was
// sent. Such a request is slower because the target has to load the object.
func (a *Analyzer) mayBeFirst(now time.Time, o Observation) bool {
	at := targetKey{target: o.Target, key: o.Key}
	since, ok := a.firstSeen[at]
	if !ok && len(a.firstSeen) < maxTargetKeys {
		a.firstSeen[at] = now
	}
	sentAt := now.Add(-o.Latency.Duration() - reportInterval)
	return !ok || sentAt.Before(since)
}

// advance moves the window up to time now.
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

// Assessment is the result of the canary analysis of a version.
type Assessment struct {
	// Bad is the reason why the version is bad, or ReasonNone.
	Bad Reason
	// Good reports whether there is enough evidence that the version is good. Suspect reports
	// whether the observations on a route, in total or in the window, are evidence against the
	// version.
	Good, Suspect bool
	// MaxLLR is the highest log-likelihood ratio of a route over all observations.
	MaxLLR float64
	// FailureLLR and SlowLLR are the log-likelihood ratios over all routes that the version fails
	// more often and that it is slower. StageFailureLLR and StageSlowLLR are the same for the
	// observations of the current stage.
	FailureLLR, SlowLLR           float64
	StageFailureLLR, StageSlowLLR float64
}

// Assess returns the assessment at time now.
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

// add applies the evidence of one route to Suspect and Bad.
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

// BeginStage discards the observations of the previous stage.
func (a *Analyzer) BeginStage() { a.stage = make(statsByRoute) }

// windowStats returns the statistics of a route over the sliding window.
func (a *Analyzer) windowStats(route uint16) *routeStats {
	merged := &routeStats{}
	for _, slot := range a.window {
		if r := slot[route]; r != nil {
			merged.merge(r)
		}
	}
	return merged
}

// evidence holds the log-likelihood ratios of a set of observations, and whether the failures or
// slow responses come from too few targets or keys.
type evidence struct {
	failureLLR, slowLLR  float64
	fewFailures, fewSlow bool
}

// compare returns the evidence in the observations of new targets, given the rates of the old
// targets in reference. The threshold for slow responses is derived from latencies.
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

// logLikelihoodRatio returns the log-likelihood ratio of a bad version to a good one. GoodRate is
// the rate of bad observations of the old version and is taken to be at least minGoodRate. The rate
// of a bad version exceeds it by at least minIncrease.
func logLikelihoodRatio(c counts, goodRate, minGoodRate, minIncrease float64) float64 {
	goodRate = max(goodRate, minGoodRate)
	badRate := min(goodRate+max(minIncrease, relativeIncrease*goodRate), 0.98)
	goodRate = min(goodRate, 0.9*badRate)
	return float64(c.bad)*math.Log(badRate/goodRate) + float64(c.good)*math.Log((1-badRate)/(1-goodRate))
}
