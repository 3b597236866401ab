package feed

import "time"

const (
	// minOutage is the minimum length of a store outage during which objects may have
	// expired because their owners could not refresh them.
	minOutage = 3 * time.Second
	// failureDelay is the longest time from the begin of an outage to the first call that
	// fails: a probe is made each second and may take another.
	failureDelay = 2 * time.Second
	// maxFailureGap is the longest time between two calls while the store is unreachable. An
	// instance that does not call it for longer does not know whether it answers.
	maxFailureGap = 5 * time.Second
	// removalGrace is the time that owners have to write their objects again after an
	// outage.
	removalGrace = 2 * time.Second
	// transitAllowance is what a message may take from one instance to another. Without it,
	// instances that tell each other of a hold would extend it each time by the time in transit.
	transitAllowance = 200 * time.Millisecond
)

// RemovalHold delays removals that follow an outage of the store or its restore from a
// backup. Objects that their owners keep alive by periodic writes expire while the store is
// unreachable, and a restored store lacks the objects that were written after the backup.
// Their owners soon write both kinds again. A removal that is observed in this time
// therefore takes effect only if the object is still missing at the end of it.
//
// The end of a held removal is fixed when it is observed. Only a further restore of the store
// extends it: outages that other instances see later do not, and neither do their messages.
//
// RemovalHold is not safe for concurrent use. The zero value is ready to use.
type RemovalHold struct {
	// answeredAt is when the store answered last, failedAt when the first of the calls that
	// have failed since did, and lastFailedAt when the last one did. The last two are zero if
	// none has.
	answeredAt, failedAt, lastFailedAt time.Time
	// until is the end of the hold, and held contains the ends of the removals that are
	// delayed, by object.
	until time.Time
	held  map[string]time.Time
}

// StoreFailed records that a call to the store failed.
func (h *RemovalHold) StoreFailed(now time.Time) {
	if now.Sub(h.lastFailedAt) > maxFailureGap {
		h.failedAt = now
	}
	h.lastFailedAt = now
}

// StoreAnswered records that the store answered. The answer ends an outage if calls have
// failed since the previous one. Removals are then held for removalGrace if the outage was
// long enough for objects to expire.
func (h *RemovalHold) StoreAnswered(now time.Time) {
	if h.outage(now) >= minOutage {
		h.until = now.Add(removalGrace)
	}
	h.failedAt, h.lastFailedAt, h.answeredAt = time.Time{}, time.Time{}, now
}

// outage returns how long the store has not answered, at most, given that it answers now. An
// instance that rarely calls the store learns little from the time of its last answer.
func (h *RemovalHold) outage(now time.Time) time.Duration {
	if now.Sub(h.lastFailedAt) > maxFailureGap || h.answeredAt.IsZero() {
		return 0
	}
	return min(now.Sub(h.answeredAt), now.Sub(h.failedAt)+failureDelay)
}

// StoreRestored records that the store was restored from a backup, and holds removals for
// the given time, also those that are held already.
func (h *RemovalHold) StoreRestored(now time.Time, hold time.Duration) {
	h.extend(now, hold)
	for name, end := range h.held {
		h.held[name] = later(end, now.Add(hold))
	}
}

// Inherit extends the hold to the remaining hold of the instance that sent removals, less
// transitAllowance. Behind is how long the replica has been known to lack these removals. They are
// held for removalGrace from then on at most.
func (h *RemovalHold) Inherit(now time.Time, remaining, behind time.Duration) {
	h.extend(now, min(remaining-transitAllowance, removalGrace-behind))
}

func (h *RemovalHold) extend(now time.Time, hold time.Duration) {
	if hold > 0 {
		h.until = later(h.until, now.Add(hold))
	}
}

// Remaining returns how long removals that are observed now are held, or 0.
func (h *RemovalHold) Remaining(now time.Time) time.Duration { return max(0, h.until.Sub(now)) }

// Hold reports whether the removal of an object is held, and records the removal if so.
func (h *RemovalHold) Hold(now time.Time, name string) bool {
	end, known := h.held[name]
	if !known {
		end = h.until
	}
	if !now.Before(end) {
		return false
	}
	if h.held == nil {
		h.held = make(map[string]time.Time)
	}
	h.held[name] = end
	return true
}

// Cancel drops the held removal of an object that exists again.
func (h *RemovalHold) Cancel(name string) { delete(h.held, name) }

// NextExpiry returns how long it is until the next held removal takes effect, and whether there
// is any.
func (h *RemovalHold) NextExpiry(now time.Time) (time.Duration, bool) { return nextExpiry(now, h.held) }

// Expired returns the names of the objects whose held removals take effect now, in
// ascending order. Each removal is returned once.
func (h *RemovalHold) Expired(now time.Time) []string { return takeExpired(now, h.held) }
