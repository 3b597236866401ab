package feed

import (
	"slices"
	"sort"

	"github.com/rainford/rainford/internal/mix"
)

// Kind names a kind of object. The gateway defines the kinds.
type Kind string

// Object is one object of the store. The package does not interpret its value.
type Object struct {
	Name  string `msgpack:"n"`
	Value []byte `msgpack:"v"`
	// Revision is the revision of the object's last change, 0 if the store does not report
	// it.
	Revision int64 `msgpack:"-"`
}

// Change is the new state of an object, or its removal.
type Change struct {
	Object
	Removed bool `msgpack:"g,omitempty"`
}

// Delta carries all changes of a kind after the position From up to and including the
// position To of the same era. A full delta carries all objects instead, and its From is
// zero. An exact delta carries only the difference between two states: it omits objects
// that were created and removed in between. It may lead from one era to a later one.
type Delta struct {
	Kind  Kind     `msgpack:"k"`
	From  Position `msgpack:"b"`
	To    Position `msgpack:"u"`
	Full  bool     `msgpack:"a,omitempty"`
	Exact bool     `msgpack:"e,omitempty"`
	// Digest is, in an exact delta, the digest of the objects that it leads from.
	Digest uint64 `msgpack:"d,omitempty"`
	// Torn is set if the objects that a full or an exact delta leads to may not be those of
	// the position To: some may be newer, or were removed by then.
	Torn    bool     `msgpack:"t,omitempty"`
	Changes []Change `msgpack:"c"`
	// Unreadable names the places of objects that the store has sent and whose names can't be
	// read. They are not among the changes.
	Unreadable []string `msgpack:"-"`
}

// maxHistory bounds the number of deltas that a replica keeps for other replicas.
const maxHistory = 128

// Replica holds the objects of one kind. It is not safe for concurrent use.
//
// Unless the replica is in doubt, its objects are exactly those of the store at its position.
type Replica struct {
	kind     Kind
	position Position
	objects  map[string][]byte
	// digest is the XOR of the digests of all objects.
	digest uint64
	// inDoubt is set while the objects may not be those of the position, and needsAll while
	// an exact delta has shown that another replica holds other objects at the position.
	inDoubt, needsAll bool
	// history holds the latest deltas. Each begins at the end of the one before.
	history []historyEntry
}

// historyEntry is a delta, with the digest of the objects before it.
type historyEntry struct {
	Delta
	before uint64
}

// NewReplica returns an empty replica at the zero position.
func NewReplica(kind Kind) *Replica {
	return &Replica{kind: kind, objects: make(map[string][]byte)}
}

// Position returns the position that the replica reflects. It is zero before the first
// delta.
func (r *Replica) Position() Position { return r.position }

// Digest returns a value that is equal for replicas with the same objects, whatever their
// positions. It is not 0. Replicas with the same objects differ in their positions if one was
// read from the store anew and the other is still at the last change.
func (r *Replica) Digest() uint64 {
	if r.digest == 0 {
		return emptyDigest
	}
	return r.digest
}

// emptyDigest is the digest of a replica without objects.
const emptyDigest = 1

// InDoubt reports whether the objects may not be those of the position. A list of the store
// that is not torn ends the doubt.
func (r *Replica) InDoubt() bool { return r.inDoubt }

// MarkInDoubt records that the objects may not be those of the position, as when another replica
// holds other objects at the same position. The history up to the last difference of states is
// forgotten, since one of these may be wrong. The changes after it are those of the store.
func (r *Replica) MarkInDoubt() {
	r.inDoubt = true
	for i, h := range slices.Backward(r.history) {
		if h.Exact {
			r.history = r.history[i+1:]
			return
		}
	}
}

// Missing returns the position and the digest with which missing changes have to be requested. Both
// are zero if all objects are needed.
func (r *Replica) Missing() (Position, uint64) {
	if r.needsAll {
		return Position{}, 0
	}
	return r.position, r.Digest()
}

// Len returns the number of objects.
func (r *Replica) Len() int { return len(r.objects) }

// Has reports whether an object with the name exists.
func (r *Replica) Has(name string) bool {
	_, ok := r.objects[name]
	return ok
}

// Get returns the value of the object with the name, and whether it exists.
func (r *Replica) Get(name string) ([]byte, bool) {
	value, ok := r.objects[name]
	return value, ok
}

// Range calls f for each object, in no particular order.
func (r *Replica) Range(f func(Object)) {
	for name, value := range r.objects {
		f(Object{Name: name, Value: value})
	}
}

// Apply applies a delta. It returns the changes that it made, and whether the replica now
// reflects at least the position at the end of the delta. If not, the delta left a gap, and
// the missing changes have to be requested.
//
// A full delta to the replica's own position takes effect only if the replica is in doubt and
// the delta is not torn.
func (r *Replica) Apply(d Delta) (changes []Change, ok bool) {
	if !d.To.After(r.position) && !r.isRepairedBy(d) {
		return nil, true
	}
	if !r.canApply(d) {
		r.needsAll = r.needsAll || d.Exact && d.From == r.position
		return nil, false
	}
	before := r.Digest()
	if d.Full {
		changes = r.replaceAll(d)
		d = Delta{Kind: d.Kind, From: r.position, To: d.To, Exact: true, Digest: before, Torn: d.Torn, Changes: changes}
	} else {
		changes = r.applyChanges(d)
	}
	r.appendHistory(d, before)
	r.position, r.needsAll = d.To, false
	if d.Exact {
		r.inDoubt = d.Torn
	}
	return changes, true
}

