package upstream

import (
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/ratelimit"
	"github.com/rainford/rainford/warmup"
)

const (
	// reportFreshFor is the age up to which a load report of a target has full weight.
	reportFreshFor = time.Second
	// reportExpiry is the age from which a load report has no weight.
	reportExpiry = 3 * time.Second
	// reportWeight is the weight of a new load report against the earlier ones.
	reportWeight = 0.6

	// failuresToSuspect is the number of consecutive broken exchanges after which a target is
	// suspected. A single broken exchange does not show that the target is down.
	failuresToSuspect = 3
	// silencesToSuspect is the number of silent attempts without a response in between after which a
	// target is suspected. A single one may be due to the request.
	silencesToSuspect = 2
	minSuspectBackoff = 500 * time.Millisecond
	maxSuspectBackoff = 4 * time.Second
	// rejectionsToPause is the number of consecutive rejections after which a target is paused
	// although it has free slots. A target that rejects half of its requests at random seldom
	// reaches it. A lower number would move that target's keys to targets where they are cold.
	rejectionsToPause = 5
	// rejectionPause is how long a target gets no requests after it rejected one while it was full,
	// or after rejectionsToPause rejections in a row.
	rejectionPause = 150 * time.Millisecond

	// maxKnownKeys bounds the number of keys remembered for a target.
	maxKnownKeys = 512
	// keyTTL is how long a target is assumed to keep the object of a key.
	keyTTL = 30 * time.Second
)

// target is the state that the pool keeps of one target. A large fleet has thousands of targets,
// and an instance sends requests to only a few of them. Data learned from requests and reports is
// therefore kept apart, in stats.
type target struct {
	// Each request ranks all targets of a region. The fields that the ranking reads come first, so
	// that they share a cache line.

	// hash is the hash of the target's ID.
	hash uint64
	// group is the number of the target's hall within its region.
	group int
	// weight is the number of slots, at least 1.
	weight float64
	// state holds the conditions that keep requests from the target. An unlisted target is kept as
	// long as it has requests in flight.
	state availability.State

	spec   *catalog.Target
	region *regionTargets
	// cohort is the cohort to which the target belongs during a rollout.
	cohort    cohort
	placement placement

	inFlight  int
	coldUntil time.Time
	quotas    *quotas
	// quota is nil until it is first needed.
	quota *quota
	// rateLimit is nil if the target has not announced a rate limit. permits is the permit holder
	// of the pool.
	rateLimit *rateLimit
	permits   *ratelimit.Holder
	// stats points to the pool's emptyStats until there is data to keep; see Pool.markActive.
	stats *stats
}

// stats holds what is known of a target from the requests of this instance and the reports of
// others.
type stats struct {
	activeAt time.Time
	// othersInFlight is the estimated number of requests of other instances at the target.
	othersInFlight   float64
	othersReportedAt time.Time
	last             lastReport
	// slow measures how slowly the target responds.
	slow slowness
	// window counts the requests that were sent to the target while it was cold.
	window warmup.Window

	// answeredAt is when the target last responded to this instance, and downAt when this instance
	// last could not connect to it.
	answeredAt, downAt time.Time

	failures int
	// silences is the number of silent attempts since the last response.
	silences int
	// rejections is the number of consecutive rejections.
	rejections int
	// suspectBackoff is the length of the last suspicion, 0 after a response.
	suspectBackoff time.Duration
	// probing is true while one request probes the target after a suspicion.
	probing bool

	knownKeys map[string]time.Time
}

func (t *target) cold(now time.Time) bool { return now.Before(t.coldUntil) }

// inService reports whether the target is listed and is not leaving, replaced or evacuated.
// Conditions that end by themselves, such as suspicions, pauses, back-offs and an exhausted warm-up
// quota, do not count.
func (t *target) inService() bool { return t.state.InService() }

// keepsKeys reports whether the target stays in the ranking of its keys although it may be unusable
// for a moment. A back-off or the loss of the links to a hall lasts seconds, so that meanwhile the
// keys are ranked over the other targets and have two of these. With only one substitute, that target
// would have to load as many objects again.
func (t *target) keepsKeys(now time.Time) bool {
	return t.inService() && !t.state.Unreachable() && !now.Before(t.state.BackoffUntil())
}

// usable reports whether a request may be sent now, regardless of the target's load.
func (t *target) usable(now time.Time) bool { return t.usableIgnoringLimit(now) && t.permitted(now) }

