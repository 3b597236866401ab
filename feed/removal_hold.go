package feed

import (
	"sort"
	"time"
)

const (
	// minOutage is the minimum length of a store outage during which objects may have
	// expired because their owners could not refresh them.
	minOutage = 3 * time.Second
	// removalGrace is the time that owners have to write their objects again after an
	// outage.
	removalGrace = 2 * time.Second
)

// RemovalHold delays removals that follow an outage of the store or its restore from a
// backup. Objects that their owners keep alive by periodic writes expire while the store is
// unreachable, and a restored store lacks the objects that were written after the backup.
// Their owners soon write both kinds again. A removal that is observed in this time
// therefore takes effect only if the object is still missing at the end of it.
//
// RemovalHold is not safe for concurrent use. The zero value is ready to use.
type RemovalHold struct {
	// answeredAt is when the store answered last, and failed whether a call has failed
	// since.
	answeredAt time.Time
	failed     bool
	// until is the end of the hold, and held contains the objects whose removals are
	// delayed.
	until time.Time
	held  map[string]bool
}

// StoreFailed records that a call to the store failed.
func (h *RemovalHold) StoreFailed() { h.failed = true }

// StoreAnswered records that the store answered. The answer ends an outage if calls have
// failed since the previous one. Removals are then held for removalGrace if the outage was
// long enough for objects to expire.
func (h *RemovalHold) StoreAnswered(now time.Time) {
	if h.failed && !h.answeredAt.IsZero() && now.Sub(h.answeredAt) >= minOutage {
		h.until = now.Add(removalGrace)
	}
	h.failed = false
	h.answeredAt = now
}

// StoreRestored records that the store was restored from a backup, and holds removals for
// the given time.
func (h *RemovalHold) StoreRestored(now time.Time, hold time.Duration) { h.extend(now, hold) }

// Inherit extends the hold to the remaining hold of the instance that sent removals, but by
// removalGrace at most.
func (h *RemovalHold) Inherit(now time.Time, remaining time.Duration) {
	h.extend(now, min(remaining, removalGrace))
}

func (h *RemovalHold) extend(now time.Time, hold time.Duration) {
	if until := now.Add(hold); hold > 0 && until.After(h.until) {
		h.until = until
	}
}

// Remaining returns how long removals are still held, or 0.
func (h *RemovalHold) Remaining(now time.Time) time.Duration { return max(0, h.until.Sub(now)) }

// Hold reports whether the removal of an object is held, and records the removal if so.
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

// Cancel drops the held removal of an object that exists again.
func (h *RemovalHold) Cancel(name string) { delete(h.held, name) }

// Holding reports whether the removal of any object is held.
func (h *RemovalHold) Holding() bool { return len(h.held) > 0 }

// Expired returns the names of the objects whose held removals take effect now, in
// ascending order. Each removal is returned once.
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
