package ratelimit

import "time"

// lot is a number of permits that end together.
type lot struct {
	n     int
	until time.Time
}

// lots are permits, those that end first at the front.
type lots []lot

// add takes in permits.
func (l *lots) add(n int, until time.Time) {
	if n <= 0 {
		return
	}
	at := len(*l)
	for at > 0 && (*l)[at-1].until.After(until) {
		at--
	}
	*l = append(*l, lot{})
	copy((*l)[at+1:], (*l)[at:])
	(*l)[at] = lot{n: n, until: until}
}

// expire drops the permits that have ended.
func (l *lots) expire(now time.Time) {
	ended := 0
	for ended < len(*l) && !now.Before((*l)[ended].until) {
		ended++
	}
	*l = append((*l)[:0], (*l)[ended:]...)
}

// count returns the number of permits that have not ended.
func (l *lots) count(now time.Time) int {
	l.expire(now)
	sum := 0
	for _, lot := range *l {
		sum += lot.n
	}
	return sum
}

// take takes at most n permits out, and returns how many and until when all of them may
// be used.
func (l *lots) take(now time.Time, n int) (taken int, until time.Time) {
	l.expire(now)
	for n > taken && len(*l) > 0 {
		first := &(*l)[0]
		if taken == 0 {
			until = first.until
		}
		k := min(n-taken, first.n)
		taken += k
		first.n -= k
		if first.n == 0 {
			*l = append((*l)[:0], (*l)[1:]...)
		}
	}
	return taken, until
}
