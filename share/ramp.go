package share

import "time"

// Ramp limits how fast the use of a row may grow. The allowed fraction of the units
// starts at Step percent. It rises by Step percent once per Period if at least
// risePercent of the allowed units were used in that period and the destination is
// warm at its end, that is, answers about as fast as usual. It falls by Step percent in a
// period with little use. The zero value allows everything.
//
// Rising in bounded steps with an observation period between them follows Taiji
// (Xu et al., SOSP 2019) and Maelstrom (Veeraraghavan et al., OSDI 2018).
type Ramp struct {
	// Step is the size of a step in percent of the units. 0 and 100 allow everything.
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
	// fallPercent is the percentage of the allowed units below which the use in a
	// period counts as little.
	fallPercent = 20
)

// Configure changes the step and the period. It keeps the level.
func (r *Ramp) Configure(step int, period time.Duration) {
	r.Step = step
	r.Period = period
}

// Allowed returns how many of total units may be used within one window at now. It
// returns at least 1 if total is at least 1.
func (r *Ramp) Allowed(now time.Time, total int) int {
	if r.unlimited() {
		return total
	}
	r.start(now)
	return allowedUnits(total, r.level)
}

// Level returns the allowed fraction of the units in percent.
func (r *Ramp) Level() int {
	if r.unlimited() {
		return fullLevel
	}
	return max(r.level, r.Step)
}

// Observe records how many of total units were used within the window that ends at
// now, and whether the destination is warm. A cold destination delays the next rise.
// Only little use lowers the level.
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

// allowedUnits returns the units at a level in percent. It rounds up, so that rows with
// few units can be used.
func allowedUnits(total, level int) int {
	return (total*level + fullLevel - 1) / fullLevel
}
