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

	shares  []Share
	movedAt time.Time
	// settled is true while the shares equal the wanted ones. Time that passes in this state does
	// not allow a larger step.
	settled bool
}

// Advance moves the shares towards want as far as the time since the last call allows, and returns
// them. The share of a region without slots moves immediately, since no target there can run a
// request.
func (m *Ramp) Advance(now time.Time, want []Share, slots map[string]float64) []Share {
	if len(m.shares) == 0 || len(want) == 0 {
		m.shares, m.movedAt, m.settled = want, now, true
		return m.shares
	}
	m.dropEmpty(want, slots)
	distance := m.distance(want)
	if distance < 1e-9 {
		m.shares, m.movedAt, m.settled = want, now, true
		return m.shares
	}
	if m.settled {
		m.movedAt, m.settled = now, false
	}
	elapsed := min(now.Sub(m.movedAt), m.Window)
	allowed := m.Step * float64(elapsed) / float64(m.Window)
	if allowed <= 0 {
		return m.shares
	}
	m.blend(want, min(1, allowed/distance))
	m.movedAt = now
	return m.shares
}

// Settled reports whether the shares equal want.
func (m *Ramp) Settled(want []Share) bool { return m.distance(want) < 1e-9 }

func byRegion(shares []Share) map[string]float64 {
	out := make(map[string]float64, len(shares))
	for _, s := range shares {
		out[s.Region] = s.Fraction
	}
	return out
}

// dropEmpty distributes the shares of regions without slots over the regions in want, in proportion
// to their wanted shares.
func (m *Ramp) dropEmpty(want []Share, slots map[string]float64) {
	held := byRegion(m.shares)
	freed := 0.0
	for region, part := range held {
		if slots[region] <= 0 {
			freed += part
			delete(held, region)
		}
	}
	if freed == 0 {
		return
	}
	for region, part := range byRegion(want) {
		held[region] += freed * part
	}
	m.shares = sorted(held)
}

// distance returns the fraction of the requests that would change its region.
func (m *Ramp) distance(want []Share) float64 {
	held := byRegion(m.shares)
	moved := 0.0
	for _, s := range want {
		if s.Fraction > held[s.Region] {
			moved += s.Fraction - held[s.Region]
		}
	}
	return moved
}

func (m *Ramp) blend(want []Share, weight float64) {
	held := byRegion(m.shares)
	for region := range byRegion(want) {
		if _, ok := held[region]; !ok {
			held[region] = 0
		}
	}
	wanted := byRegion(want)
	for region := range held {
		held[region] += weight * (wanted[region] - held[region])
	}
	m.shares = sorted(held)
}

func sorted(held map[string]float64) []Share {
	out := make([]Share, 0, len(held))
	for region, part := range held {
		out = append(out, Share{Region: region, Fraction: part})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Region < out[j].Region })
	return out
}
