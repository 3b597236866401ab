package route

import "time"

// LatencyTracker compares the latency of a destination now with its usual one. The
// zero value is ready and counts as warm.
type LatencyTracker struct {
	now   time.Duration
	usual time.Duration
}

const (
	fastWeight  = 0.2
	slowWeight  = 0.01
	warmFactor  = 2
	warmSlack   = 5 * time.Millisecond
	quickWeight = 0.1
)

// Observe takes in the latency of one answer. The usual latency follows a
// faster one quickly and a slower one slowly.
func (w *LatencyTracker) Observe(latency time.Duration) {
	if w.usual == 0 {
		w.now, w.usual = latency, latency
		return
	}
	w.now += time.Duration(fastWeight * float64(latency-w.now))
	weight := slowWeight
	if latency < w.usual {
		weight = quickWeight
	}
	w.usual += time.Duration(weight * float64(latency-w.usual))
}

// Warm tells whether the destination answers about as fast as usual.
func (w *LatencyTracker) Warm() bool {
	return w.now <= warmFactor*w.usual+warmSlack
}
