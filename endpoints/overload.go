package endpoints

import "time"

// OverloadPeriod is the interval at which an instance measures how late its timers fire.
const OverloadPeriod = 100 * time.Millisecond

const (
	// overloadedLateness is the mean lateness of timers from which on an instance is overloaded, and
	// relievedLateness the one under which it is not. A request takes about 1 ms of a core, so
	// that 20 ms are a queue of many requests.
	overloadedLateness = 20 * time.Millisecond
	relievedLateness   = 10 * time.Millisecond
	// maxLateness bounds what a single measurement counts for, since a pause of the whole process or
	// machine is no load.
	maxLateness = OverloadPeriod
	// latenessSmoothing is the number of measurements over which the mean is taken.
	latenessSmoothing = 8
	// overloadDelay and reliefDelay are the times for which the mean has to be beyond its threshold
	// before the state changes. With the smoothing, an overload is detected after about 1 s and its
	// end after about 3 s.
	overloadDelay = 500 * time.Millisecond
	reliefDelay   = 2 * time.Second
)

// OverloadDetector determines from the lateness of an instance's timers whether the instance is
// overloaded: its processor has a queue. The zero value is ready for use.
type OverloadDetector struct {
	mean       time.Duration
	overloaded bool
	// beyondSince is the time since which the mean has called for a change of the state, or zero.
	beyondSince time.Time
}

// Observe records that a timer fired late by the given duration at a time. It reports whether the
// state has changed. It has to be called about every OverloadPeriod.
func (d *OverloadDetector) Observe(now time.Time, late time.Duration) (changed bool) {
	d.mean += (min(max(late, 0), maxLateness) - d.mean) / latenessSmoothing
	beyond, delay := d.mean >= overloadedLateness, overloadDelay
	if d.overloaded {
		beyond, delay = d.mean < relievedLateness, reliefDelay
	}
	switch {
	case !beyond:
		d.beyondSince = time.Time{}
	case d.beyondSince.IsZero():
		d.beyondSince = now
	case now.Sub(d.beyondSince) >= delay:
		d.overloaded, d.beyondSince = !d.overloaded, time.Time{}
		return true
	}
	return false
}

// Overloaded reports whether the instance is overloaded.
func (d *OverloadDetector) Overloaded() bool { return d.overloaded }

// MeanLateness returns the mean of the recent measurements.
func (d *OverloadDetector) MeanLateness() time.Duration { return d.mean }
