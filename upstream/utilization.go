package upstream

import "time"

// utilizationWeight is the weight of a report in the usage of a region: the last ten or so
// count, which an instance hears within about a second.
const utilizationWeight = 0.1

// utilization is the load of a region's targets by what they have reported of late. The zero
// value has heard nothing.
type utilization struct {
	// perSlot is the mean number of requests running and waiting, over the slots.
	perSlot    float64
	reportedAt time.Time
}

// observe takes in a report.
func (u *utilization) observe(now time.Time, r LoadReport) {
	perSlot := float64(r.Running+r.Waiting) / float64(max(r.Slots, 1))
	if now.Sub(u.reportedAt) >= reportExpiry {
		u.perSlot = perSlot
	} else {
		u.perSlot += utilizationWeight * (perSlot - u.perSlot)
	}
	u.reportedAt = now
}

// at returns the usage, less as the last report ages.
func (u *utilization) at(now time.Time) float64 {
	return u.perSlot * freshness(now.Sub(u.reportedAt))
}
