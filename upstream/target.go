package upstream

import (
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/ratelimit"
	"github.com/rainford/rainford/warmup"
)

const (
	// othersFresh is how long a target's report on its load counts fully.
	othersFresh = time.Second
	// othersGone is when it no longer counts.
	othersGone = 3 * time.Second
	// reportWeight is the weight of a new report against the earlier ones.
	reportWeight = 0.6

	// failuresToSuspect is the number of failures in a row, none of which
	// shows by itself that the target is gone, that make it suspected.
	failuresToSuspect = 3
	firstSuspicion    = 500 * time.Millisecond
	maxSuspicion      = 4 * time.Second
	// rejectionsToPause is the number of rejections in a row after which a target is
	// paused though it has free slots. One that rejects half of its requests by chance
	// seldom gets there, and its keys are cold elsewhere.
	rejectionsToPause = 5
	// rejectedPause keeps requests from a target that has just rejected one.
	rejectedPause = 150 * time.Millisecond

	// knownKeys bounds the keys remembered for a target.
	knownKeys = 512
	// keyLife is how long a target is taken to remember a key.
	keyLife = 30 * time.Second
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
	// side is whether the target is of a version that is brought in.
	side      side
	placement placement

	inFlight  int
	coldUntil time.Time
	quotas    *quotas
	// quota is nil until it is first asked for.
	quota *quota
	// limited is nil if the target has named no limit, and permits are those of all targets.
	limited *limited
	permits *ratelimit.Holder
	// contact is the pool's none until there is something to keep: see Pool.touch.
	contact *contact
}

// contact is what requests of this instance, and reports of others, have told of a target.
type contact struct {
	touchedAt time.Time
	// others is the number of requests of other instances at the target.
	others   float64
	othersAt time.Time
	last     lastReport
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
	// suspicion is the length of the last suspicion, 0 since an answer.
	suspicion time.Duration
	// probing is set while one request tries a target after a suspicion.
	probing bool

	known map[string]time.Time
}

func (t *target) cold(now time.Time) bool { return now.Before(t.coldUntil) }

// serves tells whether the target is meant to serve. Suspicions, pauses, rests and a cold
// target's quota pass.
func (t *target) serves() bool { return t.state.InService() }

// holds tells whether the target keeps its keys though it may not be used for a moment. While it
// rests, which takes seconds, they have two other places, as one
// would have as many objects again to read.
func (t *target) holds(now time.Time) bool {
	return t.serves() && !now.Before(t.state.BackoffUntil())
}

// usable tells whether a request may be sent now, its load aside.
func (t *target) usable(now time.Time) bool { return t.otherwiseUsable(now) && t.permitted(now) }

// otherwiseUsable tells whether a request may be sent now, the target's load and limit aside.
func (t *target) otherwiseUsable(now time.Time) bool {
	switch {
	case !t.state.Available(now):
		return false
	case t.contact.suspicion > 0 && t.contact.probing:
		return false
	case t.cold(now):
		return t.contact.window.CanTake(now, t.quotaNow())
	default:
		return true
	}
}

// judge tells whether a request may be sent now, its load and limit aside, and what is in the way.
func (t *target) judge(now time.Time) availability.Verdict {
	switch verdict := t.state.Verdict(now); {
	case !verdict.OK():
		return verdict
	case t.otherwiseUsable(now):
		return verdict
	case t.contact.suspicion > 0 && t.contact.probing:
		return availability.Verdict{Cause: availability.CauseProbing, Source: availability.SourceLocal}
	default:
		return availability.Verdict{Cause: availability.CauseCold, Source: availability.SourceList, Until: t.coldUntil}
	}
}

// load is the number of requests expected at the target. Where it has not reported of
// late the load of its region's targets stands in: in a large fleet an instance hears
// of each single one seldom.
func (t *target) load(now time.Time) float64 {
	fresh := freshness(now.Sub(t.contact.othersAt))
	others := t.contact.others * fresh
	if fresh < 1 {
		usual := t.region.usage.at(now)*float64(max(t.spec.Slots, 1)) - float64(t.inFlight)
		others += (1 - fresh) * max(0, usual)
	}
	return float64(t.inFlight) + others
}

