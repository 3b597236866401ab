package pipelining

// entry is a request in the response queue of its connection. It is guarded by the mu of
// the connection.
type entry struct {
	// exclusive requests never run concurrently with others. started is set when AwaitStart
	// was called for the request, and idempotent is the argument of that call.
	exclusive, started, idempotent bool
	// handled is set when the handler has returned. done is set when the whole response is
	// written, or when there will be none.
	handled, done bool
	// front is closed when all earlier requests have been answered, and aborted when this
	// request will not be answered. Both are nil for a request that has no earlier ones.
	front, aborted chan struct{}
}

// newEntry returns the entry of a request that may have earlier ones.
func newEntry() *entry {
	return &entry{front: make(chan struct{}), aborted: make(chan struct{})}
}

// concurrent reports whether the request is known to be one that may run concurrently with
// others.
func (e *entry) concurrent() bool { return e.started && e.idempotent && !e.exclusive }

// abort ends the request without a response.
func (e *entry) abort() {
	if e.done {
		return
	}
	e.done = true
	if e.aborted != nil {
		close(e.aborted)
	}
}

// responseQueue contains the unanswered requests of a connection, in request order.
type responseQueue struct {
	entries []*entry
	// changed is closed when the state of an entry changes. It is nil if no goroutine waits
	// for that.
	changed chan struct{}
}

// push appends an entry.
func (q *responseQueue) push(e *entry) {
	q.entries = append(q.entries, e)
	if len(q.entries) == 1 && e.front != nil {
		close(e.front)
	}
}

// finish records that a request was answered.
func (q *responseQueue) finish(e *entry) {
	e.done = true
	q.popDone()
}

// popDone removes the entries at the front that are done.
func (q *responseQueue) popDone() {
	ended := 0
	for ended < len(q.entries) && q.entries[ended].done {
		ended++
	}
	if ended > 0 {
		left := copy(q.entries, q.entries[ended:])
		clear(q.entries[left:])
		q.entries = q.entries[:left]
		if left > 0 && q.entries[0].front != nil {
			close(q.entries[0].front)
		}
	}
	q.notify()
}

// abortFrom aborts an entry and all later ones.
func (q *responseQueue) abortFrom(e *entry) {
	found := false
	for _, other := range q.entries {
		found = found || other == e
		if found {
			other.abort()
		}
	}
	q.popDone()
}

// abortAll aborts all entries.
func (q *responseQueue) abortAll() {
	if len(q.entries) > 0 {
		q.abortFrom(q.entries[0])
	}
}

// isLast reports whether no entry follows e.
func (q *responseQueue) isLast(e *entry) bool {
	return len(q.entries) == 0 || q.entries[len(q.entries)-1] == e
}

// mayRun reports whether the request of an entry may run. It may once each earlier request
// has been answered or may run concurrently with it, see entry.concurrent.
func (q *responseQueue) mayRun(e *entry) bool {
	for _, ahead := range q.entries {
		if ahead == e {
			return true
		}
		beside := e.concurrent() && ahead.concurrent()
		if !ahead.done && !beside {
			return false
		}
	}
	return true
}

// notify wakes the goroutines that wait for a change.
func (q *responseQueue) notify() {
	if q.changed != nil {
		close(q.changed)
		q.changed = nil
	}
}

// changes returns a channel that is closed at the next change.
func (q *responseQueue) changes() <-chan struct{} {
	if q.changed == nil {
		q.changed = make(chan struct{})
	}
	return q.changed
}
