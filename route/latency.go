package route

import "time"

// LatencyTracker compares the current latency of a destination with its typical latency. Both
// are moving averages of observed latencies. The zero value is ready to use and counts as warm.
type LatencyTracker struct {
	current time.Duration
	typical time.Duration
}

const (
	// currentWeight is the weight of a response in the current latency.
	currentWeight = 0.2
	// typicalRiseWeight is the weight in the typical latency of a response that is
	// not faster than it.
	typicalRiseWeight = 0.01
	// A destination is warm if its current latency is at most warmFactor times its
	// typical latency plus warmSlack.
	warmFactor = 2
	warmSlack  = 5 * time.Millisecond
	// typicalFallWeight is the weight in the typical latency of a faster response.
	typicalFallWeight = 0.1
)

// Observe records the latency of one response. The typical latency decreases quickly after
// faster responses and increases slowly after slower ones.
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

// Warm reports whether the destination responds about as fast as usual.
func (t *LatencyTracker) Warm() bool {
	return t.current <= warmFactor*t.typical+warmSlack
}
