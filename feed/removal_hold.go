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
func (l *RemovalHold) StoreFailed() { l.failed = true }

// StoreAnswered takes in that the store answered.
func (l *RemovalHold) StoreAnswered(now time.Time) {
	if l.failed && !l.answeredAt.IsZero() && now.Sub(l.answeredAt) >= minOutage {
		l.until = now.Add(removalGrace)
	}
	l.failed = false
	l.answeredAt = now
}

// StoreRestored takes in that the store has come back from a copy: removals are held back for a time.
func (l *RemovalHold) StoreRestored(now time.Time, hold time.Duration) { l.extend(now, hold) }

// Inherit takes in that another instance, from which removals come, holds them back
// for a while.
func (l *RemovalHold) Inherit(now time.Time, remaining time.Duration) {
	l.extend(now, min(remaining, removalGrace))
}

func (l *RemovalHold) extend(now time.Time, hold time.Duration) {
	if until := now.Add(hold); hold > 0 && until.After(l.until) {
		l.until = until
	}
}

// Remaining is how long removals are held back from now on.
func (l *RemovalHold) Remaining(now time.Time) time.Duration { return max(0, l.until.Sub(now)) }

// Hold tells whether the removal of an object is held back, and notes it.
func (l *RemovalHold) Hold(now time.Time, name string) bool {
	if l.Remaining(now) == 0 {
		return false
	}
	if l.held == nil {
		l.held = make(map[string]bool)
	}
	l.held[name] = true
	return true
}

// Cancel takes in that an object is there.
func (l *RemovalHold) Cancel(name string) { delete(l.held, name) }

// Holding tells whether the removal of any object is held back.
func (l *RemovalHold) Holding() bool { return len(l.held) > 0 }

// Expired returns the objects whose removal counts from now on, in the order of
// names. Each is returned once.
func (l *RemovalHold) Expired(now time.Time) []string {
	if len(l.held) == 0 || l.Remaining(now) > 0 {
		return nil
	}
	names := make([]string, 0, len(l.held))
	for name := range l.held {
		names = append(names, name)
	}
	sort.Strings(names)
	clear(l.held)
	return names
}
