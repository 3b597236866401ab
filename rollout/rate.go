package rollout

import "time"

const (
	// rateSamples is the number of samples from which a rate is computed, rateInterval the time
	// between two samples. No rate is computed from fewer than minRateSamples samples.
	rateSamples    = 6
	rateInterval   = 500 * time.Millisecond
	minRateSamples = 3
)

// rateEstimator estimates the rate of a counter from its latest samples.
type rateEstimator struct {
	at     [rateSamples]time.Time
	counts [rateSamples]int
	n      int
}

// add takes a sample of the counter if rateInterval has passed since the last one.
func (r *rateEstimator) add(now time.Time, count int) {
	if r.n > 0 && now.Sub(r.at[r.n-1]) < rateInterval {
		return
	}
	if r.n == rateSamples {
		copy(r.at[:], r.at[1:])
		copy(r.counts[:], r.counts[1:])
		r.n--
	}
	r.at[r.n], r.counts[r.n] = now, count
	r.n++
}

// perSecond returns the rate in 1/s, or false if there are too few samples or the last one is 0.
func (r *rateEstimator) perSecond() (float64, bool) {
	if r.n < minRateSamples || r.counts[r.n-1] == 0 {
		return 0, false
	}
	elapsed := r.at[r.n-1].Sub(r.at[0])
	return float64(r.counts[r.n-1]-r.counts[0]) / elapsed.Seconds(), true
}
