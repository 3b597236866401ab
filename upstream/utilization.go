package upstream

import "time"

// usageWeight is the weight of a report in the usage of a region: the last ten or so
// count, which an instance hears within about a second.
const usageWeight = 0.1

// usage is the load of a region's targets by what they have reported of late. The zero
// value has heard nothing.
type usage struct {
	// perSlot is the mean number of requests running and waiting, over the slots.
	perSlot float64
	heardAt time.Time
}

// hear takes in a report.
func (u *usage) hear(now time.Time, r LoadReport) {
	perSlot := float64(r.Running+r.Waiting) / float64(max(r.Slots, 1))
	if now.Sub(u.heardAt) >= othersGone {
		u.perSlot = perSlot
	} else {
		u.perSlot += usageWeight * (perSlot - u.perSlot)
	}
	u.heardAt = now
}

// at returns the usage, less as the last report ages.
func (u *usage) at(now time.Time) float64 {
	return u.perSlot * freshness(now.Sub(u.heardAt))
}
