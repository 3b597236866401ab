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

// Sizes of frames, in bytes.
const (
	headerBytes = 4
	// maxFrameBytes has room for the largest object of the platform.
	maxFrameBytes = objectstore.MaxValueBytes + 4<<10
	maxHelloBytes = 4 << 10
)

// ErrFrame is returned for a malformed frame.
var ErrFrame = errors.New("peer: malformed frame")

// Encode returns the frame of a message.
func Encode(m Message) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	err := enc.Encode(m)
	if err != nil {
		return nil, fmt.Errorf("peer: message not encoded: %w", err)
	}
	body := buf.Bytes()
	if len(body)+1 > maxFrameBytes {
		return nil, fmt.Errorf("%w: body of %d bytes is too long", ErrFrame, len(body))
	}
	frame := make([]byte, headerBytes+1, headerBytes+1+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)+1))
	frame[headerBytes] = byte(m.kind())
	return append(frame, body...), nil
}

// ReadFrame reads one message. It returns io.EOF at the end of the stream, and an error
// that wraps ErrFrame if the frame is malformed.
func ReadFrame(r io.Reader) (Message, error) {
	return readFrame(r, maxFrameBytes)
}

// readFrame is ReadFrame with a limit on the length of the frame, in bytes.
func readFrame(r io.Reader, limit int) (Message, error) {
	var header [headerBytes]byte
	_, err := io.ReadFull(r, header[:])
	if err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(header[:]))
	if n < 1 || n > limit {
		return nil, fmt.Errorf("%w: length of %d bytes is out of range", ErrFrame, n)
	}
	// The buffer grows with the received data, so that a length alone allocates no memory.
	body, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return nil, err
	}
	if len(body) < n {
		return nil, io.ErrUnexpectedEOF
	}
	m := newMessage(kind(body[0]))
	if m == nil {
		return nil, fmt.Errorf("%w: unknown kind %d", ErrFrame, body[0])
	}
	if isNestedTooDeeply(body[1:]) {
		return nil, fmt.Errorf("%w: nested too deeply", ErrFrame)
	}
	err = msgpack.Unmarshal(body[1:], m)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return m, nil
}
