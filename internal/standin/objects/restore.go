package objects

import (
	"maps"
	"time"
)

const (
	initialEra = 1
	// undoRetention is the maximum age of a backup from which the store can be restored.
	undoRetention = time.Minute
)

// objectKey identifies an object.
type objectKey struct{ kind, name string }

// undoEntry records the state of an object before a write.
type undoEntry struct {
	objectKey
	at time.Time
	// before is nil if the object did not exist.
	before *Object
	// revision is the store's revision after the write.
	revision int64
	// external is true for a write by the operator or a target, and false for one by the tested system.
	external bool
}

// LostWrite is the last write of an object by the operator or a target, where a restore of the store has
// undone it.
type LostWrite struct {
	Kind, Name string
	object     *Object
}

// recordUndo records the current state of an object that the write of the current revision is about to
// replace. It discards records older than undoRetention. The caller holds mu.
func (s *Store) recordUndo(kind, name string) {
	now := time.Now()
	for len(s.undo) > 0 && now.Sub(s.undo[0].at) > undoRetention {
		s.undo = s.undo[1:]
	}
	s.undo = append(s.undo, undoEntry{objectKey: objectKey{kind, name}, at: now, before: s.kinds[kind][name], revision: s.revision})
}

// markExternal marks the last write as one by the operator or a target. The caller holds mu.
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

// Era returns the store's era, which each restore from a backup increments.
func (s *Store) Era() int64 { return s.era.Load() }

// RestoreAt restores the state that the store had at a revision, as from a backup. Revisions continue from
// that one, in a new era. RestoreAt returns the undone writes of the operator and of targets, the earliest
// first. Reapply repeats such a write.
func (s *Store) RestoreAt(revision int64) []LostWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restore(func(e undoEntry) bool { return e.revision > revision })
}

// RestoreAge is like RestoreAt, for a backup of the given age.
func (s *Store) RestoreAge(age time.Duration) []LostWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	made := time.Now().Add(-age)
	return s.restore(func(e undoEntry) bool { return e.at.After(made) })
}

// restore undoes the latest writes, back to the first for which lost returns false. The caller holds mu.
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
	s.restoredAt = time.Now()
	clear(s.writtenSinceRestore)
	s.wakeWatches()
	return out
}

// stateBefore returns the objects of a kind, and the revision, that the store had at a time. The state is not
// older than the last restore or the first write, since the platform's revisions begin above 0. The caller holds mu.
func (s *Store) stateBefore(kind string, at time.Time) (map[string]*Object, int64) {
	state, revision := make(map[string]*Object, len(s.kinds[kind])), s.revision
	maps.Copy(state, s.kinds[kind])
	for i := len(s.undo) - 1; i >= 0; i-- {
		e := s.undo[i]
		if !e.at.After(at) || e.at.Before(s.restoredAt) || e.revision == 1 {
			break
		}
		revision = e.revision - 1
		switch {
		case e.kind != kind:
		case e.before == nil:
			delete(state, e.name)
		default:
			state[e.name] = e.before
		}
	}
	return state, revision
}

// setObject stores o without a new revision, or removes the object if o is nil. The caller holds mu.
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

// Reapply repeats a lost write of the operator or a target, unless the object has been written or removed
// externally since the restore.
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
