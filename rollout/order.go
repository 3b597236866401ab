package rollout

import (
	"strconv"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

// Order asks for the requests of a service to be shifted to the targets of a version.
type Order struct {
	Service string `json:"service"`
	// Version is the version that the new targets report.
	Version string `json:"version"`
	// Duration is the time from the order within which the requests have to be shifted.
	Duration time.Duration `json:"duration"`
	// Generation distinguishes successive orders of a service. Later orders have higher
	// generations.
	Generation int64 `json:"made"`
}

// ID identifies an order in messages between instances.
type ID uint64

// ID returns the identifier of the order, a hash of its fields.
func (o Order) ID() ID {
	return ID(mix.Hash(o.Service, o.Version, strconv.FormatInt(o.Generation, 10), o.Duration.String()))
}

// Equivalent reports whether two orders differ in their generation at most.
func (o Order) Equivalent(other Order) bool {
	o.Generation = other.Generation
	return o == other
}

// State is the state of an order in the store.
type State string

// States of an order. The state of a new order is empty.
const (
	Running    State = "running"
	Succeeded  State = "succeeded"
	RolledBack State = "rolled-back"
)

// IsFinal reports whether the state is a verdict, which ends the rollout.
func (s State) IsFinal() bool { return s == Succeeded || s == RolledBack }

// Record is an order as stored.
type Record struct {
	Order
	// State is the state of the order. A state that was written for another version belongs to an
	// earlier order and is ignored.
	State State `json:"state,omitempty"`
	// Revision is the revision of the stored object. Writes of the state are conditional on it and
	// fail if the object has changed since.
	Revision int64 `json:"revision"`
}
