package feed

import (
	"sort"
	"time"
)

// maxBackupAge is how old the copy may be from which the store comes back: some seconds, and as much
// again for the outage before and for what an instance learns late.
const maxBackupAge = 30 * time.Second

// Tombstones holds back objects that had been removed and that a store which came back from a copy
// lists again: their removal had been confirmed, and whoever removed them does so again before long.
// An object counts again if it is written anew, or is still listed when the time is over. Tombstones is
// not safe for concurrent use; the zero value is ready.
type Tombstones struct {
	// removed is when objects were removed, for copyAge.
	removed map[string]time.Time
	until   time.Time
	held    map[string]bool
}

// Add takes in that the removal of an object counts.
func (t *Tombstones) Add(now time.Time, name string) {
	delete(t.held, name)
	if t.removed == nil {
		t.removed = make(map[string]time.Time)
	}
	t.removed[name] = now
}

// StoreRestored takes in that the store has come back from a copy: what it lists again is held back for a
// time.
func (t *Tombstones) StoreRestored(now time.Time, hold time.Duration) { t.until = now.Add(hold) }

// Remaining is how long objects are held back from now on.
func (t *Tombstones) Remaining(now time.Time) time.Duration { return max(0, t.until.Sub(now)) }

// Hold tells whether an object that the restored store lists is held back, and notes it.
func (t *Tombstones) Hold(now time.Time, name string) bool {
	at, known := t.removed[name]
	if !known || now.Sub(at) > maxBackupAge || t.Remaining(now) == 0 {
		return false
	}
	if t.held == nil {
		t.held = make(map[string]bool)
	}
	t.held[name] = true
	return true
}

// Rewritten takes in that an object was written anew: it counts.
func (t *Tombstones) Rewritten(name string) {
	delete(t.held, name)
	delete(t.removed, name)
}

// Holding tells whether any object is held back.
func (t *Tombstones) Holding() bool { return len(t.held) > 0 }

// Expired returns the objects that count from now on if they are still listed, in the order of names.
// Each is returned once.
func (t *Tombstones) Expired(now time.Time) []string {
	if len(t.held) == 0 || t.Remaining(now) > 0 {
		return nil
	}
	names := make([]string, 0, len(t.held))
	for name := range t.held {
		names = append(names, name)
		delete(t.removed, name)
	}
	sort.Strings(names)
	clear(t.held)
	return names
}

// Prune drops removals that no copy can lack any more.
func (t *Tombstones) Prune(now time.Time) {
	for name, at := range t.removed {
		if now.Sub(at) > maxBackupAge {
			delete(t.removed, name)
		}
	}
}
