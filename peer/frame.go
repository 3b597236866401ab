package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/rainford/rainford/objectstore"
)

// Limits on a frame.
const (
	headerBytes = 4
	// maxFrameBytes holds the largest value of the platform.
	maxFrameBytes = objectstore.MaxValueBytes + 4<<10
	maxHelloBytes = 4 << 10
)

// ErrFrame means that a frame is malformed.
var ErrFrame = errors.New("peer: malformed frame")

// Encode returns the frame of a message.
func Encode(m Message) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	err := enc.Encode(m)
	if err != nil {
		return nil, fmt.Errorf("peer: encode: %w", err)
	}
	body := buf.Bytes()
	if len(body)+1 > maxFrameBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrFrame, len(body))
	}
	frame := make([]byte, headerBytes+1, headerBytes+1+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)+1))
	frame[headerBytes] = byte(m.kind())
	return append(frame, body...), nil
}

// ReadFrame reads one message. It returns io.EOF at the end of the stream and
// an error that wraps ErrFrame for a malformed frame.
func ReadFrame(r io.Reader) (Message, error) {
	return readFrame(r, maxFrameBytes)
}

func readFrame(r io.Reader, limit int) (Message, error) {
	var header [headerBytes]byte
	_, err := io.ReadFull(r, header[:])
	if err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(header[:]))
	if n < 1 || n > limit {
		return nil, fmt.Errorf("%w: %d bytes", ErrFrame, n)
	}
	// The buffer grows with what arrives, so that a length alone takes no
	// memory.
	body, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return nil, err
	}
	if len(body) < n {
		return nil, io.ErrUnexpectedEOF
	}
	m := newMessage(kind(body[0]))
	if m == nil {
		return nil, fmt.Errorf("%w: kind %d", ErrFrame, body[0])
	}
	err = msgpack.Unmarshal(body[1:], m)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return m, nil
}
