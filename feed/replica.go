package feed

import (
	"sort"

	"github.com/rainford/rainford/internal/mix"
)

// Kind names a kind of object. The values are the product's own.
type Kind string

// Object is one object as the store holds it. The value is opaque here.
type Object struct {
	Name  string `msgpack:"n"`
	Value []byte `msgpack:"v"`
	// Revision is that of the object's last change, as far as the store tells.
	Revision int64 `msgpack:"-"`
}

// Change is the new state of an object, or its removal.
type Change struct {
	Object
	Removed bool `msgpack:"g,omitempty"`
}

// Delta carries all changes of a kind after the position From up to the position To, which is of
// the same era. A full delta carries all objects instead; From is zero. An exact delta carries
// the difference of the two states alone: what came and went in between is not in it. It may lead
// from one era to a later one.
type Delta struct {
	Kind    Kind     `msgpack:"k"`
	From    Position `msgpack:"b"`
	To      Position `msgpack:"u"`
	Full    bool     `msgpack:"a,omitempty"`
	Exact   bool     `msgpack:"e,omitempty"`
	Changes []Change `msgpack:"c"`
}

// maxHistory bounds the deltas that a replica keeps to pass on.
const maxHistory = 128

// Replica holds the objects of one kind. It is not safe for concurrent use.
type Replica struct {
	kind     Kind
	position Position
	objects  map[string][]byte
	// digest is that of the objects.
	digest uint64
	// history holds the latest deltas, which join without a gap.
	history []Delta
}

// NewReplica returns a replica that holds nothing, at the zero position.
func NewReplica(kind Kind) *Replica {
	return &Replica{kind: kind, objects: make(map[string][]byte)}
}

// Position returns the position that the replica reflects, zero before the first delta.
func (r *Replica) Position() Position { return r.position }

// Digest returns a value that two replicas share if they hold the same objects, whatever
// positions they reflect: one that was read anew reflects a later one than those that
// stayed at the last change.
func (r *Replica) Digest() uint64 { return r.digest }

// Len returns the number of objects.
func (r *Replica) Len() int { return len(r.objects) }

// Has tells whether there is an object of a name.
func (r *Replica) Has(name string) bool {
	_, ok := r.objects[name]
	return ok
}

// Get returns the value of the object of a name.
func (r *Replica) Get(name string) ([]byte, bool) {
	value, ok := r.objects[name]
	return value, ok
}

// Range calls f with each object.
func (r *Replica) Range(f func(Object)) {
	for name, value := range r.objects {
		f(Object{Name: name, Value: value})
	}
}

// Apply takes in a delta. It returns the changes that it made, and whether the
// replica now reflects at least the delta's end; if not, the delta left a gap
// and the difference has to be asked for.
func (r *Replica) Apply(d Delta) (changes []Change, ok bool) {
	if !d.To.After(r.position) {
		return nil, true
	}
	if !r.canApply(d) {
		return nil, false
	}
	if d.Full {
		changes = r.replaceAll(d)
		d = ExactDelta(d.Kind, r.position, d.To, changes)
	} else {
		changes = r.applyChanges(d)
	}
	r.appendHistory(d)
	r.position = d.To
	return changes, true
}

// canApply tells whether a delta leads on from the replica's state.
func (r *Replica) canApply(d Delta) bool {
	switch {
	case d.Full:
		return true
	case d.Exact:
		return !r.position.IsZero() && d.From == r.position
	default:
		return !r.position.IsZero() && d.From.Era == r.position.Era && d.To.Era == r.position.Era && !d.From.After(r.position)
	}
}

// ExactDelta returns the exact delta between two states, of which changes are all that
// they differ in.
func ExactDelta(kind Kind, from, to Position, changes []Change) Delta {
	return Delta{Kind: kind, From: from, To: to, Exact: true, Changes: changes}
}

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

// appendHistory keeps a delta that begins at or before the replica's position, unless the
// replica held nothing. An empty delta only moves the end of the one before it, except that
// an exact one, in which something may have come and gone, leaves one that is not as it is.
func (r *Replica) appendHistory(d Delta) {
	if r.position.IsZero() {
		return
	}
	d.From = r.position
	last := len(r.history) - 1
	if len(d.Changes) == 0 && last >= 0 && (!d.Exact || r.history[last].Exact) {
		r.history[last].To = d.To
		return
	}
	r.history = append(r.history, d)
	if len(r.history) > maxHistory {
		r.history = append(r.history[:0:0], r.history[len(r.history)-maxHistory/2:]...)
	}
}

// objectDigest returns the part of an object in a digest.
func objectDigest(name string, value []byte) uint64 { return mix.Pair(name, string(value)) }

// DeltaSince returns what leads from position from, at which there are the objects of a digest,
// to the replica's own: a delta if they are the same or the history reaches back that far,
// else the whole kind.
func (r *Replica) DeltaSince(from Position, digest uint64) Delta {
	start := r.historyIndex(from)
	switch {
	case from == r.position && !r.position.IsZero():
		return Delta{Kind: r.kind, From: from, To: r.position}
	case !from.IsZero() && digest != 0 && digest == r.digest:
		return ExactDelta(r.kind, from, r.position, nil)
	case start < 0 || from.IsZero():
		return r.fullDelta()
	}
	d := Delta{Kind: r.kind, From: from, To: r.position}
	for _, h := range r.history[start:] {
		d.Exact = d.Exact || h.Exact
		d.Changes = append(d.Changes, h.Changes...)
	}
	return d
}

// historyIndex returns the index of the delta of the history from which a replica at a position
// can go on, or -1. One whose position lies within an exact delta can't.
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

func (r *Replica) fullDelta() Delta {
	d := Delta{Kind: r.kind, To: r.position, Full: true}
	for name, value := range r.objects {
		d.Changes = append(d.Changes, Change{Object: Object{Name: name, Value: value}})
	}
	sort.Slice(d.Changes, func(i, j int) bool { return d.Changes[i].Name < d.Changes[j].Name })
	return d
}
