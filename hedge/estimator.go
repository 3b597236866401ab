package hedge

import (
	"math"
	"time"
)

const (
	// delayQuantile and delayFactor give the hedge delay: delayFactor times the delayQuantile of the
	// durations. With the factor, fewer than 2 in 100 attempts last longer under normal conditions.
	delayQuantile = 0.98
	delayFactor   = 1.5
	// objectiveDivisor divides the latency objective to get the shortest hedge delay. A response that
	// is merely later than most others, but early for the client, is not worth a second attempt.
	objectiveDivisor = 4
	// minDelay is the shortest hedge delay if there is no objective. A process that waits for a
	// processor can be delayed that long.
	minDelay = 20 * time.Millisecond

	// minSamples is the number of durations, counted with their weights, below which there is no
	// delay. A high quantile of fewer is chance.
	minSamples = 30
	// halfLife is the time in which the weight of a duration halves.
	halfLife = 10 * time.Second
	// keptSamples is the total weight below which durations do not decay. An instance of a large fleet
	// gets a response on a route every few seconds, and would never have minSamples otherwise.
	keptSamples = 60
	// maxAge is the time without a response after which the durations are not used any more.
	maxAge = time.Minute
	// decayInterval is the least time between two updates of the weights, and updateInterval the one
	// between two computations of the quantiles.
	decayInterval  = 250 * time.Millisecond
	updateInterval = 100 * time.Millisecond
)

const (
	// bucketsPerDoubling is the number of buckets per factor of two, so that a bucket is 9 % wide.
	bucketsPerDoubling = 8
	// numBuckets is the number of buckets. The last one begins at 118 s.
	numBuckets = 136
	// firstBucket is the upper end of the first bucket.
	firstBucket = time.Millisecond
)

// Estimator estimates how long nearly all attempts of one kind take until the response, from a
// histogram whose samples decay. The zero value has no samples. It is not safe for concurrent use.
type Estimator struct {
	weights [numBuckets]float32
	total   float64
	// decayedAt is when the weights were last decayed, recordedAt the time of the last sample.
	decayedAt, recordedAt time.Time
	// high and median are the quantiles as of updatedAt.
	high, median time.Duration
	updatedAt    time.Time
}

// Record adds the time from the start of an attempt to its response.
func (e *Estimator) Record(now time.Time, took time.Duration) {
	e.decay(now)
	e.weights[bucketOf(took)]++
	e.total++
	e.recordedAt = now
}

// Delay returns how long after its start an attempt is hedged, for requests with the given latency
// objective, which is 0 if there is none. The result is false if too few samples are known.
func (e *Estimator) Delay(now time.Time, objective time.Duration) (time.Duration, bool) {
	if !e.ready(now) {
		return 0, false
	}
	e.update(now)
	return max(time.Duration(delayFactor*float64(e.high)), objective/objectiveDivisor, minDelay), true
}

// Median returns the median of the durations. The result is false if too few samples are known.
func (e *Estimator) Median(now time.Time) (time.Duration, bool) {
	if !e.ready(now) {
		return 0, false
	}
	e.update(now)
	return e.median, true
}

// Expired reports whether the samples are too old to be used.
func (e *Estimator) Expired(now time.Time) bool { return now.Sub(e.recordedAt) >= maxAge }

func (e *Estimator) ready(now time.Time) bool { return e.total >= minSamples && !e.Expired(now) }

// decay reduces the weights of the samples by the time since the last call, but not their total to
// less than keptSamples.
func (e *Estimator) decay(now time.Time) {
	elapsed := now.Sub(e.decayedAt)
	if elapsed < decayInterval {
		return
	}
	e.decayedAt = now
	if e.total <= keptSamples {
		return
	}
	factor := max(math.Exp2(-elapsed.Seconds()/halfLife.Seconds()), keptSamples/e.total)
	e.total = 0
	for i := range e.weights {
		e.weights[i] *= float32(factor)
		e.total += float64(e.weights[i])
	}
}

// update computes the quantiles unless that was done shortly before.
func (e *Estimator) update(now time.Time) {
	if now.Sub(e.updatedAt) < updateInterval {
		return
	}
	e.updatedAt = now
	e.median, e.high = 0, boundOf(numBuckets-1)
	below := 0.0
	for i, w := range e.weights {
		below += float64(w)
		if e.median == 0 && below >= e.total/2 {
			e.median = boundOf(i)
		}
		if below >= delayQuantile*e.total {
			e.high = boundOf(i)
			return
		}
	}
}

// bucketOf returns the bucket of a duration.
func bucketOf(took time.Duration) int {
	if took <= firstBucket {
		return 0
	}
	return min(numBuckets-1, int(math.Ceil(bucketsPerDoubling*math.Log2(float64(took)/float64(firstBucket)))))
}

// boundOf returns the upper end of a bucket.
func boundOf(bucket int) time.Duration {
	return time.Duration(math.Exp2(float64(bucket)/bucketsPerDoubling) * float64(firstBucket))
}
