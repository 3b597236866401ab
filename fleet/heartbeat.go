package fleet

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/rainford/rainford/internal/mix"
)

// ID is a short form of a member's name in messages.
type ID uint32

// IDOf returns the ID of a name.
func IDOf(name string) ID { return ID(mix.Hash(name) >> 32) }

// Sequence orders the heartbeats of a member over all its processes. It follows the time
// of day, so that the numbers of a fleet lie close together, and rises with each
// heartbeat whatever the clock does.
type Sequence uint32

// sequenceInterval is the time between two numbers: that between two heartbeats. The numbers
// last for 68 years from numberEpoch.
const sequenceInterval = RoundTime

var sequenceEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// SequenceAt returns the number that belongs to a time.
func SequenceAt(at time.Time) Sequence { return Sequence(at.Sub(sequenceEpoch) / sequenceInterval) }

// Heartbeat is the latest heartbeat that is known of a member. It is passed on often, so it
// is small.
type Heartbeat struct {
	Member   ID
	Sequence Sequence
	Flags    Flags
}

// Heartbeats are heartbeats as a message carries them.
type Heartbeats []Heartbeat

// ErrTruncated is returned for beats that are cut short.
var ErrTruncated = errors.New("fleet: beats cut short")

const (
	// idBytes is the length of an ID in a message.
	idBytes = 4
	// flagBits is the number of bits that flags take.
	flagBits = 4
	flagMask = 1<<flagBits - 1
	// maxSequence is the highest number.
	maxSequence = 1<<32 - 1
)

// EncodeMsgpack implements msgpack.CustomEncoder: one string of bytes. A beat is its
// member's ID and one integer, the difference of its number to that of the beat before
// it and the flags. Members that are alive have about the same number, so that the
// integer is of one byte.
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
