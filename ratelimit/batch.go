package ratelimit

import "time"

// batch is a number of permits that end together.
type batch struct {
	count     int
	expiresAt time.Time
}

// batches are permits, those that end first at the front.
type batches []batch

// add takes in permits.
func (l *batches) add(n int, until time.Time) {
	if n <= 0 {
		return
	}
	at := len(*l)
	for at > 0 && (*l)[at-1].expiresAt.After(until) {
		at--
	}
	*l = append(*l, batch{})
	copy((*l)[at+1:], (*l)[at:])
	(*l)[at] = batch{count: n, expiresAt: until}
}

// expire drops the permits that have ended.
func (l *batches) expire(now time.Time) {
	ended := 0
	for ended < len(*l) && !now.Before((*l)[ended].expiresAt) {
		ended++
	}
	*l = append((*l)[:0], (*l)[ended:]...)
}

// count returns the number of permits that have not ended.
func (l *batches) count(now time.Time) int {
	l.expire(now)
	sum := 0
	for _, lot := range *l {
		sum += lot.count
	}
	return sum
}

// take takes at most n permits out, and returns how many and until when all of them may
// be used.
func (l *batches) take(now time.Time, n int) (taken int, until time.Time) {
	l.expire(now)
	for n > taken && len(*l) > 0 {
		first := &(*l)[0]
		if taken == 0 {
			until = first.expiresAt
		}
		k := min(n-taken, first.count)
		taken += k
		first.count -= k
		if first.count == 0 {
			*l = append((*l)[:0], (*l)[1:]...)
		}
	}
	return taken, until
}
