package upstream

import "time"

// utilizationWeight is the weight of a report in the utilization of a region. About the last ten
// reports count, which an instance receives within about a second.
const utilizationWeight = 0.1

// utilization is a moving average of the load that a region's targets report. The zero value has no
// reports.
type utilization struct {
	// perSlot is the mean number of running and waiting requests per slot.
	perSlot    float64
	reportedAt time.Time
}

// observe updates the average by a report.
func (u *utilization) observe(now time.Time, r LoadReport) {
	perSlot := float64(r.Running+r.Waiting) / float64(max(r.Slots, 1))
	if now.Sub(u.reportedAt) >= reportExpiry {
		u.perSlot = perSlot
	} else {
		u.perSlot += utilizationWeight * (perSlot - u.perSlot)
	}
	u.reportedAt = now
}

// at returns the utilization, which decays to 0 as the last report ages.
func (u *utilization) at(now time.Time) float64 {
	return u.perSlot * freshness(now.Sub(u.reportedAt))
}
