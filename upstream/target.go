package upstream

import (
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/ratelimit"
	"github.com/rainford/rainford/warmup"
)

const (
	// reportFreshFor is how long a target's report on its load counts fully.
	reportFreshFor = time.Second
	// reportExpiry is when it no longer counts.
	reportExpiry = 3 * time.Second
	// reportWeight is the weight of a new report against the earlier ones.
	reportWeight = 0.6

	// failuresToSuspect is the number of failures in a row, none of which
	// shows by itself that the target is gone, that make it suspected.
	failuresToSuspect = 3
	minSuspectBackoff = 500 * time.Millisecond
	maxSuspectBackoff = 4 * time.Second
	// rejectionsToPause is the number of rejections in a row after which a target is
	// paused though it has free slots. One that rejects half of its requests by chance
	// seldom gets there, and its keys are cold elsewhere.
	rejectionsToPause = 5
	// rejectionPause keeps requests from a target that has just rejected one.
	rejectionPause = 150 * time.Millisecond

	// maxKnownKeys bounds the keys remembered for a target.
	maxKnownKeys = 512
	// keyTTL is how long a target is taken to remember a key.
	keyTTL = 30 * time.Second
)

// target is what the pool knows of one target. A large fleet has thousands, of which an instance sends
// requests to a few: what requests and reports tell of a target is kept apart, in contact.
type target struct {
	// What a ranking looks at comes first, to lie in one cache line: each request ranks all
	// targets of a region.

	// hash is that of the target's ID.
	hash uint64
	// group is the number of the target's hall in its region.
	group int
	// weight is the number of slots, 1 at least.
	weight float64
	// state is what keeps requests from the target. A target that is gone and still has
	// requests in flight is kept for these.
	state availability.State

	spec   *catalog.Target
	region *regionTargets
	// cohort is whether the target is of a version that is brought in.
	cohort    cohort
	placement placement

	inFlight  int
	coldUntil time.Time
	quotas    *quotas
	// quota is nil until it is first asked for.
	quota *quota
	// rateLimit is nil if the target has named no limit, and permits are those of all targets.
	rateLimit *rateLimit
	permits   *ratelimit.Holder
	// stats is the pool's none until there is something to keep: see Pool.touch.
	stats *stats
}

// stats is what requests of this instance, and reports of others, have told of a target.
type stats struct {
	activeAt time.Time
	// othersInFlight is the number of requests of other instances at the target.
	othersInFlight   float64
	othersReportedAt time.Time
	last             lastReport
	// slow is how slowly the target answers.
	slow slowness
	// window counts the requests that were sent to the target while it was cold.
	window warmup.Window

	// answeredAt is when the target last answered here, and downAt when it last could
	// not be reached.
	answeredAt, downAt time.Time

	failures int
	// rejections is the number of rejections in a row.
	rejections int
	// suspectBackoff is the length of the last suspectBackoff, 0 since an answer.
	suspectBackoff time.Duration
	// probing is set while one request tries a target after a suspicion.
	probing bool

	known map[string]time.Time
}

func (t *target) cold(now time.Time) bool { return now.Before(t.coldUntil) }

// inService tells whether the target is meant to serve. Suspicions, pauses, rests and a cold
// target's quota pass.
func (t *target) inService() bool { return t.state.InService() }

// keepsKeys tells whether the target keeps its keys though it may not be used for a moment. While it
// rests, which takes seconds, they have two other places, as one
// would have as many objects again to read.
func (t *target) keepsKeys(now time.Time) bool {
	return t.inService() && !now.Before(t.state.BackoffUntil())
}

// usable tells whether a request may be sent now, its load aside.
func (t *target) usable(now time.Time) bool { return t.usableIgnoringLimit(now) && t.permitted(now) }

// usableIgnoringLimit tells whether a request may be sent now, the target's load and limit aside.
func (t *target) usableIgnoringLimit(now time.Time) bool {
	switch {
	case !t.state.Available(now):
		return false
	case t.stats.suspectBackoff > 0 && t.stats.probing:
		return false
	case t.cold(now):
		return t.stats.window.CanTake(now, t.currentQuota())
	default:
		return true
	}
}

// judge tells whether a request may be sent now, its load and limit aside, and what is in the way.
func (t *target) judge(now time.Time) availability.Verdict {
	switch verdict := t.state.Verdict(now); {
	case !verdict.OK():
		return verdict
	case t.usableIgnoringLimit(now):
		return verdict
	case t.stats.suspectBackoff > 0 && t.stats.probing:
		return availability.Verdict{Cause: availability.CauseProbing, Source: availability.SourceLocal}
	default:
		return availability.Verdict{Cause: availability.CauseCold, Source: availability.SourceList, Until: t.coldUntil}
	}
}