// freshness is how much a report of some age counts.
func freshness(age time.Duration) float64 {
	switch {
	case age <= othersFresh:
		return 1
	case age >= othersGone:
		return 0
	default:
		return float64(othersGone-age) / float64(othersGone-othersFresh)
	}
}

// knows tells whether the target has probably seen the key of late.
func (t *target) knows(now time.Time, key string) bool {
	at, ok := t.contact.known[key]
	return ok && now.Sub(at) < keyLife
}

func (t *target) learn(now time.Time, key string) {
	if len(t.contact.known) >= knownKeys {
		for k, at := range t.contact.known {
			if now.Sub(at) >= keyLife {
				delete(t.contact.known, k)
			}
		}
	}
	if t.contact.known == nil {
		t.contact.known = make(map[string]time.Time)
	}
	if len(t.contact.known) < knownKeys {
		t.contact.known[key] = now
	}
}

// begin counts a request that is sent to the target.
func (t *target) begin(now time.Time) {
	t.inFlight++
	if t.cold(now) {
		t.contact.window.Take(now, t.quotaNow())
	}
	if t.contact.suspicion > 0 {
		t.contact.probing = true
	}
}

// end takes in what became of a request.
func (t *target) end(now time.Time, r Result) {
	full := t.load(now) >= float64(t.spec.Slots)
	t.inFlight--
	t.contact.probing = false
	if r.LoadReport != nil {
		t.report(now, *r.LoadReport)
		t.region.usage.hear(now, *r.LoadReport)
	}
	t.take(now, r.SelfReport)
	switch r.Outcome {
	case Answered:
		t.contact.failures, t.contact.suspicion, t.contact.rejections = 0, 0, 0
		t.contact.answeredAt = now
	case Rejected:
		t.contact.failures, t.contact.suspicion = 0, 0
		t.contact.answeredAt = now
		t.contact.rejections++
		if full || t.contact.rejections >= rejectionsToPause {
			t.state.Pause(now, now.Add(rejectedPause), availability.SourceLocal)
		}
	case Replaced:
		t.state.SetReplaced(now)
	case Unreachable:
		t.contact.downAt = now
		t.suspect(now)
	case TimedOut:
		t.suspect(now)
	case Broken:
		t.contact.failures++
		if t.contact.failures >= failuresToSuspect || t.contact.suspicion > 0 {
			t.suspect(now)
		}
	case Abandoned:
	}
}

func (t *target) suspect(now time.Time) {
	if now.Before(t.state.SuspectedUntil()) {
		return
	}
	t.contact.suspicion = min(max(2*t.contact.suspicion, firstSuspicion), maxSuspicion)
	t.state.Suspect(now, now.Add(t.contact.suspicion))
}

// take takes in what the target said of itself in an answer to this instance.
func (t *target) take(now time.Time, w availability.SelfReport) {
	if w.Leaving {
		t.state.SetLeaving(now, availability.SourceTarget)
	}
	if w.Backoff > 0 {
		t.state.BackOff(now, w.Backoff)
	}
}

// report takes in what the target told of its load with an answer. Requests at a slow
// target count for more, as what comes next waits longer for them; others are told the same.
func (t *target) report(now time.Time, r LoadReport) {
	requests := t.contact.slow.factor() * float64(r.Running+r.Waiting)
	t.contact.last.take(now, requests/float64(max(r.Slots, 1)))
	t.count(now, requests)
}

// count takes in the number of requests at the target at a moment.
func (t *target) count(at time.Time, requests float64) {
	others := max(0, requests-float64(t.inFlight))
	if at.Sub(t.contact.othersAt) >= othersGone {
		t.contact.others = others
	} else {
		t.contact.others += reportWeight * (others - t.contact.others)
	}
	t.contact.othersAt = at
}
