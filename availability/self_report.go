package availability

import (
	"slices"
	"time"
)

// SelfReport is what a target reports about itself along with an answer. The zero value reports
// nothing.
type SelfReport struct {
	// Leaving reports that the target is about to shut down and wants no new requests.
	Leaving bool
	// Backoff is the time for which the target wants no requests from this instance, 0 if it asks
	// for no back-off.
	Backoff time.Duration
	// HasLimit reports whether the target announces a rate limit. RateLimit is the number of
	// requests a second that it admits from all instances together.
	HasLimit  bool
	RateLimit float64
	// Malformed lists the fields with invalid values.
	Malformed []Field
}

// Field identifies a field of a SelfReport.
type Field string

// The fields of a SelfReport.
const (
	FieldLeaving   Field = "leaving"
	FieldBackoff   Field = "rest"
	FieldRateLimit Field = "limit"
)

// IsMalformed reports whether a field has an invalid value.
func (r SelfReport) IsMalformed(field Field) bool { return slices.Contains(r.Malformed, field) }

// Restricts reports whether the target restricts the requests of this instance, fully or by a rate.
func (r SelfReport) Restricts() bool { return r.Leaving || r.Backoff > 0 || r.HasLimit }
