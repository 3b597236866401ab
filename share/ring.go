package share

import "time"

// timeRing is a queue of times in ascending order.
type timeRing struct {
	buf  []time.Time
	head int
	n    int
}

const initialRingSize = 8

func (r *timeRing) len() int { return r.n }

func (r *timeRing) oldest() (time.Time, bool) {
	if r.n == 0 {
		return time.Time{}, false
	}
	return r.buf[r.head], true
}

func (r *timeRing) push(t time.Time) {
	if r.n == len(r.buf) {
		r.grow()
	}
	r.buf[(r.head+r.n)%len(r.buf)] = t
	r.n++
}

// dropThrough removes the times up to and including t.
func (r *timeRing) dropThrough(t time.Time) {
	for r.n > 0 && !r.buf[r.head].After(t) {
		r.head = (r.head + 1) % len(r.buf)
		r.n--
	}
}

func (r *timeRing) grow() {
	next := make([]time.Time, max(initialRingSize, 2*len(r.buf)))
	for i := range r.n {
		next[i] = r.buf[(r.head+i)%len(r.buf)]
	}
	r.buf = next
	r.head = 0
}
