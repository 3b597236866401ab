package ratelimit

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the exponential decay of rate estimates.
const rateTimeConstant = 500 * time.Millisecond

// rateEstimate estimates the number of events per second. In the zero value, no events have
// been counted.
type rateEstimate struct {
	perSecond float64
	at        time.Time
}

// add counts n events at now.
func (r *rateEstimate) add(now time.Time, n int) {
	r.perSecond = r.value(now) + float64(n)/rateTimeConstant.Seconds()
	r.at = now
}

// value returns the estimate at now, in events per second.
func (r *rateEstimate) value(now time.Time) float64 {
	if r.perSecond == 0 {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/rateTimeConstant.Seconds())
}
