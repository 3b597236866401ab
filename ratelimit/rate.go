package ratelimit

import (
	"math"
	"time"
)

// rateTimeConstant is the time over which a rate is averaged.
const rateTimeConstant = 500 * time.Millisecond

// rateEstimate estimates how many events a second there are. The zero value has seen none.
type rateEstimate struct {
	perSecond float64
	at        time.Time
}

// add counts events.
func (r *rateEstimate) add(now time.Time, n int) {
	r.perSecond = r.value(now) + float64(n)/rateTimeConstant.Seconds()
	r.at = now
}

// value returns the present rate.
func (r *rateEstimate) value(now time.Time) float64 {
	if r.perSecond == 0 {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/rateTimeConstant.Seconds())
}
