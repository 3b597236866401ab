package upstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rainford/rainford/locality"
)

const (
	// reportedChange is the fraction of the requests by which shares change before they are reported
	// again.
	reportedChange = 0.01
	// movingInterval is the longest time between two reports of shares that are still moving, and
	// reportInterval the shortest time between two reports of a pool.
	movingInterval = 10 * time.Second
	reportInterval = time.Second
	// roundingError bounds the error of sums of shares.
	roundingError = 1e-9
	// maxReportedShares bounds the sets of home regions of one report.
	maxReportedShares = 8
)

// Shares describes how a pool divides the requests with one set of home regions between regions, with
// the inputs of the division. The shares are those of the last request with these home regions.
type Shares struct {
	// HomeRegions is empty for the requests that may run in any region.
	HomeRegions []string
	// InForce are the fractions of the hash space that the regions have now, and Wanted those that
	// they are moving to.
	InForce, Wanted []locality.Share
	// WantedOfKeys are the wanted fractions of the keys, from which Wanted is calibrated with the
	// observed keys. CalibratedKeys is the number of these.
	WantedOfKeys   []locality.Share
	CalibratedKeys int
	// Slots holds the slots of the targets in service by region.
	Slots map[string]float64
	// Moving means that InForce differs from Wanted.
	Moving bool
}

// reportedShares are the shares of a plan that were reported last.
type reportedShares struct {
	shares []locality.Share
	at     time.Time
}

// Shares returns all shares in force, ordered by home regions.
func (p *Pool) Shares() []Shares {
	var out []Shares
	for _, key := range slices.Sorted(maps.Keys(p.plans)) {
		out = append(out, p.plans[key].describe())
	}
	return out
}

// TakeShares returns the shares that have changed by reportedChange or more since they were last
// returned, and every movingInterval those that are moving. It returns none within reportInterval of
// the last call that returned any, and at most maxReportedShares, those that were returned the longest
// ago first.
func (p *Pool) TakeShares(now time.Time) []Shares {
	if now.Sub(p.sharesTakenAt) < reportInterval {
		return nil
	}
	due := make([]*plan, 0, maxReportedShares)
	for _, pl := range p.plans {
		if pl.reportDue(now) {
			due = append(due, pl)
		}
	}
	if len(due) == 0 {
		return nil
	}
	slices.SortFunc(due, func(a, b *plan) int {
		return cmp.Or(a.reported.at.Compare(b.reported.at), slices.Compare(a.homeRegions, b.homeRegions))
	})
	out := make([]Shares, 0, min(len(due), maxReportedShares))
	for _, pl := range due[:cap(out)] {
		pl.reported = reportedShares{shares: pl.shares, at: now}
		out = append(out, pl.describe())
	}
	p.sharesTakenAt = now
	return out
}

// reportDue reports whether the shares have to be reported.
func (pl *plan) reportDue(now time.Time) bool {
	// Both directions are compared, since either set of shares may be empty.
	changed := max(locality.Distance(pl.reported.shares, pl.shares), locality.Distance(pl.shares, pl.reported.shares))
	return changed >= reportedChange-roundingError || (!pl.settled && now.Sub(pl.reported.at) >= movingInterval)
}

// describe returns the shares of the plan with their inputs.
func (pl *plan) describe() Shares {
	return Shares{HomeRegions: pl.homeRegions, InForce: slices.Clone(pl.shares), Wanted: slices.Clone(pl.wantedShares),
		WantedOfKeys: slices.Clone(pl.keyShares), CalibratedKeys: pl.calibratedKeys, Slots: maps.Clone(pl.slots), Moving: !pl.settled}
}
