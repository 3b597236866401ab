package feed

import (
	"maps"
	"slices"
	"strings"
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

// alters reports whether the change alters an object with a value, or that is not known.
func (c Change) alters(value []byte, known bool) bool {
	if c.Removed || !known {
		return known != !c.Removed
	}
	return string(value) != string(c.Value)
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
	Torn bool `msgpack:"t,omitempty"`
	// Changes name each object at most once if the delta comes from a replica, in ascending order.
	Changes []Change `msgpack:"c"`
	// Begin and Next are set in a part of a delta, see Assembly: what the receiver has to hold
	// before this part, and what it holds after it. Begin is nil in a first part, and Next in the
	// last one.
	Begin *Progress `msgpack:"h,omitempty"`
	Next  *Progress `msgpack:"x,omitempty"`
	// Restart is set in a first part if the next one was requested and could not be sent.
	Restart bool `msgpack:"s,omitempty"`
	// Unreadable names the places of objects that the store has sent and whose names can't be
	// read. They are not among the changes.
	Unreadable []string `msgpack:"-"`
}

// IsPart reports whether the delta is a part of a longer one.
func (d Delta) IsPart() bool { return d.Begin != nil || d.Next != nil }

// Compact returns the delta with the last change of each object only, ordered by name. It leads to the
// same objects, from whichever position that the delta applies to.
func (d Delta) Compact() Delta {
	last := make(map[string]Change, len(d.Changes))
	for _, c := range d.Changes {
		last[c.Name] = c
	}
	d.Changes = slices.SortedFunc(maps.Values(last), byName)
	return d
}

// byName orders changes by the names of their objects.
func byName(a, b Change) int { return strings.Compare(a.Name, b.Name) }
