package gateway

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rainford/rainford/locality"
	"github.com/rainford/rainford/upstream"
)

// RegionShares is the division of a service's requests that have the same home regions. It is the one
// of the last such request.
type RegionShares struct {
	// Service is empty in log lines, which name it themselves.
	Service string `json:"service,omitempty"`
	// HomeRegions is empty for the requests that may run in any region.
	HomeRegions []string `json:"home_regions,omitempty"`
	// InForce holds by region the fraction of the hash space of keys, Wanted the fraction that it is
	// moving to, and WantedOfKeys the fraction of the keys from which Wanted is calibrated.
	InForce      map[string]float64 `json:"in_force"`
	Wanted       map[string]float64 `json:"wanted"`
	WantedOfKeys map[string]float64 `json:"wanted_of_keys"`
	// CalibratedKeys is the number of keys of the calibration, and Slots the slots of the targets in
	// service by region.
	CalibratedKeys int                `json:"calibrated_keys"`
	Slots          map[string]float64 `json:"slots"`
	Moving         bool               `json:"moving"`
}

func newRegionShares(s upstream.Shares) RegionShares {
	return RegionShares{HomeRegions: s.HomeRegions, InForce: fractions(s.InForce), Wanted: fractions(s.Wanted),
		WantedOfKeys: fractions(s.WantedOfKeys), CalibratedKeys: s.CalibratedKeys, Slots: s.Slots, Moving: s.Moving}
}

// shareDigits is ten to the number of decimal digits that shares are rounded to.
const shareDigits = 1e4

// fractions returns the rounded shares by region.
func fractions(shares []locality.Share) map[string]float64 {
	out := make(map[string]float64, len(shares))
	for _, s := range shares {
		out[s.Region] = math.Round(s.Fraction*shareDigits) / shareDigits
	}
	return out
}

// logShares logs the shares of regions that have changed.
func (ps *pools) logShares(now time.Time) {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	for _, service := range slices.Sorted(maps.Keys(ps.pools)) {
		ps.pools[service].logShares(now, service)
	}
}

func (p *pool) logShares(now time.Time, service string) {
	p.mu.Lock()
	taken := p.upstream.TakeShares(now)
	p.mu.Unlock()
	if len(taken) == 0 {
		return
	}
	divisions := make([]RegionShares, 0, len(taken))
	for _, s := range taken {
		divisions = append(divisions, newRegionShares(s))
	}
	p.log.Info(logShares, "service", service, "divisions", divisions)
}

// shares returns the shares of regions of all services.
func (ps *pools) shares() []RegionShares {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	var out []RegionShares
	for service, p := range ps.pools {
		p.mu.Lock()
		for _, s := range p.upstream.Shares() {
			shares := newRegionShares(s)
			shares.Service = service
			out = append(out, shares)
		}
		p.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b RegionShares) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), slices.Compare(a.HomeRegions, b.HomeRegions))
	})
	return out
}
