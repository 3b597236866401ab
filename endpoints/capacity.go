package endpoints

import "math"

const (
	// coreSecondsPerRequest is the processor time, in seconds of a core, that a request is assumed
	// to take at an instance.
	coreSecondsPerRequest = 0.001
	// bitsPerRequest is what a request is assumed to move over the link of an instance.
	bitsPerRequest = 8 * 5000
	// maxCapacity bounds the capacity that an instance is believed to have, in requests per second.
	// It keeps the arithmetic of samples exact.
	maxCapacity = 1 << 24
)

// Capacity returns the requests per second that an instance can carry with the given cores and the
// given link, in Mbit/s: as many as the scarcer of the two allows. It is rounded to two significant
// binary digits, so that few different weights occur. A limit of 0 is unknown. The result is 0 if
// both are.
func Capacity(cores, linkMbps float64) int {
	byCores, byLink := cores/coreSecondsPerRequest, linkMbps*1e6/bitsPerRequest
	switch {
	case cores <= 0 && linkMbps <= 0:
		return 0
	case cores <= 0:
		return roundCapacity(byLink)
	case linkMbps <= 0:
		return roundCapacity(byCores)
	default:
		return roundCapacity(min(byCores, byLink))
	}
}

// roundCapacity rounds a capacity to the nearest integer with two significant binary digits,
// between 1 and maxCapacity.
func roundCapacity(perSecond float64) int {
	if perSecond < 2 {
		return 1
	}
	perSecond = min(perSecond, maxCapacity)
	unit := math.Exp2(math.Floor(math.Log2(perSecond)) - 1)
	return int(math.Round(perSecond/unit) * unit)
}
