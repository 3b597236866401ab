package feed

import (
	"maps"
	"slices"
)

// Progress tells which parts of a delta a replica has received: the changes to all objects up to and
// including the name After, as of the position At. The zero value tells that it has received none.
type Progress struct {
	After string   `msgpack:"n"`
	At    Position `msgpack:"p"`
	// Full and Exact are those of the delta.
	Full  bool `msgpack:"a,omitempty"`
	Exact bool `msgpack:"e,omitempty"`
}

// covers reports whether the parts received cover the object with a name.
func (p *Progress) covers(name string) bool { return p != nil && !p.At.IsZero() && name <= p.After }

// since returns the position after which changes to an object are missing in a delta from a position.
func (p *Progress) since(name string, from Position) Position {
	if p.covers(name) {
		return p.At
	}
	return from
}

// Query states what a replica lacks.
type Query struct {
	// From is the position of the replica and Digest its digest. Both are zero if all objects are needed.
	From   Position
	Digest uint64
	// Got is the progress of the delta from there. It is nil if the replica takes no parts.
	Got *Progress
}

// changeOverhead is the size of an encoded change beyond its name and value, in bytes, at most.
const changeOverhead = 32

// Part returns the delta of DeltaSince that leads a replica with the query to the position of this one,
// or its next part: the first changes in the order of names of up to maxBytes, and at least one. The parts
// are of the latest state each. A later part therefore repeats the objects of earlier parts that have
// changed since. If that is not possible, because the history does not tell which have, or because the delta
// is another one by now, it begins anew with a first part.
func (r *Replica) Part(q Query, maxBytes int) Delta {
	d := r.header(q.From, q.Digest)
	if q.Got != nil && !q.Got.At.IsZero() {
		d.Restart = !r.continues(d, *q.Got)
		if !d.Restart {
			d.Begin = q.Got
		}
	}
	d.Changes = r.changes(d, d.Begin)
	if q.Got == nil {
		return d
	}
	size := 0
	for i, c := range d.Changes {
		size += len(c.Name) + len(c.Value) + changeOverhead
		if size > maxBytes && i > 0 {
			d.Changes = d.Changes[:i]
			d.Next = &Progress{After: d.Changes[i-1].Name, At: d.To, Full: d.Full, Exact: d.Exact}
			break
		}
	}
	return d
}

// continues reports whether a delta with the given header continues the one whose parts were received. One that
// leads back to the objects where it began does not: it has no changes, whereas the parts have some.
func (r *Replica) continues(header Delta, got Progress) bool {
	if header.Full != got.Full || header.Exact != got.Exact || got.At.After(r.position) {
		return false
	}
	if header.Exact && header.Digest == r.Digest() {
		return false
	}
	if got.At == r.position {
		return true
	}
	start := r.history.indexFrom(got.At)
	return start >= 0 && !r.history.hasDifference(start)
}

// Assembly joins the parts of a delta. It is not safe for concurrent use. The zero value is ready to use.
type Assembly struct {
	// header is the delta without its changes, which are held by name.
	header  Delta
	changes map[string]Change
	got     Progress
}

// Prune drops the parts if they are of no use for the replica any more.
func (a *Assembly) Prune(r *Replica) {
	if !a.got.At.After(r.Position()) || a.header.Exact && a.header.From != r.Position() {
		*a = Assembly{}
	}
}

// Query returns what to request for a replica: the next part, or the first one if there is none or the parts
// are of no use any more, see Prune.
func (a *Assembly) Query(r *Replica) Query {
	a.Prune(r)
	got := a.got
	if got.At.IsZero() {
		from, digest := r.Missing()
		return Query{From: from, Digest: digest, Got: &got}
	}
	return Query{From: a.header.From, Digest: a.header.Digest, Got: &got}
}

// Add adds a part. It returns the whole delta if the part is the last one. Progress tells whether the part
// was one that was missing: parts that arrive twice or out of order have no effect.
func (a *Assembly) Add(part Delta) (whole Delta, done, progress bool) {
	switch {
	case part.Begin == nil && a.isBeyond(part):
		return Delta{}, false, false
	case part.Begin == nil:
		a.header, a.changes = part, make(map[string]Change, len(part.Changes))
		a.header.Changes = nil
	case a.got.At.IsZero() || *part.Begin != a.got:
		return Delta{}, false, false
	}
	a.header.Torn = a.header.Torn || part.Torn
	for _, c := range part.Changes {
		a.changes[c.Name] = c
	}
	if part.Next != nil {
		a.truncate(*part.Next)
		return Delta{}, false, true
	}
	return a.finish(part.To), true, true
}

// isBeyond reports whether a first part is one that was received already, as when a request was repeated
// before the reply arrived.
func (a *Assembly) isBeyond(first Delta) bool {
	return !first.Restart && !a.got.At.IsZero() &&
		a.header.From == first.From && a.header.Digest == first.Digest && a.header.Full == first.Full
}

// finish returns the whole delta, which ends at a position, and forgets its parts.
func (a *Assembly) finish(to Position) Delta {
	whole := a.header
	whole.To, whole.Begin, whole.Next, whole.Restart = to, nil, nil, false
	whole.Changes = slices.SortedFunc(maps.Values(a.changes), byName)
	*a = Assembly{}
	return whole
}

// truncate forgets the changes to objects beyond the progress.
func (a *Assembly) truncate(to Progress) {
	for name := range a.changes {
		if !to.covers(name) {
			delete(a.changes, name)
		}
	}
	a.got = to
}
