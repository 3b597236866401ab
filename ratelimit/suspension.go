package ratelimit

import (
	"sort"
	"time"
)

// silence is that an owner is passed over.
type silence struct {
	until time.Time
	// unanswered says that it did not answer a question in time, and has said nothing since.
	unanswered bool
}

// Tick passes over owners that have not answered in time, and asks others. It is to be called
// often while Due says so. Silent are owners of which nothing came until they may be asked
// again: an answer that is only late has come by then, so that the connection may carry nothing.
func (h *Holder) Tick(now time.Time) (answers []Answer, asks []Ask, silent []string) {
	silent = h.endSilences(now)
	for name, a := range h.held {
		if !a.asking {
			continue
		}
		if now.Before(a.dueAt) {
			continue
		}
		h.silences[a.ask.To.Name] = silence{until: now.Add(silentFor), unanswered: true}
		if len(a.waiting) == 0 {
			h.setAsking(a, false)
			continue
		}
		ended, asked := h.next(now, name, a)
		answers, asks = append(answers, ended...), append(asks, asked...)
	}
	return answers, asks, silent
}

// Due tells whether an owner's answer is due, in time or late.
func (h *Holder) Due() bool {
	if h.asking > 0 {
		return true
	}
	for _, s := range h.silences {
		if s.unanswered {
			return true
		}
	}
	return false
}

// endSilences ends the silences that are over, and returns the owners that have not answered.
func (h *Holder) endSilences(now time.Time) []string {
	var silent []string
	for name, s := range h.silences {
		if now.Before(s.until) {
			continue
		}
		delete(h.silences, name)
		if s.unanswered {
			silent = append(silent, name)
		}
	}
	sort.Strings(silent)
	return silent
}
