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
	// badOdds and goodOdds are the logarithms of the odds at which a version is judged to be bad
	// and to be good. The first is the higher one, as it is looked at again and again.
	badOdds  = 11.0
	goodOdds = 4.6

	// leastFailing is the part of the answers that is taken to fail at a good version at least,
	// and moreFailing the additional part at a bad one.
	leastFailing = 0.01
	moreFailing  = 0.06
	// leastSlow and moreSlow are the same for slow answers.
	leastSlow = 0.05
	moreSlow  = 0.25
	// slowTimes is how many usual times of the old targets a slow answer takes.
	slowTimes = 2.5
	// relativelyMore is the additional part, as a multiple of that of the old version, if that
	// has many failures or slow answers itself.
	relativelyMore = 0.75

	// leastReference is the number of answers of the old targets in the last seconds below which
	// all answers since the order are the reference.
	leastReference = 50
)

// suspectOdds is the logarithm of the odds from which on the last seconds speak against a version.
const suspectOdds = 2.0

const (
	// windowSlots is the number of windowSlotTime that make up the last seconds.
	windowSlots    = 6
	windowSlotTime = 500 * time.Millisecond
)

// Judge decides whether a version is good or bad.
type Judge struct {
	// all are those since the judge has begun, and stage those of the stage.
	all, stage stats
	// slots are those of the last seconds, of which the one at the index began at slotAt.
	slots  [windowSlots]stats
	index  int
	slotAt time.Time
	// seen are the places where new targets have had a key, and when that was first told.
	seen map[place]time.Time
	// observed is the number of observations of new targets.
	observed int
}

// place is where an observation was made.
type place struct {
	target, key uint32
}

// maxPlaces bounds the places that are remembered: 1 MB.
const maxPlaces = 20_000

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	j := &Judge{all: make(stats), stage: make(stats), seen: make(map[place]time.Time)}
	for i := range j.slots {
		j.slots[i] = make(stats)
	}
	return j
}

// Observed returns the number of observations of new targets.
func (j *Judge) Observed() int { return j.observed }

// Hear takes in what an instance has observed.
func (j *Judge) Hear(now time.Time, r Report) {
	j.advance(now)
	for _, t := range r.Old {
		j.all.route(t.Route).addOld(t)
		j.slots[j.index].route(t.Route).addOld(t)
	}
	for _, o := range r.New {
		j.observed++
		o.Cold = o.Cold || j.isFirst(now, o)
		limit, known := slowFrom(j.all.route(o.Route).old.Times)
		j.all.route(o.Route).addNew(o, limit, known)
		j.slots[j.index].route(o.Route).addNew(o, limit, known)
		j.stage.route(o.Route).addNew(o, limit, known)
	}
}

// isFirst tells whether the target may not have had the key when the request was sent: then it is
// slower for that reason.
func (j *Judge) isFirst(now time.Time, o Observation) bool {
	at := place{target: o.Target, key: o.Key}
	since, ok := j.seen[at]
	if !ok && len(j.seen) < maxPlaces {
		j.seen[at] = now
	}
	sentAt := now.Add(-o.Took.Duration() - reportTime)
	return !ok || sentAt.Before(since)
}

// advance begins new slots as time passes.
func (j *Judge) advance(now time.Time) {
	if j.slotAt.IsZero() || now.Sub(j.slotAt) >= 2*windowSlots*windowSlotTime {
		j.slotAt = now
	}
	for now.Sub(j.slotAt) >= windowSlotTime {
		j.index = (j.index + 1) % windowSlots
		j.slots[j.index] = make(stats)
		j.slotAt = j.slotAt.Add(windowSlotTime)
	}
}

// Opinion is what a judge thinks of a version.
type Opinion struct {
	// Bad is why the version is bad, ReasonNone if it is not.
	Bad Reason
	// Good says that enough was seen to take it for good, and Suspect that the observations on a
	// route, or of the last seconds, speak rather against it.
	Good, Suspect bool
	// Worst is the highest of the logarithms of the odds by all observations on a route.
	Worst float64
	// Failing and Slow are the logarithms of the odds that it fails more often and is slower, by
	// all observations, and StageFailing and StageSlow the same by those of the stage alone.
	Failing, Slow           float64
	StageFailing, StageSlow float64
}

// Opinion returns what the judge thinks now.
func (j *Judge) Opinion(now time.Time) Opinion {
	j.advance(now)
	o := Opinion{Worst: math.Inf(-1)}
	for hash, all := range j.all {
		if len(all.targets) == 0 {
			continue
		}
		last := j.last(hash)
		reference := all.old
		if last.old.Answered+last.old.Failed >= leastReference {
			reference = last.old
		}
		whole, recent := weigh(all, all.old, all.old), weigh(last, reference, all.old)
		o.Failing += whole.failing
		o.Slow += whole.slow
		o.Worst = max(o.Worst, whole.failing, whole.slow)
		o.take(whole)
		o.take(recent)
		stage := weigh(j.stage.route(hash), all.old, all.old)
		o.StageFailing += stage.failing
		o.StageSlow += stage.slow
	}
	switch {
	case o.Bad != ReasonNone:
	case o.Failing >= badOdds:
		o.Bad = ReasonFailures
	case o.Slow >= badOdds:
		o.Bad = ReasonSlow
	}
	o.Good = o.Bad == ReasonNone && !o.Suspect && o.Worst <= 0 && o.Failing <= -goodOdds && o.Slow <= -goodOdds
	return o
}

// take takes in what some of the observations on a route say.
func (o *Opinion) take(w weight) {
	o.Suspect = o.Suspect || max(w.failing, w.slow) > suspectOdds
	switch {
	case o.Bad != ReasonNone:
	case w.failing >= badOdds && !w.fewFailing:
		o.Bad = ReasonFailures
	case w.slow >= badOdds && !w.fewSlow:
		o.Bad = ReasonSlow
	}
}

// BeginStage forgets the observations of the stage that has ended.
func (j *Judge) BeginStage() { j.stage = make(stats) }

// last joins the observations of a route of the last seconds.
func (j *Judge) last(hash uint16) *routeStats {
	joined := &routeStats{}
	for _, slot := range j.slots {
		if r := slot[hash]; r != nil {
			joined.join(r)
		}
	}
	return joined
}

// weight is what observations say: the logarithms of the odds, and whether they are of too few
// targets or keys.
type weight struct {
	failing, slow       float64
	fewFailing, fewSlow bool
}

// weigh returns what the observations of new targets say against those of the old ones of a
// reference. Usual tells the usual time of these.
func weigh(r *routeStats, reference, usual Tally) weight {
	failures := r.failures()
	w := weight{failing: odds(failures, failedPart(reference), leastFailing, moreFailing), fewFailing: failures.few}
	limit, known := slowFrom(usual.Times)
	if !known {
		return w
	}
	slow := r.slowness()
	w.slow, w.fewSlow = odds(slow, slowPart(reference.Times, limit), leastSlow, moreSlow), slow.few
	return w
}

// odds returns the logarithm of how much more likely the counts are if a part of more than usual of
// the observations are bad than if only as many as usual are.
func odds(c counts, usual, least, more float64) float64 {
	usual = max(usual, least)
	worse := min(usual+max(more, relativelyMore*usual), 0.98)
	usual = min(usual, 0.9*worse)
	return float64(c.bad)*math.Log(worse/usual) + float64(c.good)*math.Log((1-worse)/(1-usual))
}
