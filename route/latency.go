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
func (t *LatencyTracker) Observe(latency time.Duration) {
	if t.typical == 0 {
		t.current, t.typical = latency, latency
		return
	}
	t.current += time.Duration(currentWeight * float64(latency-t.current))
	weight := typicalRiseWeight
	if latency < t.typical {
		weight = typicalFallWeight
	}
	t.typical += time.Duration(weight * float64(latency-t.typical))
}

// Warm tells whether the destination answers about as fast as usual.
func (t *LatencyTracker) Warm() bool {
	return t.current <= warmFactor*t.typical+warmSlack
}
