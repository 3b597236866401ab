package ratelimit

import (
	"sort"
	"time"
)

// suspension is that an owner is passed over.
type suspension struct {
	until time.Time
	// timedOut says that it did not answer a question in time, and has said nothing since.
	timedOut bool
}

// Tick passes over owners that have not answered in time, and asks others. It is to be called
// often while Due says so. Silent are owners of which nothing came until they may be asked
// again: an answer that is only late has come by then, so that the connection may carry nothing.
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

// NeedsTick tells whether an owner's answer is due, in time or late.
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

// endSuspensions ends the silences that are over, and returns the owners that have not answered.
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
