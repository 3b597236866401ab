package fleet

import (
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/rainford/rainford/internal/mix"
)

// ID identifies a member in messages. It is a hash of the member's name.
type ID uint32

// IDOf returns the ID of a name.
func IDOf(name string) ID { return ID(mix.Hash(name) >> 32) }

// Sequence numbers the heartbeats of a member, across restarts of its process. It follows the time
// of day, so that the numbers of all members are close to each other, and rises with each heartbeat
// even if the clock is set back.
type Sequence uint32

// sequenceInterval is the time between two sequence numbers, which is that between two heartbeats.
// At this interval the numbers last for 68 years from sequenceEpoch.
const sequenceInterval = RoundTime

var sequenceEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// SequenceAt returns the sequence number of a time.
func SequenceAt(at time.Time) Sequence { return Sequence(at.Sub(sequenceEpoch) / sequenceInterval) }

// Heartbeat is the latest known heartbeat of a member. It is kept small, since it is gossiped
// often.
type Heartbeat struct {
	Member   ID
	Sequence Sequence
	Flags    Flags
}

// Heartbeats is a list of heartbeats with a compact encoding in messages.
type Heartbeats []Heartbeat

// With returns the members of the heartbeats in which a flag is set.
func (h Heartbeats) With(flag Flags) []ID {
	var out []ID
	for _, heartbeat := range h {
		if heartbeat.Flags&flag != 0 {
			out = append(out, heartbeat.Member)
		}
	}
	return out
}

// SetFlag sets a flag in the heartbeats of the given members.
func (h Heartbeats) SetFlag(flag Flags, members []ID) {
	if len(members) == 0 {
		return
	}
	for i := range h {
		if slices.Contains(members, h[i].Member) {
			h[i].Flags |= flag
		}
	}
}

// ErrTruncated is returned when an encoded list of heartbeats is truncated or contains an invalid
// number.
var ErrTruncated = errors.New("fleet: heartbeats truncated")

const (
	// idBytes is the length of an encoded ID.
	idBytes = 4
	// flagBits is the number of bits for the flags in an encoded heartbeat. Messages contain flags
	// of higher bits in lists of their own, since earlier versions read heartbeats of this form.
	flagBits = 4
	flagMask = 1<<flagBits - 1
	// maxSequence is the largest sequence number.
	maxSequence = 1<<32 - 1
)

// EncodeMsgpack implements msgpack.CustomEncoder. The encoding is one byte string. Each heartbeat
// takes the ID of its member and one integer, which combines the flags and the difference of the
// sequence number to that of the heartbeat before. The numbers of living members hardly differ, so
// that the integer takes one byte.
func (h Heartbeats) EncodeMsgpack(enc *msgpack.Encoder) error {
	raw := make([]byte, 0, len(h)*(idBytes+1)+binary.MaxVarintLen64)
	previous := Sequence(0)
	for _, heartbeat := range h {
		raw = binary.BigEndian.AppendUint32(raw, uint32(heartbeat.Member))
		difference := int64(heartbeat.Sequence) - int64(previous)
		raw = binary.AppendVarint(raw, difference<<flagBits|int64(heartbeat.Flags&flagMask))
		previous = heartbeat.Sequence
	}
	return enc.EncodeBytes(raw)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (h *Heartbeats) DecodeMsgpack(dec *msgpack.Decoder) error {
	raw, err := dec.DecodeBytes()
	if err != nil {
		return err
	}
	*h = make(Heartbeats, 0, len(raw)/(idBytes+1))
	previous := int64(0)
	for len(raw) > 0 {
		if len(raw) <= idBytes {
			return ErrTruncated
		}
		member := ID(binary.BigEndian.Uint32(raw))
		packed, n := binary.Varint(raw[idBytes:])
		previous += packed >> flagBits
		if n <= 0 || previous < 0 || previous > maxSequence {
			return ErrTruncated
		}
		*h = append(*h, Heartbeat{Member: member, Sequence: Sequence(previous), Flags: Flags(packed & flagMask)})
		raw = raw[idBytes+n:]
	}
	return nil
}
