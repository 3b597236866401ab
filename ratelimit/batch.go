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
func (b *batches) add(n int, until time.Time) {
	if n <= 0 {
		return
	}
	at := len(*b)
	for at > 0 && (*b)[at-1].expiresAt.After(until) {
		at--
	}
	*b = append(*b, batch{})
	copy((*b)[at+1:], (*b)[at:])
	(*b)[at] = batch{count: n, expiresAt: until}
}

// expire drops the permits that have ended.
func (b *batches) expire(now time.Time) {
	expired := 0
	for expired < len(*b) && !now.Before((*b)[expired].expiresAt) {
		expired++
	}
	*b = append((*b)[:0], (*b)[expired:]...)
}

// count returns the number of permits that have not ended.
func (b *batches) count(now time.Time) int {
	b.expire(now)
	sum := 0
	for _, entry := range *b {
		sum += entry.count
	}
	return sum
}

// take takes at most n permits out, and returns how many and until when all of them may
// be used.
func (b *batches) take(now time.Time, n int) (taken int, until time.Time) {
	b.expire(now)
	for n > taken && len(*b) > 0 {
		first := &(*b)[0]
		if taken == 0 {
			until = first.expiresAt
		}
		k := min(n-taken, first.count)
		taken += k
		first.count -= k
		if first.count == 0 {
			*b = append((*b)[:0], (*b)[1:]...)
		}
	}
	return taken, until
}
