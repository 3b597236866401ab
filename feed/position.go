package feed

import (
	"cmp"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
)

// Position is a point in the history of the store. The store numbers its changes by
// revisions. When it is restored from a backup, it loses the latest changes and continues
// to count from the revision of the backup, in a new era. A position of a later era is
// later, whatever the revisions are.
//
// The zero value precedes all history, and so does any position with revision 0.
type Position struct {
	// Era is the number of restores from a backup. It is 0 if the store does not report it.
	Era int64
	// Revision is the revision of a change within the era.
	Revision int64
}

// At returns the position of a revision in an era.
func At(era, revision int64) Position { return Position{Era: era, Revision: revision} }

// IsZero reports whether the position precedes all history.
func (p Position) IsZero() bool { return p.Revision <= 0 }

// Compare returns -1 if p is earlier than q, 0 if both are the same, and 1 if p is later.
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

// After reports whether p is later than q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// Later returns the later of two positions.
func Later(p, q Position) Position {
	if q.After(p) {
		return q
	}
	return p
}

// ErrPosition is returned for an encoded position that is malformed.
var ErrPosition = errors.New("feed: malformed position")

// positionFields is the number of values in an encoded position.
const positionFields = 2

// EncodeMsgpack implements msgpack.CustomEncoder. A position is an array of its era and
// revision.
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