// isRepairedBy reports whether a delta replaces the objects of a replica that is in doubt, at its
// position.
func (r *Replica) isRepairedBy(d Delta) bool {
	return r.inDoubt && d.Full && !d.Torn && d.To == r.position
}

// canApply reports whether the delta can be applied to the replica's state.
func (r *Replica) canApply(d Delta) bool {
	switch {
	case d.Full:
		return true
	case d.Exact:
		return !r.position.IsZero() && d.From == r.position && d.Digest == r.Digest()
	default:
		return !r.position.IsZero() && d.From.Era == r.position.Era && d.To.Era == r.position.Era && !d.From.After(r.position)
	}
}

// applyChanges applies the changes of a delta, and returns those that had an effect.
func (r *Replica) applyChanges(d Delta) []Change {
	var made []Change
	for _, c := range d.Changes {
		held, known := r.objects[c.Name]
		switch {
		case c.Removed && known:
			delete(r.objects, c.Name)
		case !c.Removed && (!known || string(held) != string(c.Value)):
			r.objects[c.Name] = c.Value
			r.digest ^= objectDigest(c.Name, c.Value)
		default:
			continue
		}
		if known {
			r.digest ^= objectDigest(c.Name, held)
		}
		made = append(made, c)
	}
	return made
}

// replaceAll replaces all objects with those of a full delta, and returns the changes made.
func (r *Replica) replaceAll(d Delta) []Change {
	named := make(map[string]bool, len(d.Changes))
	for _, c := range d.Changes {
		named[c.Name] = !c.Removed
	}
	var all []Change
	for name := range r.objects {
		if !named[name] {
			all = append(all, Change{Object: Object{Name: name}, Removed: true})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return r.applyChanges(Delta{Changes: append(all, d.Changes...)})
}

// appendHistory adds a delta to the history, unless the replica was at the zero position
// before. Before is the digest of the objects before the delta. A torn delta, or one that does
// not advance the replica, clears the history instead, since no other replica can follow it. An
// empty delta only extends the last delta of the history. An empty exact delta extends only an
// exact one: objects may have been created and removed within it, so that the extended delta
// must be exact.
func (r *Replica) appendHistory(d Delta, before uint64) {
	if r.position.IsZero() {
		return
	}
	if d.Torn || d.To == r.position {
		r.history = nil
		return
	}
	d.From = r.position
	last := len(r.history) - 1
	if len(d.Changes) == 0 && last >= 0 && (!d.Exact || r.history[last].Exact) {
		r.history[last].To = d.To
		return
	}
	r.history = append(r.history, historyEntry{d, before})
	if len(r.history) > maxHistory {
		r.history = append(r.history[:0:0], r.history[len(r.history)-maxHistory/2:]...)
	}
}

// objectDigest returns the contribution of an object to a replica's digest.
func objectDigest(name string, value []byte) uint64 { return mix.Pair(name, string(value)) }

// DeltaSince returns a delta that leads from the position from to that of the replica.
// Digest is the digest of the objects at from, 0 if it is not known. The delta is empty
// if from is the replica's position, and empty and exact if only the digest is the same.
// Otherwise it joins the deltas of the history after from. It is a full delta if the
// history does not reach back that far, or contains an exact delta and the objects at from
// were not those of the digest here.
func (r *Replica) DeltaSince(from Position, digest uint64) Delta {
	start := r.historyIndex(from)
	switch {
	case from == r.position && !r.position.IsZero():
		return Delta{Kind: r.kind, From: from, To: r.position}
	case !from.IsZero() && digest == r.Digest() && !r.inDoubt:
		return Delta{Kind: r.kind, From: from, To: r.position, Exact: true, Digest: digest}
	case start < 0 || from.IsZero():
		return r.fullDelta()
	}
	d := Delta{Kind: r.kind, From: from, To: r.position}
	for _, h := range r.history[start:] {
		d.Exact = d.Exact || h.Exact
		d.Changes = append(d.Changes, h.Changes...)
	}
	if !d.Exact {
		return d
	}
	if first := r.history[start]; first.From != from || first.before != digest {
		return r.fullDelta()
	}
	d.Digest, d.Torn = digest, r.inDoubt
	return d
}

// historyIndex returns the index of the first delta of the history that a replica at the
// position from needs, or -1 if the history does not serve it. It does not serve a position
// within an exact delta.
func (r *Replica) historyIndex(from Position) int {
	start := -1
	for i, h := range r.history {
		switch {
		case h.From.After(from):
			return start
		case h.From == from || !h.Exact:
			start = i
		default:
			start = -1
		}
	}
	return start
}

// fullDelta returns a full delta with all objects, ordered by name.
func (r *Replica) fullDelta() Delta {
	d := Delta{Kind: r.kind, To: r.position, Full: true, Torn: r.inDoubt}
	for name, value := range r.objects {
		d.Changes = append(d.Changes, Change{Object: Object{Name: name, Value: value}})
	}
	sort.Slice(d.Changes, func(i, j int) bool { return d.Changes[i].Name < d.Changes[j].Name })
	return d
}
