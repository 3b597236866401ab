package locality

import (
	"sort"

	"github.com/rainford/rainford/table"
)

// Share is the fraction of the requests that a region runs.
type Share struct {
	Region   string
	Fraction float64
}

// FromSlots returns the shares for the requests that enter in region from. slots holds the slots of
// each region that may run the requests, and regions is the number of regions in which clients are.
// The result is ordered by region, and empty if there are no slots.
func FromSlots(from string, slots map[string]float64, regions int) []Share {
	total := 0.0
	for _, n := range slots {
		total += n
	}
	if total <= 0 {
		return nil
	}
	demand := total / float64(max(regions, 1))
	keep := slots[from] / demand
	if keep >= 1 {
		return []Share{{Region: from, Fraction: 1}}
	}
	spare := spareSlots(from, slots, demand)
	out := make([]Share, 0, len(spare)+1)
	if keep > 0 {
		out = append(out, Share{Region: from, Fraction: keep})
	}
	sum := 0.0
	for _, s := range spare {
		sum += s.Fraction
	}
	for _, s := range spare {
		out = append(out, Share{Region: s.Region, Fraction: (1 - keep) * s.Fraction / sum})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Region < out[j].Region })
	return out
}

// spareSlots returns for each other region the slots beyond an equal demand, or all slots if no
// region has any to spare.
func spareSlots(from string, slots map[string]float64, demand float64) []Share {
	var spare, all []Share
	for region, n := range slots {
		if region == from || n <= 0 {
			continue
		}
		all = append(all, Share{Region: region, Fraction: n})
		if n > demand {
			spare = append(spare, Share{Region: region, Fraction: n - demand})
		}
	}
	if len(spare) == 0 {
		spare = all
	}
	sort.Slice(spare, func(i, j int) bool { return spare[i].Region < spare[j].Region })
	return spare
}

// FromRows returns the shares that the operators' routing rows give to the requests of a service
// that enter in region from. Regions without slots are left out. The result is empty if there are
// no such rows.
func FromRows(service, from string, rows []table.Row, slots map[string]float64) []Share {
	total := 0.0
	weights := make(map[string]float64)
	for _, row := range rows {
		if row.Service != service || row.From != from || row.Weight <= 0 || slots[row.To] <= 0 {
			continue
		}
		weights[row.To] += float64(row.Weight)
		total += float64(row.Weight)
	}
	out := make([]Share, 0, len(weights))
	for region, weight := range weights {
		out = append(out, Share{Region: region, Fraction: weight / total})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Region < out[j].Region })
	return out
}

// Draw returns the region for point, which lies in [0, 1). The hash space starts with the share of
// region from, so that a change between two other regions moves none of its requests. Draw returns
// "" if there are no shares.
func Draw(from string, shares []Share, point float64) string {
	for _, s := range shares {
		if s.Region == from {
			if point < s.Fraction {
				return from
			}
			point -= s.Fraction
		}
	}
	last := ""
	for _, s := range shares {
		if s.Region == from {
			last = firstNonEmpty(last, s.Region)
			continue
		}
		last = s.Region
		if point < s.Fraction {
			return s.Region
		}
		point -= s.Fraction
	}
	return last
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
