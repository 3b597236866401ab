package locality

import (
	"sort"
	"time"
)

const (
	// pointTTL is how long a key that is not seen again counts.
	pointTTL = 30 * time.Second
	// maxPoints bounds the keys that are counted. Of more keys chance gives each
	// region its part closely enough.
	maxPoints = 1024
)

// Points are the hashes of the keys that were seen of late, in [0, 1). The zero value
// is ready.
type Points struct {
	seen map[float64]time.Time
}

// Add counts a key's point.
func (p *Points) Add(now time.Time, point float64) {
	if p.seen == nil {
		p.seen = make(map[float64]time.Time)
	}
	if _, ok := p.seen[point]; ok || len(p.seen) < maxPoints {
		p.seen[point] = now
	}
}

// Sorted returns the points in order and forgets those that were not seen for long.
func (p *Points) Sorted(now time.Time) []float64 {
	out := make([]float64, 0, len(p.seen))
	for point, at := range p.seen {
		if now.Sub(at) >= pointTTL {
			delete(p.seen, point)
			continue
		}
		out = append(out, point)
	}
	sort.Float64s(out)
	return out
}

// Calibrate returns shares of the hashes that give each region its part of the keys.
// Few keys lie unevenly: of 32 keys a region whose share of the hashes is a half gets
// 16, give or take 3. Draw has to be called with the same region from.
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
	part, begin := 0.0, 0.0
	for i, s := range ordered {
		part += s.Fraction
		end := quantile(points, part)
		if i == len(ordered)-1 {
			end = 1
		}
		ordered[i].Fraction = end - begin
		begin = end
	}
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].Region < ordered[j].Region })
	return ordered
}

// minPoints is the number of keys below which their distribution says nothing.
const minPoints = 8

// quantile returns the hash below which a part of the points lies.
func quantile(points []float64, part float64) float64 {
	at := part * float64(len(points))
	below := min(int(at), len(points)-1)
	low, high := boundary(points, below), boundary(points, below+1)
	return low + (at-float64(below))*(high-low)
}

// boundary returns a hash that n of the points lie below.
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