// load is the number of requests expected at the target. Where it has not reported of
// late the load of its region's targets stands in: in a large fleet an instance hears
// of each single one seldom.
func (t *target) load(now time.Time) float64 {
	fresh := freshness(now.Sub(t.stats.othersReportedAt))
	others := t.stats.othersInFlight * fresh
	if fresh < 1 {
		usual := t.region.utilization.at(now)*float64(max(t.spec.Slots, 1)) - float64(t.inFlight)
		others += (1 - fresh) * max(0, usual)
	}
	return float64(t.inFlight) + others
}

// freshness is how much a report of some age counts.
func freshness(age time.Duration) float64 {
	switch {
	case age <= reportFreshFor:
		return 1
	case age >= reportExpiry:
		return 0
	default:
		return float64(reportExpiry-age) / float64(reportExpiry-reportFreshFor)
	}
}

// hasKey tells whether the target has probably seen the key of late.
func (t *target) hasKey(now time.Time, key string) bool {
	at, ok := t.stats.known[key]
	return ok && now.Sub(at) < keyTTL
}

func (t *target) rememberKey(now time.Time, key string) {
	if len(t.stats.known) >= maxKnownKeys {
		for k, at := range t.stats.known {
			if now.Sub(at) >= keyTTL {
				delete(t.stats.known, k)
			}
		}
	}
	if t.stats.known == nil {
		t.stats.known = make(map[string]time.Time)
	}
	if len(t.stats.known) < maxKnownKeys {
		t.stats.known[key] = now
	}
}

// startRequest counts a request that is sent to the target.
func (t *target) startRequest(now time.Time) {
	t.inFlight++
	if t.cold(now) {
		t.stats.window.Take(now, t.currentQuota())
	}
	if t.stats.suspectBackoff > 0 {
		t.stats.probing = true
	}
}

// finishRequest takes in what became of a request.
func (t *target) finishRequest(now time.Time, r Result) {
	full := t.load(now) >= float64(t.spec.Slots)
	t.inFlight--
	t.stats.probing = false
	if r.LoadReport != nil {
		t.recordReport(now, *r.LoadReport)
		t.region.utilization.observe(now, *r.LoadReport)
	}
	t.applySelfReport(now, r.SelfReport)
	switch r.Outcome {
	case Answered:
		t.stats.failures, t.stats.suspectBackoff, t.stats.rejections = 0, 0, 0
		t.stats.answeredAt = now
	case Rejected:
		t.stats.failures, t.stats.suspectBackoff = 0, 0
		t.stats.answeredAt = now
		t.stats.rejections++
		if full || t.stats.rejections >= rejectionsToPause {
			t.state.Pause(now, now.Add(rejectionPause), availability.SourceLocal)
		}
	case Replaced:
		t.state.SetReplaced(now)
	case Unreachable:
		t.stats.downAt = now
		t.suspect(now)
	case TimedOut:
		t.suspect(now)
	case Broken:
		t.stats.failures++
		if t.stats.failures >= failuresToSuspect || t.stats.suspectBackoff > 0 {
			t.suspect(now)
		}
	case Abandoned:
	}
}

func (t *target) suspect(now time.Time) {
	if now.Before(t.state.SuspectedUntil()) {
		return
	}
	t.stats.suspectBackoff = min(max(2*t.stats.suspectBackoff, minSuspectBackoff), maxSuspectBackoff)
	t.state.Suspect(now, now.Add(t.stats.suspectBackoff))
}

// applySelfReport takes in what the target said of itself in an answer to this instance.
func (t *target) applySelfReport(now time.Time, w availability.SelfReport) {
	if w.Leaving {
		t.state.SetLeaving(now, availability.SourceTarget)
	}
	if w.Backoff > 0 {
		t.state.BackOff(now, w.Backoff)
	}
}

// recordReport takes in what the target told of its load with an answer. Requests at a slow
// target count for more, as what comes next waits longer for them; others are told the same.
func (t *target) recordReport(now time.Time, r LoadReport) {
	requests := t.stats.slow.factor() * float64(r.Running+r.Waiting)
	t.stats.last.record(now, requests/float64(max(r.Slots, 1)))
	t.recordLoad(now, requests)
}

// recordLoad takes in the number of requests at the target at a moment.
func (t *target) recordLoad(at time.Time, requests float64) {
	others := max(0, requests-float64(t.inFlight))
	if at.Sub(t.stats.othersReportedAt) >= reportExpiry {
		t.stats.othersInFlight = others
	} else {
		t.stats.othersInFlight += reportWeight * (others - t.stats.othersInFlight)
	}
	t.stats.othersReportedAt = at
}
