package objects

import "time"

const (
	// initialEra is the era of a new store.
	initialEra = 1
	// undoRetention is how far back a copy may lie from which the store is restored.
	undoRetention = time.Minute
)

// objectKey stands for an object.
type objectKey struct{ kind, name string }

// undoEntry is what a write replaced.
type undoEntry struct {
	objectKey
	at time.Time
	// before is nil if there was no object.
	before *Object
	// revision is that of the write.
	revision int64
	// external says that the operator or a server wrote, and not the system.
	external bool
}

// LostWrite is the last that the operator or a server wrote of an object, and that a restored store
// does not hold.
type LostWrite struct {
	Kind, Name string
	object     *Object
}

// recordUndo keeps what a write of the current revision is about to replace. The caller holds mu.
func (s *Store) recordUndo(kind, name string) {
	now := time.Now()
	for len(s.undo) > 0 && now.Sub(s.undo[0].at) > undoRetention {
		s.undo = s.undo[1:]
	}
	s.undo = append(s.undo, undoEntry{objectKey: objectKey{kind, name}, at: now, before: s.kinds[kind][name], revision: s.revision})
}

// markExternal notes that the last write was the operator's or a server's. The caller holds mu.
func (s *Store) markExternal() {
	last := &s.undo[len(s.undo)-1]
	last.external = true
	s.writtenSinceRestore[last.objectKey] = true
}

// Revision returns the revision of the last change.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Era returns the era that answers tell.
func (s *Store) Era() int64 { return s.era.Load() }

// RestoreAt takes the store back to what it was at a revision, as one that comes back from a copy.
// Its revisions go on from there, in a new era. It returns what the operator and the servers wrote
// since, the earliest first; WriteAgain writes it.
func (s *Store) RestoreAt(revision int64) []LostWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restore(func(e undoEntry) bool { return e.revision > revision })
}

// RestoreAge is like RestoreAt, for a copy of an age.
func (s *Store) RestoreAge(age time.Duration) []LostWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	made := time.Now().Add(-age)
	return s.restore(func(e undoEntry) bool { return e.at.After(made) })
}

// restore undoes the latest writes for which lost says so. The caller holds mu.
func (s *Store) restore(lost func(undoEntry) bool) []LostWrite {
	var out []LostWrite
	seen := make(map[objectKey]bool)
	for len(s.undo) > 0 && lost(s.undo[len(s.undo)-1]) {
		e := s.undo[len(s.undo)-1]
		s.undo = s.undo[:len(s.undo)-1]
		if e.external && !seen[e.objectKey] {
			seen[e.objectKey] = true
			out = append([]LostWrite{{Kind: e.kind, Name: e.name, object: s.kinds[e.kind][e.name]}}, out...)
		}
		s.setObject(e.kind, e.name, e.before)
		s.revision = e.revision - 1
	}
	for len(s.history) > 0 && s.history[len(s.history)-1].revision > s.revision {
		s.history = s.history[:len(s.history)-1]
	}
	s.compactedRevision = min(s.compactedRevision, s.revision)
	s.era.Add(1)
	clear(s.writtenSinceRestore)
	s.wakeWatches()
	return out
}

// setObject has an object be there as it is, or not be there if it is nil. The caller holds mu.
func (s *Store) setObject(kind, name string, o *Object) {
	if o == nil {
		delete(s.kinds[kind], name)
		return
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]*Object)
	}
	s.kinds[kind][name] = o
}

// Reapply has the operator or a server write what was lost, unless they have written the object since
// the store was restored.
func (s *Store) Reapply(w LostWrite) {
	s.mu.Lock()
	written := s.writtenSinceRestore[objectKey{w.Kind, w.Name}]
	s.mu.Unlock()
	if written {
		return
	}
	if w.object == nil {
		s.Remove(w.Kind, w.Name)
		return
	}
	s.Set(w.Kind, w.Name, w.object.Spec)
}
