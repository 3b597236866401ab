package availability

import "time"

// Word is what a target says of itself in an answer. The zero value says nothing.
type Word struct {
	// Leaves says that the target is about to end and wants no new requests.
	Leaves bool
	// Rest is how long the target wants no requests from this instance, 0 if it does not
	// ask for that.
	Rest time.Duration
	// Unreadable are the parts of the word whose value is none that they may have.
	Unreadable []Part
}

// Part is a part of a target's word.
type Part string

// The parts.
const (
	PartLeaving Part = "leaving"
	PartRest    Part = "rest"
)

// Says tells whether the word says anything that can be taken.
func (w Word) Says() bool { return w.Leaves || w.Rest > 0 }
