package route

import "time"

// LatencyTracker compares the latency of a destination now with its usual one. The
// zero value is ready and counts as warm.
type LatencyTracker struct {
	current time.Duration
	typical time.Duration
}

const (
	currentWeight     = 0.2
	typicalRiseWeight = 0.01
	warmFactor        = 2
	warmSlack         = 5 * time.Millisecond
	typicalFallWeight = 0.1
)

// Observe takes in the latency of one answer. The usual latency follows a
// faster one quickly and a slower one slowly.
func (w *LatencyTracker) Observe(latency time.Duration) {
	if w.typical == 0 {
		w.current, w.typical = latency, latency
		return
	}
	w.current += time.Duration(currentWeight * float64(latency-w.current))
	weight := typicalRiseWeight
	if latency < w.typical {
		weight = typicalFallWeight
	}
	w.typical += time.Duration(weight * float64(latency-w.typical))
}

// Warm tells whether the destination answers about as fast as usual.
func (w *LatencyTracker) Warm() bool {
	return w.current <= warmFactor*w.typical+warmSlack
}
