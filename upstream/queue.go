package upstream

import "sort"

// maxQueue bounds the queued requests of one service.
const maxQueue = 256

// queue holds the waiting requests. Those of the instance's own clients come first, then those that
// were handed over, both ordered by priority, then by arrival.
type queue struct {
	waiting []Request
}

func (q *queue) add(r Request) bool {
	if len(q.waiting) >= maxQueue {
		return false
	}
	at := sort.Search(len(q.waiting), func(i int) bool { return r.precedes(&q.waiting[i]) })
	q.waiting = append(q.waiting, Request{})
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = r
	return true
}

func (q *queue) remove(id uint64) bool {
	for i := range q.waiting {
		if q.waiting[i].ID == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// precedes reports whether the request comes before another one that has arrived earlier.
func (r *Request) precedes(other *Request) bool {
	if r.HandedOver != other.HandedOver {
		return other.HandedOver
	}
	return r.Priority < other.Priority
}
