package availability

import (
	"slices"
	"time"
)

// Word is what a target says of itself in an answer. The zero value says nothing.
type Word struct {
	// Leaves says that the target is about to end and wants no new requests.
	Leaves bool
	// Rest is how long the target wants no requests from this instance, 0 if it does not
	// ask for that.
	Rest time.Duration
	// Limited says that the target names how much it takes, and Limit is the number of
	// requests a second that it takes from all instances together.
	Limited bool
	Limit   float64
	// Unreadable are the parts of the word whose value is none that they may have.
	Unreadable []Part
}

// Part is a part of a target's word.
type Part string

// The parts.
const (
	PartLeaving Part = "leaving"
	PartRest    Part = "rest"
	PartLimit   Part = "limit"
)

// CantRead tells whether a part of the word can't be read.
func (w Word) CantRead(part Part) bool { return slices.Contains(w.Unreadable, part) }

// Says tells whether the word keeps requests of this instance from the target, all or some.
func (w Word) Says() bool { return w.Leaves || w.Rest > 0 || w.Limited }
