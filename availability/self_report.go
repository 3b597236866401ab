package availability

import (
	"slices"
	"time"
)

// SelfReport is what a target says of itself in an answer. The zero value says nothing.
type SelfReport struct {
	// Leaving says that the target is about to end and wants no new requests.
	Leaving bool
	// Backoff is how long the target wants no requests from this instance, 0 if it does not
	// ask for that.
	Backoff time.Duration
	// HasLimit says that the target names how much it takes, and Limit is the number of
	// requests a second that it takes from all instances together.
	HasLimit  bool
	RateLimit float64
	// Malformed are the parts of the word whose value is none that they may have.
	Malformed []Field
}

// Field is a part of a target's word.
type Field string

// The parts.
const (
	FieldLeaving   Field = "leaving"
	FieldBackoff   Field = "rest"
	FieldRateLimit Field = "limit"
)

// IsMalformed tells whether a part of the word can't be read.
func (r SelfReport) IsMalformed(field Field) bool { return slices.Contains(r.Malformed, field) }

// Restricts tells whether the word keeps requests of this instance from the target, all or some.
func (r SelfReport) Restricts() bool { return r.Leaving || r.Backoff > 0 || r.HasLimit }
