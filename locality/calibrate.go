package locality

import (
	"sort"
	"time"
)

const (
	// pointTTL is how long a key counts after it was last seen.
	pointTTL = 30 * time.Second
	// maxPoints bounds the number of keys that are counted. With more keys, random variation is
	// small enough without calibration.
	maxPoints = 1024
)

// Points holds the hashes of the keys seen recently, as numbers in [0, 1). The zero value is empty
// and ready to use.
type Points struct {
	lastSeen map[float64]time.Time
}

// Add records that a key with the given hash was seen. It ignores a new key while maxPoints keys
// are recorded.
func (p *Points) Add(now time.Time, point float64) {
	if p.lastSeen == nil {
		p.lastSeen = make(map[float64]time.Time)
	}
	if _, ok := p.lastSeen[point]; ok || len(p.lastSeen) < maxPoints {
		p.lastSeen[point] = now
	}
}

// Sorted returns the recorded hashes in increasing order. It drops those not seen within pointTTL.
func (p *Points) Sorted(now time.Time) []float64 {
	out := make([]float64, 0, len(p.lastSeen))
	for point, at := range p.lastSeen {
		if now.Sub(at) >= pointTTL {
			delete(p.lastSeen, point)
			continue
		}
		out = append(out, point)
	}
	sort.Float64s(out)
	return out
}

// Calibrate returns shares of the hash space that give each region its wanted share of the keys
// with the given hashes. It is needed because a small number of keys is distributed unevenly: of 32
// keys a region with half of the hash space gets about 16 ± 3. Draw must be called with the same
// region from.
func Calibrate(from string, want []Share, points []float64) []Share {
	if len(points) < minPoints {
		return want
	}
	ordered := make([]Share, 0, len(want))
	for _, s := range want {
		if s.Region == from {
			ordered = append(ordered, s)
		}
	}
	for _, s := range want {
		if s.Region != from {
			ordered = append(ordered, s)
		}
	}
	cumulative, begin := 0.0, 0.0
	for i, s := range ordered {
		cumulative += s.Fraction
		end := quantile(points, cumulative)
		if i == len(ordered)-1 {
			end = 1
		}
		ordered[i].Fraction = end - begin
		begin = end
	}
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].Region < ordered[j].Region })
	return ordered
}

// minPoints is the number of keys below which their distribution is not meaningful. Calibrate then
// returns want.
const minPoints = 8

// quantile returns the hash below which the given fraction of the points lies.
func quantile(points []float64, fraction float64) float64 {
	rank := fraction * float64(len(points))
	below := min(int(rank), len(points)-1)
	low, high := boundary(points, below), boundary(points, below+1)
	return low + (rank-float64(below))*(high-low)
}

// boundary returns a hash that has n of the points below it.
func boundary(points []float64, n int) float64 {
	switch {
	case n <= 0:
		return 0
	case n >= len(points):
		return 1
	default:
		return (points[n-1] + points[n]) / 2
	}
}
