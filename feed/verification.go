package feed

import "time"

const (
	// minVerificationInterval and maxVerificationInterval bound the time from one verification of
	// a replica to the next. It doubles each time, so that instances which differ for good, as
	// because the store writes the same object in two ways, do not read it again and again.
	minVerificationInterval = 2 * time.Second
	maxVerificationInterval = 5 * time.Minute
)

// Verification decides when a replica that is in doubt is listed by the store again. The zero value
// is ready to use. It is not safe for concurrent use.
type Verification struct {
	last     time.Time
	interval time.Duration
}

// Due reports whether a replica that is in doubt may be listed now.
func (v *Verification) Due(now time.Time) bool { return now.Sub(v.last) >= v.interval }

// Done records that the replica was listed, or that the attempt failed.
func (v *Verification) Done(now time.Time) {
	if now.Sub(v.last) > 2*maxVerificationInterval {
		v.interval = 0
	}
	v.interval = min(max(2*v.interval, minVerificationInterval), maxVerificationInterval)
	v.last = now
}
