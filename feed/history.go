package feed

import "slices"

const (
	// maxHistory bounds the number of steps of a history.
	maxHistory = 128
	// maxRemovedBytes bounds the names of removed objects that a history keeps, each of which counts
	// with removedOverhead bytes beside its own. It has room for 4,000 names of usual length.
	maxRemovedBytes = 512 << 10
	removedOverhead = 96
)

// history tells from which earlier positions a replica can lead others to its own. It keeps no values: the
// objects that changed after a position are found by the positions of their last changes.
type history struct {
	// steps holds the latest deltas that the replica has applied. Each begins at the end of the one before.
	steps   []step
	removed removals
}

// step is a delta that a replica has applied, without its changes. Before is the digest of the objects
// at from.
type step struct {
	from, to Position
	exact    bool
	before   uint64
}

// add adds a step. An empty one only extends the last step. An empty exact step extends only an
// exact one: objects may have been created and removed within it, so that the extended step
// must be exact.
func (h *history) add(s step, empty bool) {
	last := len(h.steps) - 1
	if empty && last >= 0 && (!s.exact || h.steps[last].exact) {
		h.steps[last].to = s.to
		return
	}
	h.steps = append(h.steps, s)
	if len(h.steps) > maxHistory {
		h.steps = slices.Clone(h.steps[len(h.steps)-maxHistory/2:])
	}
	h.forget()
}

// forget drops the removals that no step needs, and the steps whose removals don't fit into
// maxRemovedBytes.
func (h *history) forget() {
	if h.removed.bytes > maxRemovedBytes {
		floor := h.removed.shrink(maxRemovedBytes / 2)
		h.steps = slices.DeleteFunc(h.steps, func(s step) bool { return floor.After(s.from) })
	}
	if len(h.steps) == 0 {
		h.removed.clear()
		return
	}
	h.removed.dropUntil(h.steps[0].from)
}

// clear forgets everything.
func (h *history) clear() {
	h.steps = nil
	h.removed.clear()
}

// dropDifferences forgets the steps up to the last exact one.
func (h *history) dropDifferences() {
	for i, s := range slices.Backward(h.steps) {
		if s.exact {
			h.steps = slices.Clone(h.steps[i+1:])
			h.forget()
			return
		}
	}
}

// indexFrom returns the index of the first step that a replica at the position from needs, or -1 if the
// history does not serve it. It does not serve a position within an exact step.
func (h *history) indexFrom(from Position) int {
	start := -1
	for i, s := range h.steps {
		switch {
		case s.from.After(from):
			return start
		case s.from == from || !s.exact:
			start = i
		default:
			start = -1
		}
	}
	return start
}

// hasDifference reports whether any step from an index on is exact.
func (h *history) hasDifference(start int) bool {
	return slices.ContainsFunc(h.steps[start:], func(s step) bool { return s.exact })
}

// removals holds the names of removed objects, with the positions of their removals.
type removals struct {
	at map[string]Position
	// bytes is the size of all names with removedOverhead each, and first a position that none precedes.
	bytes int
	first Position
}

func removedBytes(name string) int { return len(name) + removedOverhead }

// add records that an object was removed.
func (r *removals) add(name string, at Position) {
	r.drop(name)
	if r.at == nil {
		r.at = make(map[string]Position)
	}
	if len(r.at) == 0 {
		r.first = at
	}
	r.at[name] = at
	r.bytes += removedBytes(name)
}

// drop forgets an object.
func (r *removals) drop(name string) {
	if _, known := r.at[name]; known {
		delete(r.at, name)
		r.bytes -= removedBytes(name)
	}
}

// clear forgets all objects.
func (r *removals) clear() { *r = removals{} }

// dropUntil forgets the objects that were removed at or before a position.
func (r *removals) dropUntil(floor Position) {
	if len(r.at) == 0 || r.first.After(floor) {
		return
	}
	first := Position{}
	for name, at := range r.at {
		switch {
		case !at.After(floor):
			r.drop(name)
		case first.IsZero() || first.After(at):
			first = at
		}
	}
	r.first = first
}

// shrink forgets the objects that were removed first, until the others take at most limit bytes. It returns
// the position up to which all removals are forgotten.
func (r *removals) shrink(limit int) (floor Position) {
	names := make([]string, 0, len(r.at))
	for name := range r.at {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return r.at[a].Compare(r.at[b]) })
	left := r.bytes
	for _, name := range names {
		if left <= limit {
			break
		}
		left -= removedBytes(name)
		floor = r.at[name]
	}
	r.dropUntil(floor)
	return floor
}
