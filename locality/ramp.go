package locality

import (
	"sort"
	"time"
)

// Ramp moves shares towards wanted shares at a bounded rate. A Ramp without shares adopts the first
// wanted shares immediately, since shares that are constant from the start move no requests.
type Ramp struct {
	// Step is the largest fraction of the requests that may change its region within Window.
	Step   float64
	Window time.Duration

	shares     []Share
	advancedAt time.Time
	// settled is true while the shares equal the wanted ones. Time that passes in this state does
	// not allow a larger step.
	settled bool
}

// Advance moves the shares towards want as far as the time since the last call allows, and returns
// them. The share of a region without slots moves immediately, since no target there can run a
// request.
func (r *Ramp) Advance(now time.Time, want []Share, slots map[string]float64) []Share {
	if len(r.shares) == 0 || len(want) == 0 {
		r.shares, r.advancedAt, r.settled = want, now, true
		return r.shares
	}
	r.dropEmpty(want, slots)
	distance := r.distance(want)
	if distance < 1e-9 {
		r.shares, r.advancedAt, r.settled = want, now, true
		return r.shares
	}
	if r.settled {
		r.advancedAt, r.settled = now, false
	}
	elapsed := min(now.Sub(r.advancedAt), r.Window)
	allowed := r.Step * float64(elapsed) / float64(r.Window)
	if allowed <= 0 {
		return r.shares
	}
	r.blend(want, min(1, allowed/distance))
	r.advancedAt = now
	return r.shares
}

// Settled reports whether the shares equal want.
func (r *Ramp) Settled(want []Share) bool { return r.distance(want) < 1e-9 }

func byRegion(shares []Share) map[string]float64 {
	out := make(map[string]float64, len(shares))
	for _, s := range shares {
		out[s.Region] = s.Fraction
	}
	return out
}

// dropEmpty distributes the shares of regions without slots over the regions in want, in proportion
// to their wanted shares.
func (r *Ramp) dropEmpty(want []Share, slots map[string]float64) {
	current := byRegion(r.shares)
	freed := 0.0
	for region, fraction := range current {
		if slots[region] <= 0 {
			freed += fraction
			delete(current, region)
		}
	}
	if freed == 0 {
		return
	}
	for region, fraction := range byRegion(want) {
		current[region] += freed * fraction
	}
	r.shares = sorted(current)
}

// distance returns the fraction of the requests that would change its region.
func (r *Ramp) distance(want []Share) float64 { return Distance(r.shares, want) }

// Distance returns the fraction of the requests that change their region if shares change from one
// set to another. It is the sum of the increases.
func Distance(from, to []Share) float64 {
	current := byRegion(from)
	moved := 0.0
	for _, s := range to {
		if s.Fraction > current[s.Region] {
			moved += s.Fraction - current[s.Region]
		}
	}
	return moved
}

func (r *Ramp) blend(want []Share, weight float64) {
	current := byRegion(r.shares)
	for region := range byRegion(want) {
		if _, ok := current[region]; !ok {
			current[region] = 0
		}
	}
	wanted := byRegion(want)
	for region := range current {
		current[region] += weight * (wanted[region] - current[region])
	}
	r.shares = sorted(current)
}

func sorted(shares map[string]float64) []Share {
	out := make([]Share, 0, len(shares))
	for region, fraction := range shares {
		out = append(out, Share{Region: region, Fraction: fraction})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Region < out[j].Region })
	return out
}
