package feed

import (
	"sort"
	"time"
)

// maxBackupAge is the maximum age of the backup from which the store is restored. Backups
// are some seconds old. The value adds the duration of the outage before the restore and
// the delay with which instances observe it.
const maxBackupAge = 30 * time.Second

// Tombstones remembers recent removals, and suppresses objects that the store lists again
// after it was restored from a backup. Their removal was confirmed before, and the party
// that removed them will soon do so again. An object takes effect again once it is written
// anew, or if it is still listed at the end of the hold.
//
// Tombstones is not safe for concurrent use. The zero value is ready to use.
type Tombstones struct {
	// removed contains the times of removals for maxBackupAge.
	removed map[string]time.Time
	// until is the end of the hold, and held contains the suppressed objects.
	until time.Time
	held  map[string]bool
}

// Add records that the removal of an object has taken effect.
func (t *Tombstones) Add(now time.Time, name string) {
	delete(t.held, name)
	if t.removed == nil {
		t.removed = make(map[string]time.Time)
	}
	t.removed[name] = now
}

// StoreRestored records that the store was restored from a backup. Removed objects that it
// lists are suppressed for the given time.
func (t *Tombstones) StoreRestored(now time.Time, hold time.Duration) { t.until = now.Add(hold) }

// Remaining returns how long objects are still suppressed, or 0.
func (t *Tombstones) Remaining(now time.Time) time.Duration { return max(0, t.until.Sub(now)) }

// Hold reports whether an object that the restored store lists is suppressed, and records
// the object if so.
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

// Rewritten records that an object was written anew. Its tombstone is dropped.
func (t *Tombstones) Rewritten(name string) {
	delete(t.held, name)
	delete(t.removed, name)
}

// Holding reports whether any object is suppressed.
func (t *Tombstones) Holding() bool { return len(t.held) > 0 }

// Expired returns the names of the suppressed objects that take effect now if they are
// still listed, in ascending order. Each object is returned once.
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

// Prune drops the tombstones that are older than any backup.
func (t *Tombstones) Prune(now time.Time) {
	for name, at := range t.removed {
		if now.Sub(at) > maxBackupAge {
			delete(t.removed, name)
		}
	}
}
