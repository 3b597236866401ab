package ratelimit

import (
	"sort"
	"time"
)

// suspension is the time for which an owner is skipped.
type suspension struct {
	until time.Time
	// timedOut is set if the owner did not reply in time and has not replied since.
	timedOut bool
}

// Tick suspends owners whose reply is overdue, and returns permit requests to other owners for the
// accounts with waiting requests. The caller calls it frequently while NeedsTick returns true.
// Unresponsive are owners that were suspended because of an overdue reply and from which no reply
// has arrived by the end of their suspension. A reply that was only late has arrived by then, so
// the connection to such an owner may be broken without an error.
func (h *Holder) Tick(now time.Time) (results []Result, requests []PermitRequest, unresponsive []string) {
	unresponsive = h.endSuspensions(now)
	for name, a := range h.accounts {
		if !a.outstanding {
			continue
		}
		if now.Before(a.deadline) {
			continue
		}
		h.suspended[a.request.To.Name] = suspension{until: now.Add(timeoutSuspension), timedOut: true}
		if len(a.waiting) == 0 {
			h.setOutstanding(a, false)
			continue
		}
		finished, requested := h.askNext(now, name, a)
		results, requests = append(results, finished...), append(requests, requested...)
	}
	return results, requests, unresponsive
}

// NeedsTick reports whether a permit request is unanswered, in time or overdue.
func (h *Holder) NeedsTick() bool {
	if h.outstanding > 0 {
		return true
	}
	for _, s := range h.suspended {
		if s.timedOut {
			return true
		}
	}
	return false
}

// endSuspensions removes suspensions that have ended, and returns the owners among them that
// have not replied.
func (h *Holder) endSuspensions(now time.Time) []string {
	var unresponsive []string
	for name, s := range h.suspended {
		if now.Before(s.until) {
			continue
		}
		delete(h.suspended, name)
		if s.timedOut {
			unresponsive = append(unresponsive, name)
		}
	}
	sort.Strings(unresponsive)
	return unresponsive
}
