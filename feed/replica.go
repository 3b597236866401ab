package feed

import (
	"slices"

	"github.com/rainford/rainford/internal/mix"
)

// Replica holds the objects of one kind. It is not safe for concurrent use.
//
// Unless the replica is in doubt, its objects are exactly those of the store at its position.
type Replica struct {
	kind     Kind
	position Position
	objects  map[string]entry
	// digest is the XOR of the digests of all objects.
	digest uint64
	// inDoubt is set while the objects may not be those of the position, and needsAll while
	// an exact delta has shown that another replica holds other objects at the position.
	inDoubt, needsAll bool
	history           history
}

// entry is an object of a replica.
type entry struct {
	value []byte
	// changed is the position that the replica reached by the delta with the object's last change.
	changed Position
}

// NewReplica returns an empty replica at the zero position.
func NewReplica(kind Kind) *Replica {
	return &Replica{kind: kind, objects: make(map[string]entry)}
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
	r.history.dropDifferences()
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
	held, ok := r.objects[name]
	return held.value, ok
}

// Range calls f for each object, in no particular order.
func (r *Replica) Range(f func(Object)) {
	for name, held := range r.objects {
		f(Object{Name: name, Value: held.value})
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
	r.recordStep(d, before)
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

// applyChanges applies the changes of a delta, and returns those that had an effect. A change without one
// counts as the object's last change too: the object may have had another state within the delta.
func (r *Replica) applyChanges(d Delta) []Change {
	var made []Change
	for _, c := range d.Changes {
		held, known := r.objects[c.Name]
		if c.Removed {
			delete(r.objects, c.Name)
			r.history.removed.add(c.Name, d.To)
		} else {
			r.objects[c.Name] = entry{c.Value, d.To}
			r.history.removed.drop(c.Name)
		}
		if !c.alters(held.value, known) {
			continue
		}
		if known {
			r.digest ^= objectDigest(c.Name, held.value)
		}
		if !c.Removed {
			r.digest ^= objectDigest(c.Name, c.Value)
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
	slices.SortFunc(all, byName)
	for _, c := range d.Changes {
		if held, known := r.objects[c.Name]; c.alters(held.value, known) {
			all = append(all, c)
		}
	}
	return r.applyChanges(Delta{To: d.To, Changes: all})
}

// recordStep records a delta in the history. Before is the digest of the objects before the delta. The
// first delta, a torn one, or one that does not advance the replica clears the history instead, since no other
// replica can follow it.
func (r *Replica) recordStep(d Delta, before uint64) {
	if r.position.IsZero() || d.Torn || d.To == r.position {
		r.history.clear()
		return
	}
	r.history.add(step{from: r.position, to: d.To, exact: d.Exact, before: before}, len(d.Changes) == 0)
}

// objectDigest returns the contribution of an object to a replica's digest.
func objectDigest(name string, value []byte) uint64 { return mix.Pair(name, string(value)) }

// DeltaSince returns a delta that leads from the position from to that of the replica.
// Digest is the digest of the objects at from, 0 if it is not known. The delta is empty
// if from is the replica's position, and empty and exact if only the digest is the same.
// Otherwise it has the objects that changed after from, and is exact if the history after from
// contains an exact delta. It is a full delta if the history does not reach back that far, or if it
// would be exact and the objects at from were not those of the digest here. It never has more than
// the replica's objects and the removals that the history knows.
func (r *Replica) DeltaSince(from Position, digest uint64) Delta {
	d := r.header(from, digest)
	d.Changes = r.changes(d, nil)
	return d
}

// header returns the delta that DeltaSince returns, without its changes.
func (r *Replica) header(from Position, digest uint64) Delta {
	whole := Delta{Kind: r.kind, To: r.position, Full: true, Torn: r.inDoubt}
	start := r.history.indexFrom(from)
	switch {
	case from == r.position && !r.position.IsZero():
		return Delta{Kind: r.kind, From: from, To: r.position}
	case !from.IsZero() && digest == r.Digest() && !r.inDoubt:
		return Delta{Kind: r.kind, From: from, To: r.position, Exact: true, Digest: digest}
	case start < 0 || from.IsZero():
		return whole
	case !r.history.hasDifference(start):
		return Delta{Kind: r.kind, From: from, To: r.position}
	}
	if first := r.history.steps[start]; first.from != from || first.before != digest {
		return whole
	}
	return Delta{Kind: r.kind, From: from, To: r.position, Exact: true, Digest: digest, Torn: r.inDoubt}
}

// changes returns the changes of a delta with the given header, ordered by name, without those that a
// receiver with some parts of the delta has already.
func (r *Replica) changes(header Delta, got *Progress) []Change {
	var out []Change
	if header.Exact && header.Digest == r.Digest() {
		return nil
	}
	for name, held := range r.objects {
		if header.Full && !got.covers(name) || held.changed.After(got.since(name, header.From)) {
			out = append(out, Change{Object: Object{Name: name, Value: held.value}})
		}
	}
	for name, at := range r.history.removed.at {
		if (!header.Full || got.covers(name)) && at.After(got.since(name, header.From)) {
			out = append(out, Change{Object: Object{Name: name}, Removed: true})
		}
	}
	slices.SortFunc(out, byName)
	return out
}
