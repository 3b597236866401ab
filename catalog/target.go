package catalog

import (
	"fmt"
	"time"
)

// Target is one incarnation of a server that runs requests.
type Target struct {
	// ID is unique to the incarnation. All state about a target is stored under its ID,
	// so that the state of an earlier incarnation does not apply to a later one.
	ID string
	// Name is the name of the server. It is the same after a restart.
	Name string
	// StartedAt is the start of the incarnation in Unix milliseconds, or 0 if the
	// platform does not provide it. Of two targets with the same name, the one that
	// started later is current.
	StartedAt int64
	// Sequence is the sequence number of the entry that the incarnation has written
	// about itself. A later entry has a higher number.
	Sequence int64
	Service  string
	// Version is the version of the target's software.
	Version string
	// Addr is the address in the form IP:PORT. After the target has ended, a server of
	// another service may use the same address.
	Addr  string
	Hall  string
	Slots int
	// Leaving states that the list of targets reports a planned shutdown of the target,
	// and Drained that operators have drained it.
	Leaving, Drained bool
	// RemainingWarmup is the time for which the target is still cold, as reported by the
	// target itself.
	RemainingWarmup time.Duration
}

// IncarnationID returns the ID of the incarnation of a server that started at startedAt, in
// Unix milliseconds. If startedAt is 0, because the platform does not provide it, the ID is
// the name alone.
func IncarnationID(name string, startedAt int64) string {
	if startedAt == 0 {
		return name
	}
	return fmt.Sprintf("%s#%d", name, startedAt)
}

// EntryError states why an entry of the store, such as that of a target, can't be used. Such
// an entry may come from another writer.
type EntryError struct {
	// Field is the invalid field, by the name that operators know, and Problem describes
	// what is wrong with it.
	Field, Problem string
}

// Error implements error. The text contains no values of the entry.
func (e *EntryError) Error() string { return e.Field + " " + e.Problem }
