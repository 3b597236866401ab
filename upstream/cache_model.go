package upstream

import "time"

const (
	// modelWeight is the weight of a response in the model. About the last twenty responses count.
	modelWeight = 0.05
	// warmLatencyFactor is the latency, as a multiple of the warm latency, up to which a response
	// counts as a cache hit. A miss takes about three times as long as a hit.
	warmLatencyFactor = 1.7
	// maxLatencyFactor bounds the multiple of the warm latency that one response counts for, so
	// that a slow target does not raise the warm latency of all.
	maxLatencyFactor = 2.0
	// slowWeight is the weight of a response in a target's slowness. slowThreshold is the slowness
	// from which it has an effect. The latencies of cache hits vary by about a quarter, and with a
	// threshold of 1.8 targets were avoided that had only just been busy.
	slowWeight    = 0.5
	slowThreshold = 3.0
	// schedulingDelay is a latency, in seconds, up to which a target does not count as slow. A
	// process that waits for a processor can be delayed that long. Without this bound, one response
	// in 15 ms after several in 0.3 ms multiplied the load of a target by 40, and the only target
	// of a service counted as full.
	schedulingDelay = 0.020
)

// SendState records what was known of the target when a request was sent. It is part of a Decision
// and must be returned with the Result.
type SendState struct {
	// NewVersion means that the target runs the version that is being rolled out.
	NewVersion bool
	// KeyKnown means that this instance has sent the key to the target within keyTTL.
	KeyKnown bool
	// FirstChoice means that the target was the first one in the ranking of the key.
	FirstChoice bool
	// Load is the number of requests expected at the target, divided by its slots.
	Load float64
	// Probe means that the request finds out whether the target answers again.
	Probe bool
	// GrantedAt is when the target was granted.
	GrantedAt time.Time
	// PermitExpiry is when the permit for the target expires, zero if the target had no rate limit.
	PermitExpiry time.Time
}

// cacheModel estimates the latency of cache hits and the probability that a target has an object.
// The zero value assumes that objects not known to be cached are not.
type cacheModel struct {
	// warmLatency is the latency of a cache hit without waiting, in seconds.
	warmLatency float64
	// firstHitRate and otherHitRate are the fractions of cache hits among requests whose key this
	// instance had not sent to the target before, at the first target of the key and at others.
	// Requests of other instances had warmed these objects.
	firstHitRate, otherHitRate float64
}

// hitProbability returns the probability that a target has an object.
func (w *cacheModel) hitProbability(known, firstChoice bool) float64 {
	switch {
	case known:
		return 1
	case firstChoice:
		return w.firstHitRate
	default:
		return w.otherHitRate
	}
}

// observe updates the model by the latency of a response. It returns the latency as a multiple of
// the warm latency, or 0 if the latency does not show how fast the target is, as after a cache
// miss.
func (w *cacheModel) observe(sent SendState, latency time.Duration) float64 {
	unloaded := latency.Seconds() / max(1, sent.Load)
	if sent.KeyKnown && w.warmLatency == 0 {
		w.warmLatency = unloaded
	}
	if w.warmLatency == 0 {
		return 0
	}
	ratio := unloaded / w.warmLatency
	if sent.KeyKnown {
		factor := unloaded / max(w.warmLatency, schedulingDelay)
		w.warmLatency += modelWeight * (min(ratio, maxLatencyFactor) - 1) * w.warmLatency
		return factor
	}
	hit := 0.0
	if ratio < warmLatencyFactor {
		hit = 1
	}
	rate := &w.otherHitRate
	if sent.FirstChoice {
		rate = &w.firstHitRate
	}
	*rate += modelWeight * (hit - *rate)
	return 0
}

// slowness is the latency of a target's cache hits as a multiple of the warm latency. It is at most
// 1 if the target is not known to be slow.
type slowness float64

// observe updates the slowness by a multiple of the warm latency.
func (s *slowness) observe(times float64) {
	before := max(1, float64(*s))
	*s = slowness(before + slowWeight*(max(1, times)-before))
}

// factor returns the factor by which a request at the target counts in its load.
func (s slowness) factor() float64 {
	if s < slowThreshold {
		return 1
	}
	return float64(s)
}
