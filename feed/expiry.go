package feed

import (
	"sort"
	"time"
)

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// nextExpiry returns the time until the first of some ends, by name, and whether there is any.
func nextExpiry(now time.Time, ends map[string]time.Time) (time.Duration, bool) {
	var first time.Time
	for _, end := range ends {
		if first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return max(0, first.Sub(now)), len(ends) > 0
}

// takeExpired removes and returns the names whose ends have come, in ascending order.
func takeExpired(now time.Time, ends map[string]time.Time) []string {
	var names []string
	for name, end := range ends {
		if !end.After(now) {
			names = append(names, name)
			delete(ends, name)
		}
	}
	sort.Strings(names)
	return names
}
