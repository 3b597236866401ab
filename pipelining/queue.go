package pipelining

// entry is the place of a request among those of its connection that have not been answered. It
// is guarded by the mu of its connection.
type entry struct {
	// exclusive requests run beside no others. Of those that may, started says that Start was called,
	// and idempotent what it was told.
	exclusive, started, idempotent bool
	// handled says that the handler has returned, and done that the whole answer is written
	// or that there will be none.
	handled, done bool
	// front is closed when all requests ahead have been answered, and aborted when this one
	// will not be answered any more. Both are nil for a request that has none ahead.
	front, aborted chan struct{}
}

// newEntry returns the turn of a request that may have others ahead.
func newEntry() *entry {
	return &entry{front: make(chan struct{}), aborted: make(chan struct{})}
}

// concurrent tells whether the request is known to be one that may run beside others.
func (e *entry) concurrent() bool { return e.started && e.idempotent && !e.exclusive }

// abort has the request end without an answer.
func (e *entry) abort() {
	if e.done {
		return
	}
	e.done = true
	if e.aborted != nil {
		close(e.aborted)
	}
}

// responseQueue are those of a connection, in the order of their requests.
type responseQueue struct {
	entries []*entry
	// changed is closed when one of them has begun or ended, nil if nobody waits for that.
	changed chan struct{}
}

// push puts a turn at the end.
func (q *responseQueue) push(e *entry) {
	q.entries = append(q.entries, e)
	if len(q.entries) == 1 && e.front != nil {
		close(e.front)
	}
}

// finish takes in that a request was answered.
func (q *responseQueue) finish(e *entry) {
	e.done = true
	q.popDone()
}

// popDone takes away the turns at the front that are done.
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

// abortFrom drops a turn and all behind it.
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

// abortAll drops all turns.
func (q *responseQueue) abortAll() {
	if len(q.entries) > 0 {
		q.abortFrom(q.entries[0])
	}
}

// isLast tells whether there is none behind a turn.
func (q *responseQueue) isLast(e *entry) bool {
	return len(q.entries) == 0 || q.entries[len(q.entries)-1] == e
}

// mayRun tells whether the request of a turn may run: beside those ahead if all of them may be
// repeated, else only once they have been answered.
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

// notify wakes those who wait for a change.
func (q *responseQueue) notify() {
	if q.changed != nil {
		close(q.changed)
		q.changed = nil
	}
}

// changes returns what is closed at the changes change.
func (q *responseQueue) changes() <-chan struct{} {
	if q.changed == nil {
		q.changed = make(chan struct{})
	}
	return q.changed
}
