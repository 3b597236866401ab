package peer

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// nestedField returns an unknown field of a message, nested the given number of times.
func nestedField(levels int) []byte {
	raw := []byte{0x81, 0xa1, 'Z'}
	raw = append(raw, bytes.Repeat([]byte{0x91}, levels)...)
	return append(raw, 0xc0)
}

// TestNestedMessagesAreRefused guards against an instance that dies of one message whose unknown field is nested
// millions of times.
func TestNestedMessagesAreRefused(t *testing.T) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	require.NoError(t, err)
	_, err = w.Write(nestedField(31_000_000))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	_, err = (&Delta{Kind: "targets", Packed: packed.Bytes()}).Unpack()
	require.ErrorIs(t, err, ErrDelta)
	body := append([]byte{byte((&Gossip{}).kind())}, nestedField(1_000_000)...)
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	_, err = ReadFrame(bytes.NewReader(append(frame, body...)))
	require.ErrorIs(t, err, ErrFrame)
}

// TestNestingOfValues compares the nesting of drawn values with that of their construction.
func TestNestingOfValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		levels := rapid.IntRange(0, 2*maxNesting).Draw(t, "levels")
		value := any(drawScalar(t))
		for range levels {
			before := make([]any, rapid.IntRange(0, 20).Draw(t, "before"))
			for i := range before {
				before[i] = drawScalar(t)
			}
			if rapid.Bool().Draw(t, "map") {
				value = map[string]any{"k": value, "l": before}
				continue
			}
			value = append(before, value)
		}
		raw, err := msgpack.Marshal(value)
		require.NoError(t, err)
		// A map holds an array beside the value, which is one level deeper than the map.
		switch {
		case levels > maxNesting:
			require.True(t, isNestedTooDeeply(raw))
		case levels < maxNesting:
			require.False(t, isNestedTooDeeply(raw))
		}
		isNestedTooDeeply(raw[:rapid.IntRange(0, len(raw)).Draw(t, "cut")])
	})
}

func drawScalar(t *rapid.T) any {
	return rapid.SampledFrom([]any{nil, true, 5, -7, 300, 70_000, int64(1) << 40, 1.5, float32(2), "s", string(make([]byte, 300)), string(make([]byte, 70_000)),
		make([]byte, 20), make([]byte, 40_000)}).Draw(t, "scalar")
}
