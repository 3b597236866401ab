package fleet

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/rainford/rainford/internal/mix"
)

// Member is one instance. Its name outlives its processes.
type Member struct {
	Name   string `msgpack:"n" json:"name"`
	Hall   string `msgpack:"h" json:"hall"`
	Region string `msgpack:"r" json:"region"`
	// FrontAddr takes requests of clients.
	FrontAddr string `msgpack:"f" json:"front_addr"`
	// PeerAddr takes messages of other instances.
	PeerAddr string `msgpack:"p" json:"peer_addr"`
}

// ID is a short form of a member's name in messages.
type ID uint32

// IDOf returns the ID of a name.
func IDOf(name string) ID { return ID(mix.Hash(name) >> 32) }

// Number orders the heartbeats of a member over all its processes.
type Number uint32

// numberUnit is the time between two numbers. A process begins with the number of
// its start and counts one for each heartbeat, of which there are fewer, so that a
// later process begins above the last heartbeat of an earlier one. The numbers last
// for 13 years from numberEpoch.
const numberUnit = 100 * time.Millisecond

var numberEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// NumberAt returns the first number of a process that starts at a time.
func NumberAt(start time.Time) Number { return Number(start.Sub(numberEpoch) / numberUnit) }

// Beat is the latest heartbeat that is known of a member. It is passed on often, so it
// is small.
type Beat struct {
	Member ID
	Number Number
	Flags  Flags
}

// Beats are heartbeats as a message carries them.
type Beats []Beat

// beatBytes is the length of a beat in a message: member, number, flags.
const beatBytes = 4 + 4 + 1

// ErrBeats is returned for beats that are cut short.
var ErrBeats = errors.New("fleet: beats cut short")

// EncodeMsgpack implements msgpack.CustomEncoder: one string of bytes.
func (b Beats) EncodeMsgpack(enc *msgpack.Encoder) error {
	raw := make([]byte, 0, len(b)*beatBytes)
	for _, beat := range b {
		raw = binary.BigEndian.AppendUint32(raw, uint32(beat.Member))
		raw = binary.BigEndian.AppendUint32(raw, uint32(beat.Number))
		raw = append(raw, uint8(beat.Flags))
	}
	return enc.EncodeBytes(raw)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (b *Beats) DecodeMsgpack(dec *msgpack.Decoder) error {
	raw, err := dec.DecodeBytes()
	if err != nil {
		return err
	}
	if len(raw)%beatBytes != 0 {
		return ErrBeats
	}
	*b = make(Beats, 0, len(raw)/beatBytes)
	for ; len(raw) > 0; raw = raw[beatBytes:] {
		*b = append(*b, Beat{
			Member: ID(binary.BigEndian.Uint32(raw)),
			Number: Number(binary.BigEndian.Uint32(raw[4:])),
			Flags:  Flags(raw[8]),
		})
	}
	return nil
}

// Flags are what a process says of itself.
type Flags uint8

// The flags.
const (
	// Ready processes have a configuration and take requests.
	Ready Flags = 1 << iota
	// Leaving processes have begun their planned stop.
	Leaving
	// Deaf processes do not reach the store.
	Deaf
	// Watching processes watch the store now.
	Watching
)

// State is the state of a member in a view.
type State string

// The states.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Gone    State = "leaving"
)

// Status is a member as a view knows it.
type Status struct {
	Member
	State State
	Flags Flags
}

// Serves tells whether clients should be sent to the member.
func (s Status) Serves() bool { return s.State == Alive && s.Flags&Ready != 0 }
