package upstream

import "time"

const (
	// modelWeight is the weight of a new answer in what is learned of warm objects: the
	// last twenty or so count.
	modelWeight = 0.05
	// warmLatencyFactor is how many usual times of a warm answer one may take to count as warm. On
	// the sites a cold run takes three times as long.
	warmLatencyFactor = 1.7
	// maxLatencyFactor bounds the usual times that one answer counts for, so that a slow target
	// does not make slow times usual.
	maxLatencyFactor = 2.0
	// slowWeight is the weight of a new answer in a target's slowness, and slowFrom the
	// slowness from which on it counts. Times of warm answers spread by about a quarter, and
	// from 1.8 on targets were left that had just been busy.
	slowWeight    = 0.5
	slowThreshold = 3.0
	// schedulingDelay is the time of an answer, in seconds, up to which a target is not taken for
	// slower than usual by much: a process that waits for a processor is held up for as
	// long. Without it one answer in 15 ms after some in 0.3 ms made a target count for 40
	// times its requests, and a service's only target full. Simulated days of two sites were
	// the same with and without it, one of a third lost 0.002 of its worth (0.575, 0.573).
	schedulingDelay = 0.020
)

// SendState is what was believed when a request was sent: a Decision tells it and the Result
// brings it back.
type SendState struct {
	// NewVersion says that the target is of the version that a rollout brings in.
	NewVersion bool
	// KeyKnown says that the target has had the object from this instance.
	KeyKnown bool
	// FirstChoice says that the target was the first one of the key.
	FirstChoice bool
	// Load is the requests expected at the target, over its slots.
	Load float64
	// GrantedAt is when the target was granted.
	GrantedAt time.Time
	// PermitExpiry is how long the request may be sent by the target's limit, zero if the
	// target had none.
	PermitExpiry time.Time
}

// cacheModel is what a pool has learned of the times of warm and cold objects. The zero value
// has learned nothing and takes objects that are not known for cold.
type cacheModel struct {
	// warmLatency is the time of an answer for an object that its target has, in seconds,
	// without a wait.
	warmLatency float64
	// firstHitRate and otherHitRate are the parts of the objects that were not known here and yet warm,
	// at the firstHitRate targets of their keys and at others: otherHitRate instances had sent them.
	firstHitRate, otherHitRate float64
}

// hitProbability returns how likely a target is to have an object.
func (w *cacheModel) hitProbability(known, first bool) float64 {
	switch {
	case known:
		return 1
	case first:
		return w.firstHitRate
	default:
		return w.otherHitRate
	}
}

// observe takes in the time of an answer. It returns how many usual times it took, 0 if
// that says nothing of the target: a cold object is no fault of it.
func (w *cacheModel) observe(sent SendState, took time.Duration) float64 {
	unloaded := took.Seconds() / max(1, sent.Load)
	if sent.KeyKnown && w.warmLatency == 0 {
		w.warmLatency = unloaded
	}
	if w.warmLatency == 0 {
		return 0
	}
	times := unloaded / w.warmLatency
	if sent.KeyKnown {
		slow := unloaded / max(w.warmLatency, schedulingDelay)
		w.warmLatency += modelWeight * (min(times, maxLatencyFactor) - 1) * w.warmLatency
		return slow
	}
	fast := 0.0
	if times < warmLatencyFactor {
		fast = 1
	}
	part := &w.otherHitRate
	if sent.FirstChoice {
		part = &w.firstHitRate
	}
	*part += modelWeight * (fast - *part)
	return 0
}

// slowness is how many times slower than usual a target answers for objects that it has,
// 1 if it is not known to be slow.
type slowness float64

// observe counts the usual times that an answer took.
func (s *slowness) observe(times float64) {
	before := max(1, float64(*s))
	*s = slowness(before + slowWeight*(max(1, times)-before))
}

// factor returns what a request at the target counts for in its load.
func (s slowness) factor() float64 {
	if s < slowThreshold {
		return 1
	}
	return float64(s)
}
