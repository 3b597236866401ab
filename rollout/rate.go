package rollout

import "time"

const (
	// rateSamples and rateTime are the number of counts that a rate is taken from and the time
	// between two of them, and leastSamples the number below which there is none.
	rateSamples    = 6
	rateInterval   = 500 * time.Millisecond
	minRateSamples = 3
)

// rateEstimator is how fast a count has risen of late.
type rateEstimator struct {
	at     [rateSamples]time.Time
	counts [rateSamples]int
	n      int
}

// add takes in a count, if it is time for one.
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

// perSecond returns the rate, false if too little is known.
func (r *rateEstimator) perSecond() (float64, bool) {
	if r.n < minRateSamples || r.counts[r.n-1] == 0 {
		return 0, false
	}
	elapsed := r.at[r.n-1].Sub(r.at[0])
	return float64(r.counts[r.n-1]-r.counts[0]) / elapsed.Seconds(), true
}
