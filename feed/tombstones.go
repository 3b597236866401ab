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
func (r *Tombstones) Add(now time.Time, name string) {
	delete(r.held, name)
	if r.removed == nil {
		r.removed = make(map[string]time.Time)
	}
	r.removed[name] = now
}

// StoreRestored takes in that the store has come back from a copy: what it lists again is held back for a
// time.
func (r *Tombstones) StoreRestored(now time.Time, hold time.Duration) { r.until = now.Add(hold) }

// Remaining is how long objects are held back from now on.
func (r *Tombstones) Remaining(now time.Time) time.Duration { return max(0, r.until.Sub(now)) }

// Hold tells whether an object that the restored store lists is held back, and notes it.
func (r *Tombstones) Hold(now time.Time, name string) bool {
	at, known := r.removed[name]
	if !known || now.Sub(at) > maxBackupAge || r.Remaining(now) == 0 {
		return false
	}
	if r.held == nil {
		r.held = make(map[string]bool)
	}
	r.held[name] = true
	return true
}

// Rewritten takes in that an object was written anew: it counts.
func (r *Tombstones) Rewritten(name string) {
	delete(r.held, name)
	delete(r.removed, name)
}

// Holding tells whether any object is held back.
func (r *Tombstones) Holding() bool { return len(r.held) > 0 }

// Expired returns the objects that count from now on if they are still listed, in the order of names.
// Each is returned once.
func (r *Tombstones) Expired(now time.Time) []string {
	if len(r.held) == 0 || r.Remaining(now) > 0 {
		return nil
	}
	names := make([]string, 0, len(r.held))
	for name := range r.held {
		names = append(names, name)
		delete(r.removed, name)
	}
	sort.Strings(names)
	clear(r.held)
	return names
}

// Prune drops removals that no copy can lack any more.
func (r *Tombstones) Prune(now time.Time) {
	for name, at := range r.removed {
		if now.Sub(at) > maxBackupAge {
			delete(r.removed, name)
		}
	}
}
