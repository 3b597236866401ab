package locality

import (
	"sort"
	"time"
)

// Ramp follows shares by bounded steps. The zero value of its state takes the
// first shares as they are: constant shares from the start shift nothing.
type Ramp struct {
	// Step is the largest part of the requests that changes its region in a
	// Window.
	Step   float64
	Window time.Duration

	shares  []Share
	movedAt time.Time
	// settled is set while the shares are those wanted. The time that has
	// passed since then allows no larger step.
	settled bool
}

// Advance moves towards want and returns the shares in force. The part of a region
// without slots moves at once, since nothing there can run a request.
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

// Settled tells whether the shares in force are those last wanted.
func (m *Ramp) Settled(want []Share) bool { return m.distance(want) < 1e-9 }

func byRegion(shares []Share) map[string]float64 {
	out := make(map[string]float64, len(shares))
	for _, s := range shares {
		out[s.Region] = s.Fraction
	}
	return out
}

// dropEmpty gives the parts of regions without slots to the others, in
// proportion to want.
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

// distance is the part of the requests that would change its region.
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