// usableIgnoringLimit reports whether a request may be sent now, regardless of the target's load
// and rate limit.
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

// checkUsable returns whether a request may be sent now, regardless of the target's load and rate limit,
// and the cause if it may not.
func (t *target) checkUsable(now time.Time) availability.Verdict {
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

// load returns the number of requests expected at the target. The mean utilization of the region
// replaces missing or old reports, since in a large fleet an instance seldom receives a report of
// any single target.
func (t *target) load(now time.Time) float64 {
	weight := freshness(now.Sub(t.stats.othersReportedAt))
	others := t.stats.othersInFlight * weight
	if weight < 1 {
		regionMean := t.region.utilization.at(now)*float64(max(t.spec.Slots, 1)) - float64(t.inFlight)
		others += (1 - weight) * max(0, regionMean)
	}
	return float64(t.inFlight) + others
}

// freshness returns the weight, between 0 and 1, of a report of the given age.
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

// hasKey reports whether this instance is known to have sent the key to the target within keyTTL.
func (t *target) hasKey(now time.Time, key string) bool {
	at, ok := t.stats.knownKeys[key]
	return ok && now.Sub(at) < keyTTL
}

func (t *target) rememberKey(now time.Time, key string) {
	if len(t.stats.knownKeys) >= maxKnownKeys {
		for k, at := range t.stats.knownKeys {
			if now.Sub(at) >= keyTTL {
				delete(t.stats.knownKeys, k)
			}
		}
	}
	if t.stats.knownKeys == nil {
		t.stats.knownKeys = make(map[string]time.Time)
	}
	if len(t.stats.knownKeys) < maxKnownKeys {
		t.stats.knownKeys[key] = now
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

// finishRequest records the result of a request.
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
		t.stats.failures, t.stats.silences, t.stats.suspectBackoff, t.stats.rejections = 0, 0, 0, 0
		t.stats.answeredAt = now
	case Rejected:
		t.stats.failures, t.stats.silences, t.stats.suspectBackoff = 0, 0, 0
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
		t.recordSilence(now, r)
	}
}

// recordSilence counts an abandoned attempt if it was silent. A target that was full when the request was
// sent is not held responsible, since requests wait there.
func (t *target) recordSilence(now time.Time, r Result) {
	if !r.Silent || r.SendState.Load >= 1 {
		return
	}
	t.stats.silences++
	if t.stats.silences >= silencesToSuspect || t.stats.suspectBackoff > 0 {
		t.suspect(now)
	}
}

func (t *target) suspect(now time.Time) {
	if now.Before(t.state.SuspectedUntil()) {
		return
	}
	t.stats.suspectBackoff = min(max(2*t.stats.suspectBackoff, minSuspectBackoff), maxSuspectBackoff)
	t.state.Suspect(now, now.Add(t.stats.suspectBackoff))
}

// endSuspicion forgets that the target did not answer.
func (t *target) endSuspicion() {
	t.stats.failures, t.stats.silences, t.stats.suspectBackoff = 0, 0, 0
	t.stats.downAt = time.Time{}
	t.state.EndSuspicion()
}

// applySelfReport applies what the target reported about itself in a response to this instance.
func (t *target) applySelfReport(now time.Time, report availability.SelfReport) {
	if report.Leaving {
		t.state.SetLeaving(now, availability.SourceTarget)
	}
	if report.Backoff > 0 {
		t.state.BackOff(now, report.Backoff)
	}
}

// recordReport records the load that the target reported in a response. The requests at a slow
// target count several times, since new requests wait longer for them. Reports to other instances
// contain the increased load.
func (t *target) recordReport(now time.Time, r LoadReport) {
	requests := t.stats.slow.factor() * float64(r.Running+r.Waiting)
	t.stats.last.record(now, requests/float64(max(r.Slots, 1)))
	t.recordLoad(now, requests)
}

// recordLoad records the number of requests that were at the target at a time.
func (t *target) recordLoad(at time.Time, requests float64) {
	others := max(0, requests-float64(t.inFlight))
	if at.Sub(t.stats.othersReportedAt) >= reportExpiry {
		t.stats.othersInFlight = others
	} else {
		t.stats.othersInFlight += reportWeight * (others - t.stats.othersInFlight)
	}
	t.stats.othersReportedAt = at
}
