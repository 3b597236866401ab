package feed

import (
	"sort"
	"time"
)

const (
	// minOutage is the length of an outage of the store from which on objects
	// that are kept alive by writes may have lapsed meanwhile.
	minOutage = 3 * time.Second
	// removalGrace is how long after it their owners may take to write them again.
	removalGrace = 2 * time.Second
)

// RemovalHold holds back removals that follow an outage of the store, or its return from a copy.
// Objects that their owners keep alive by writing them lapse while the store is away, and
// what was written after the copy is gone; both are back soon after it: a removal that an
// instance learns of in that time counts only if the object is still missing when it is
// over. RemovalHold is not safe for concurrent use; the zero value is ready.
type RemovalHold struct {
	answeredAt time.Time
	failed     bool
	until      time.Time
	held       map[string]bool
}

// StoreFailed takes in that a call to the store failed.
func (h *RemovalHold) StoreFailed() { h.failed = true }

// StoreAnswered takes in that the store answered.
func (h *RemovalHold) StoreAnswered(now time.Time) {
	if h.failed && !h.answeredAt.IsZero() && now.Sub(h.answeredAt) >= minOutage {
		h.until = now.Add(removalGrace)
	}
	h.failed = false
	h.answeredAt = now
}

// StoreRestored takes in that the store has come back from a copy: removals are held back for a time.
func (h *RemovalHold) StoreRestored(now time.Time, hold time.Duration) { h.extend(now, hold) }

// Inherit takes in that another instance, from which removals come, holds them back
// for a while.
func (h *RemovalHold) Inherit(now time.Time, remaining time.Duration) {
	h.extend(now, min(remaining, removalGrace))
}

func (h *RemovalHold) extend(now time.Time, hold time.Duration) {
	if until := now.Add(hold); hold > 0 && until.After(h.until) {
		h.until = until
	}
}

// Remaining is how long removals are held back from now on.
func (h *RemovalHold) Remaining(now time.Time) time.Duration { return max(0, h.until.Sub(now)) }

// Hold tells whether the removal of an object is held back, and notes it.
func (h *RemovalHold) Hold(now time.Time, name string) bool {
	if h.Remaining(now) == 0 {
		return false
	}
	if h.held == nil {
		h.held = make(map[string]bool)
	}
	h.held[name] = true
	return true
}

// Cancel takes in that an object is there.
func (h *RemovalHold) Cancel(name string) { delete(h.held, name) }

// Holding tells whether the removal of any object is held back.
func (h *RemovalHold) Holding() bool { return len(h.held) > 0 }

// Expired returns the objects whose removal counts from now on, in the order of
// names. Each is returned once.
func (h *RemovalHold) Expired(now time.Time) []string {
	if len(h.held) == 0 || h.Remaining(now) > 0 {
		return nil
	}
	names := make([]string, 0, len(h.held))
	for name := range h.held {
		names = append(names, name)
	}
	sort.Strings(names)
	clear(h.held)
	return names
}
