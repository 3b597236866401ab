package peer

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
)

const (
	// maxDeltaBytes bounds the decompressed size of a delta that is received.
	maxDeltaBytes = 32 << 20
	// maxSentDeltaBytes bounds the size before compression of a delta that is sent. Receivers hold it
	// several times while they decode it. It has room for 13,000 objects of 300 bytes, or the largest object
	// beside a part of usual size.
	maxSentDeltaBytes = 4 << 20
)

// maxPackedBytes is the largest delta that fits into a frame after compression. The rest of the message
// takes less than deltaOverhead.
const (
	deltaOverhead  = 1 << 10
	maxPackedBytes = maxFrameBytes - deltaOverhead
)

// ErrDeltaTooLong is returned for a delta that is too long for one message. Its changes have to be sent in
// parts.
var ErrDeltaTooLong = errors.New("peer: delta is too long for a message")

// ErrDelta is returned for a delta that can't be decompressed or decoded.
var ErrDelta = errors.New("peer: malformed delta")

// Delta carries changes of a kind. The changes are compressed once, by the instance that
// has read them, and relayed unchanged.
type Delta struct {
	Kind feed.Kind `msgpack:"k"`
	// Packed is a compressed feed.Delta in msgpack. Compression pays since the entries of
	// targets resemble each other.
	Packed []byte `msgpack:"p"`
	// RemovalHold is how long the sender still holds removals after an outage of the store.
	RemovalHold time.Duration `msgpack:"l,omitempty"`
	// Relay asks the receiver to relay the delta to further members, up to and including
	// RelayUntil.
	Relay      bool     `msgpack:"r,omitempty"`
	RelayUntil fleet.ID `msgpack:"u,omitempty"`
}

// compressors and decompressors reuse the buffers of the compression, which are large.
var (
	compressors = sync.Pool{New: func() any {
		w, err := flate.NewWriter(nil, flate.BestSpeed)
		if err != nil {
			panic(err) // The level is valid.
		}
		return w
	}}
	decompressors = sync.Pool{New: func() any { return flate.NewReader(nil) }}
)

// NewDelta encodes and compresses a delta. The error wraps ErrDeltaTooLong if the delta exceeds a frame, or
// maxSentDeltaBytes.
func NewDelta(d feed.Delta) (*Delta, error) {
	var buf bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&buf)
	raw := &countingWriter{w: w}
	enc := msgpack.NewEncoder(raw)
	enc.UseCompactInts(true)
	if err := enc.Encode(&d); err != nil {
		return nil, fmt.Errorf("peer: delta of %s: %w", d.Kind, err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("peer: delta of %s: %w", d.Kind, err)
	}
	if raw.n > maxSentDeltaBytes || buf.Len() > maxPackedBytes {
		return nil, fmt.Errorf("%w: %s, %d bytes, %d compressed", ErrDeltaTooLong, d.Kind, raw.n, buf.Len())
	}
	return &Delta{Kind: d.Kind, Packed: buf.Bytes()}, nil
}

// Unpack decompresses and decodes the delta. It returns an error that wraps ErrDelta if the
// delta is malformed or of another kind than that of the message.
func (m *Delta) Unpack() (feed.Delta, error) {
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	var d feed.Delta
	if err := r.(flate.Resetter).Reset(bytes.NewReader(m.Packed), nil); err != nil {
		return d, fmt.Errorf("%w: %w", ErrDelta, err)
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxDeltaBytes))
	if err != nil {
		return d, fmt.Errorf("%w: %w", ErrDelta, err)
	}
	if isNestedTooDeeply(raw) {
		return d, fmt.Errorf("%w: nested too deeply", ErrDelta)
	}
	if err := msgpack.Unmarshal(raw, &d); err != nil {
		return d, fmt.Errorf("%w: %w", ErrDelta, err)
	}
	if d.Kind != m.Kind {
		return d, fmt.Errorf("%w: kind is %q in the delta and %q in the message", ErrDelta, d.Kind, m.Kind)
	}
	return d, nil
}

// RelayTo returns the message for the root of a branch of the broadcast tree, which relays
// it within that branch.
func (m *Delta) RelayTo(b fleet.Branch) *Delta {
	relayed := *m
	relayed.Relay, relayed.RelayUntil = true, b.Until
	return &relayed
}

// countingWriter counts the bytes written to w.
type countingWriter struct {
	w io.Writer
	n int
}

func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += n
	return n, err
}
