package share

import "time"

// Ramp bounds how fast the use of a row grows. The permitted part of the units
// starts at Shift percent. It rises by Shift percent once per Period, and only
// after a period in which at least nearPercent of the permitted part was used
// while the destination was warm. Without use it falls back step by step. The
// zero value permits everything.
//
// Rising in bounded steps and watching between them follows Taiji (Xu et al.,
// SOSP 2019) and Maelstrom (Veeraraghavan et al., OSDI 2018).
type Ramp struct {
	// Step is a step in percent of the units. 0 and 100 permit everything.
	Step int
	// Period is the time between steps.
	Period time.Duration

	level   int
	peak    int
	started time.Time
}

const (
	fullLevel   = 100
	risePercent = 80
	// fallPercent is the use below which a period counts as unused.
	fallPercent = 20
)

// Configure changes the step and the period. The level reached is kept.
func (r *Ramp) Configure(step int, period time.Duration) {
	r.Step = step
	r.Period = period
}

// Allowed returns how many of total units may be used within one window at now.
// It is at least 1 when total is.
func (r *Ramp) Allowed(now time.Time, total int) int {
	if r.unlimited() {
		return total
	}
	r.start(now)
	return allowedUnits(total, r.level)
}

// Level returns the permitted part in percent.
func (r *Ramp) Level() int {
	if r.unlimited() {
		return fullLevel
	}
	return max(r.level, r.Step)
}

// Observe reports the units used within the window that ends at now, out of
// total, and whether the destination is warm: cold is no reason to fall, it
// only holds the next step back.
func (r *Ramp) Observe(now time.Time, used, total int, warm bool) {
	if r.unlimited() {
		return
	}
	r.start(now)
	if total > 0 {
		r.peak = max(r.peak, used*fullLevel/allowedUnits(total, r.level))
	}
	if now.Sub(r.started) < r.Period {
		return
	}
	r.step(warm)
	r.started = now
	r.peak = 0
}

func (r *Ramp) unlimited() bool {
	return r.Step <= 0 || r.Step >= fullLevel
}

func (r *Ramp) start(now time.Time) {
	if r.started.IsZero() {
		r.started = now
		r.level = r.Step
	}
}

func (r *Ramp) step(warm bool) {
	switch {
	case r.peak >= risePercent && warm:
		r.level = min(r.level+r.Step, fullLevel)
	case r.peak < fallPercent:
		r.level = max(r.level-r.Step, r.Step)
	}
}

// allowedUnits rounds up, so that a row of few units can be used at all.
func allowedUnits(total, level int) int {
	return (total*level + fullLevel - 1) / fullLevel
}
