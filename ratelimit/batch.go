package ratelimit

import "time"

// batch is a number of permits with the same expiry.
type batch struct {
	count     int
	expiresAt time.Time
}

// batches are permits in the order of their expiry.
type batches []batch

// add inserts n permits that expire at until.
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

// expire drops the expired permits.
func (b *batches) expire(now time.Time) {
	expired := 0
	for expired < len(*b) && !now.Before((*b)[expired].expiresAt) {
		expired++
	}
	*b = append((*b)[:0], (*b)[expired:]...)
}

// count returns the number of permits that have not expired.
func (b *batches) count(now time.Time) int {
	b.expire(now)
	sum := 0
	for _, entry := range *b {
		sum += entry.count
	}
	return sum
}

// take removes up to n permits, the earliest to expire first. It returns their number and
// the earliest expiry among them.
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
