package rollout

import (
	"strconv"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

// Order asks for a service's requests to be moved to targets of a version.
type Order struct {
	Service string `json:"service"`
	// Version is what the new targets name as their version.
	Version string `json:"version"`
	// Duration is the time from the order within which the requests are to be moved.
	Duration time.Duration `json:"duration"`
	// Generation tells orders apart that are given one after the other for a service: the later one has
	// the higher number.
	Generation int64 `json:"made"`
}

// ID stands for an order in messages.
type ID uint64

// ID returns what stands for the order in messages.
func (o Order) ID() ID {
	return ID(mix.Hash(o.Service, o.Version, strconv.FormatInt(o.Generation, 10), o.Duration.String()))
}

// Equivalent tells whether an order asks for the same as another one, whenever they were given.
func (o Order) Equivalent(other Order) bool {
	o.Generation = other.Generation
	return o == other
}

// State is what the store says of an order.
type State string

// The states. An order that nobody has taken up yet has none.
const (
	Running    State = "running"
	Succeeded  State = "succeeded"
	RolledBack State = "rolled-back"
)

// IsFinal tells whether a state ends the rollout.
func (s State) IsFinal() bool { return s == Succeeded || s == RolledBack }

// Record is an order as the store holds it.
type Record struct {
	Order
	// State is that of the order. One that was written for another version is of an earlier
	// order, and does not count.
	State State `json:"state,omitempty"`
	// Revision is that of the object. A write of the state names it, and fails if the object has
	// changed since.
	Revision int64 `json:"revision"`
}
