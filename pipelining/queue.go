package pipelining

// turn is the place of a request among those of its connection that have not been answered. It
// is guarded by the mu of its connection.
type turn struct {
	// alone requests run beside no others. Of those that may, began says that Start was called,
	// and repeatable what it was told.
	alone, began, repeatable bool
	// answered says that the handler has returned, and done that the whole answer is written
	// or that there will be none.
	answered, done bool
	// first is closed when all requests ahead have been answered, and dropped when this one
	// will not be answered any more. Both are nil for a request that has none ahead.
	first, dropped chan struct{}
}

// newTurn returns the turn of a request that may have others ahead.
func newTurn() *turn {
	return &turn{first: make(chan struct{}), dropped: make(chan struct{})}
}

// runsBeside tells whether the request is known to be one that may run beside others.
func (t *turn) runsBeside() bool { return t.began && t.repeatable && !t.alone }

// drop has the request end without an answer.
func (t *turn) drop() {
	if t.done {
		return
	}
	t.done = true
	if t.dropped != nil {
		close(t.dropped)
	}
}

// turns are those of a connection, in the order of their requests.
type turns struct {
	waiting []*turn
	// changed is closed when one of them has begun or ended, nil if nobody waits for that.
	changed chan struct{}
}

// add puts a turn at the end.
func (q *turns) add(t *turn) {
	q.waiting = append(q.waiting, t)
	if len(q.waiting) == 1 && t.first != nil {
		close(t.first)
	}
}

// end takes in that a request was answered.
func (q *turns) end(t *turn) {
	t.done = true
	q.advance()
}

// advance takes away the turns at the front that are done.
func (q *turns) advance() {
	ended := 0
	for ended < len(q.waiting) && q.waiting[ended].done {
		ended++
	}
	if ended > 0 {
		left := copy(q.waiting, q.waiting[ended:])
		clear(q.waiting[left:])
		q.waiting = q.waiting[:left]
		if left > 0 && q.waiting[0].first != nil {
			close(q.waiting[0].first)
		}
	}
	q.note()
}

// dropFrom drops a turn and all behind it.
func (q *turns) dropFrom(t *turn) {
	found := false
	for _, other := range q.waiting {
		found = found || other == t
		if found {
			other.drop()
		}
	}
	q.advance()
}

// dropAll drops all turns.
func (q *turns) dropAll() {
	if len(q.waiting) > 0 {
		q.dropFrom(q.waiting[0])
	}
}

// isLast tells whether there is none behind a turn.
func (q *turns) isLast(t *turn) bool {
	return len(q.waiting) == 0 || q.waiting[len(q.waiting)-1] == t
}

// mayRun tells whether the request of a turn may run: beside those ahead if all of them may be
// repeated, else only once they have been answered.
func (q *turns) mayRun(t *turn) bool {
	for _, ahead := range q.waiting {
		if ahead == t {
			return true
		}
		beside := t.runsBeside() && ahead.runsBeside()
		if !ahead.done && !beside {
			return false
		}
	}
	return true
}

// note wakes those who wait for a change.
func (q *turns) note() {
	if q.changed != nil {
		close(q.changed)
		q.changed = nil
	}
}

// next returns what is closed at the next change.
func (q *turns) next() <-chan struct{} {
	if q.changed == nil {
		q.changed = make(chan struct{})
	}
	return q.changed
}
