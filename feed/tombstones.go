package feed

import "time"

// maxBackupAge is the maximum age of the backup from which the store is restored. Backups
// are some seconds old. The value adds the duration of the outage before the restore and
// the delay with which instances observe it.
const maxBackupAge = 30 * time.Second

// Tombstones remembers recent removals, and suppresses objects that the store lists again
// after it was restored from a backup. Their removal was confirmed before, and the party
// that removed them will soon do so again. An object takes effect again once it is written
// anew, or if it is still listed at the end of the hold. Suppress does the same for a single
// object that is known to be out of date.
//
// Tombstones is not safe for concurrent use. The zero value is ready to use.
type Tombstones struct {
	// removed contains the times of removals for maxBackupAge.
	removed map[string]time.Time
	// until is the end of the hold after a restore, and held contains the ends of the
	// suppression, by object.
	until time.Time
	held  map[string]time.Time
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
// lists are suppressed for the given time, also those that are suppressed already.
func (t *Tombstones) StoreRestored(now time.Time, hold time.Duration) {
	t.until = now.Add(hold)
	for name := range t.held {
		t.held[name] = t.until
	}
}

// Hold reports whether an object that the restored store lists is suppressed, and records
// the object if so.
func (t *Tombstones) Hold(now time.Time, name string) bool {
	at, known := t.removed[name]
	if !known || now.Sub(at) > maxBackupAge || !now.Before(t.until) {
		return false
	}
	t.suppressUntil(name, t.until)
	return true
}

// Suppress suppresses an object for the given time, unless it is suppressed already.
func (t *Tombstones) Suppress(now time.Time, name string, hold time.Duration) {
	if _, known := t.held[name]; !known {
		t.suppressUntil(name, now.Add(hold))
	}
}

func (t *Tombstones) suppressUntil(name string, end time.Time) {
	if t.held == nil {
		t.held = make(map[string]time.Time)
	}
	t.held[name] = end
}

// Rewritten records that an object was written anew. Its tombstone is dropped.
func (t *Tombstones) Rewritten(name string) {
	delete(t.held, name)
	delete(t.removed, name)
}

// NextExpiry returns how long it is until the next suppressed object takes effect, and whether
// there is any.
func (t *Tombstones) NextExpiry(now time.Time) (time.Duration, bool) { return nextExpiry(now, t.held) }

// Expired returns the names of the suppressed objects that take effect now if they are
// still listed, in ascending order. Each object is returned once.
func (t *Tombstones) Expired(now time.Time) []string {
	names := takeExpired(now, t.held)
	for _, name := range names {
		delete(t.removed, name)
	}
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
