package catalog

import (
	"fmt"
	"time"
)

// Target is one incarnation of a server.
type Target struct {
	// ID is unique to the incarnation. All that is learned of a target is kept by it, so
	// that nothing of what an earlier incarnation had, did or was told of sticks to a
	// later one.
	ID string
	// Name is what the target calls itself, also after it has started again.
	Name string
	// StartedAt is when the incarnation started, in Unix milliseconds, 0 where the platform
	// does not tell it. Of two with the same name the one born later counts.
	StartedAt int64
	// Sequence orders what an incarnation has written of itself.
	Sequence int64
	Service  string
	// Version is that of the target's software.
	Version string
	// Addr is IP:PORT. After the target's end another service's server may
	// have it.
	Addr  string
	Hall  string
	Slots int
	// Leaving says that the list says that the target leaves, and Drained that operators
	// drain it.
	Leaving, Drained bool
	// RemainingWarmup is how much longer the target stays cold, as it said itself.
	RemainingWarmup time.Duration
}

// IncarnationID returns the ID of the incarnation of a target that was born at a time, in
// Unix milliseconds: its name alone where the platform does not tell the time.
func IncarnationID(name string, born int64) string {
	if born == 0 {
		return name
	}
	return fmt.Sprintf("%s#%d", name, born)
}

// EntryError says why an entry of the store names no target to use: another writer may have
// made it.
type EntryError struct {
	// Field is the field that is at fault, in the words of the product, and Problem what
	// is wrong with it.
	Field, Problem string
}

// Error implements error. It holds nothing of the entry's values.
func (e *EntryError) Error() string { return e.Field + " " + e.Problem }
