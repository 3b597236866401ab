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

// maxDeltaBytes bounds what a delta may unpack to: a kind of 100,000 objects of 300 bytes.
const maxDeltaBytes = 32 << 20

// ErrDelta means that a delta can't be unpacked.
var ErrDelta = errors.New("peer: delta can't be unpacked")

// Delta passes changes of a kind on. The changes are packed once, by the instance that has
// read them, and passed on as they are.
type Delta struct {
	Kind feed.Kind `msgpack:"k"`
	// Packed is a feed.Delta in msgpack, compressed: entries of targets are much alike.
	Packed []byte `msgpack:"p"`
	// RemovalHold is how long the sender holds removals back after an outage of the
	// store.
	RemovalHold time.Duration `msgpack:"l,omitempty"`
	// Relay says that the receiver has to pass the delta on, up to the member Until.
	Relay      bool     `msgpack:"r,omitempty"`
	RelayUntil fleet.ID `msgpack:"u,omitempty"`
}

// compressors and decompressors keep the buffers of the compression, which are large.
var (
	compressors = sync.Pool{New: func() any {
		w, err := flate.NewWriter(nil, flate.BestSpeed)
		if err != nil {
			panic(err) // The level is a constant.
		}
		return w
	}}
	decompressors = sync.Pool{New: func() any { return flate.NewReader(nil) }}
)

// NewDelta packs a delta.
func NewDelta(d feed.Delta) (*Delta, error) {
	var buf bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&buf)
	enc := msgpack.NewEncoder(w)
	enc.UseCompactInts(true)
	if err := enc.Encode(&d); err != nil {
		return nil, fmt.Errorf("peer: delta of %s: %w", d.Kind, err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("peer: delta of %s: %w", d.Kind, err)
	}
	return &Delta{Kind: d.Kind, Packed: buf.Bytes()}, nil
}

// Unpack returns the changes. It returns an error that wraps ErrDelta if they can't be
// read or are of another kind than the message says.
func (m *Delta) Unpack() (feed.Delta, error) {
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	var d feed.Delta
	if err := r.(flate.Resetter).Reset(bytes.NewReader(m.Packed), nil); err != nil {
		return d, fmt.Errorf("%w: %w", ErrDelta, err)
	}
	if err := msgpack.NewDecoder(io.LimitReader(r, maxDeltaBytes)).Decode(&d); err != nil {
		return d, fmt.Errorf("%w: %w", ErrDelta, err)
	}
	if d.Kind != m.Kind {
		return d, fmt.Errorf("%w: of %q, not %q", ErrDelta, d.Kind, m.Kind)
	}
	return d, nil
}

// RelayTo returns the message for a branch, which has to pass it on.
func (m *Delta) RelayTo(b fleet.Branch) *Delta {
	relayed := *m
	relayed.Relay, relayed.RelayUntil = true, b.Until
	return &relayed
}
