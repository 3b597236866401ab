package feed

import (
	"cmp"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
)

// Position is a point in the history of the store. The store counts its changes by revisions. When
// it comes back from a copy it has lost the latest of them, and goes on to count from the copy's: it
// is in a new era. A position of a later era is later, whatever the revisions are.
//
// The zero value stands before all history. A position at revision 0 of any era is that too.
type Position struct {
	// Era counts how often the store has come back from a copy. It is 0 where the store does not
	// tell.
	Era int64
	// Revision is that of a change, within its era.
	Revision int64
}

// At returns the position of a revision in an era.
func At(era, revision int64) Position { return Position{Era: era, Revision: revision} }

// IsZero tells whether the position stands before all history.
func (p Position) IsZero() bool { return p.Revision <= 0 }

// Compare returns -1, 0 or 1 if p is earlier than q, the same or later.
func (p Position) Compare(q Position) int {
	switch {
	case p.IsZero() || q.IsZero():
		return cmp.Compare(max(p.Revision, 0), max(q.Revision, 0))
	case p.Era != q.Era:
		return cmp.Compare(p.Era, q.Era)
	default:
		return cmp.Compare(p.Revision, q.Revision)
	}
}

// After tells whether p is later than q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// Later returns the later of two positions.
func Later(p, q Position) Position {
	if q.After(p) {
		return q
	}
	return p
}

// ErrPosition means that a position can't be read.
var ErrPosition = errors.New("feed: malformed position")

// positionFields is the number of values that encode a position.
const positionFields = 2

// EncodeMsgpack implements msgpack.CustomEncoder: an array of era and revision.
func (p Position) EncodeMsgpack(enc *msgpack.Encoder) error {
	return errors.Join(enc.EncodeArrayLen(positionFields), enc.EncodeInt(p.Era), enc.EncodeInt(p.Revision))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (p *Position) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n != positionFields {
		return ErrPosition
	}
	p.Era, err = dec.DecodeInt64()
	if err != nil {
		return err
	}
	p.Revision, err = dec.DecodeInt64()
	return err
}
