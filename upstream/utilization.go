package upstream

import "time"

// utilizationWeight is the weight of a new report against the average of the earlier ones. The
// average thus covers about the last ten reports. An instance receives these within about a second.
const utilizationWeight = 0.1

// utilization is an exponentially weighted moving average, over the load reports of a region's
// targets, of the running and waiting requests per slot. The zero value has no reports.
type utilization struct {
	// perSlot is the average number of running and waiting requests per slot.
	perSlot float64
	// reportedAt is the time of the last report.
	reportedAt time.Time
}

// observe adds a report to the average. The average starts again with this report if the last one
// is at least reportExpiry old.
func (u *utilization) observe(now time.Time, r LoadReport) {
	perSlot := float64(r.Running+r.Waiting) / float64(max(r.Slots, 1))
	if now.Sub(u.reportedAt) >= reportExpiry {
		u.perSlot = perSlot
	} else {
		u.perSlot += utilizationWeight * (perSlot - u.perSlot)
	}
	u.reportedAt = now
}

// at returns the utilization at a time, in requests per slot. It is the average until the last
// report is reportFreshFor old, and then falls linearly to 0 at reportExpiry.
func (u *utilization) at(now time.Time) float64 {
	return u.perSlot * freshness(now.Sub(u.reportedAt))
}
