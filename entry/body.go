package entry

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// maxReplayBytes bounds the buffered part of a request body. The buffer allows a request that
// was refused to be sent again to another target or instance.
const maxReplayBytes = 64 << 10

// errNotReplayable is returned when a body cannot be read again from its start, or when a
// reader has been replaced by a newer one.
var errNotReplayable = errors.New("entry: body can't be sent again")

// body is the body of a request. It buffers what has been read of the source, up to
// maxReplayBytes, and can be read again from its start until more than that has been read.
type body struct {
	// length is the length of the body in bytes, or -1 if it is unknown.
	length int64
	src    io.Reader
	// reading serializes reads of src, which may block for a long time.
	reading sync.Mutex

	// mu guards the fields below and is held only briefly.
	mu        sync.Mutex
	buffered  []byte
	readBytes int
	discarded bool
	eof       bool
	err       error
	current   *bodyReader
}

func newBody(r *http.Request) *body {
	b := &body{length: r.ContentLength, src: r.Body}
	if r.Body == nil || r.Body == http.NoBody {
		b.length = 0
		b.eof = true
	}
	return b
}

// large reports whether the body may be longer than maxReplayBytes.
func (b *body) large() bool {
	return b.length < 0 || b.length > maxReplayBytes
}

// unread reports whether a part of the body has not been read.
func (b *body) unread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.eof
}

// replayable reports whether open would succeed.
func (b *body) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.discarded
}

// readError returns the error of reading the caller's body, or nil.
func (b *body) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// open returns a reader that starts at the beginning of the body. Readers that were opened
// before fail with errNotReplayable from then on. open itself returns errNotReplayable if the
// buffered part has been discarded. The reader calls onRead after each read of the source.
func (b *body) open(onRead func()) (io.ReadCloser, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.discarded {
		return nil, errNotReplayable
	}
	b.current = &bodyReader{body: b, onRead: onRead}
	return b.current, nil
}

// bodyReader reads a body once from its start.
type bodyReader struct {
	body   *body
	onRead func()
	off    int
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	n, err, done := r.readBuffered(p)
	if done {
		return n, err
	}
	b := r.body
	b.reading.Lock()
	defer b.reading.Unlock()
	// An earlier reader may have read from the source in the meantime.
	n, err, done = r.readBuffered(p)
	if done {
		return n, err
	}
	n, err = b.src.Read(p)
	b.record(p[:n], err)
	r.off += n
	r.onRead()
	return n, err
}

// readBuffered handles reads that need no read of the source, such as reads from the buffer. It
// returns done == false if the source has to be read.
func (r *bodyReader) readBuffered(p []byte) (n int, err error, done bool) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.current != r || b.discarded && r.off < b.readBytes:
		return 0, errNotReplayable, true
	case r.off < b.readBytes:
		n = copy(p, b.buffered[r.off:])
		r.off += n
		return n, nil, true
	case b.eof:
		return 0, io.EOF, true
	case b.err != nil:
		return 0, b.err, true
	}
	return 0, nil, false
}

// record updates the body with the result of a read of the source.
func (b *body) record(p []byte, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readBytes += len(p)
	if b.readBytes > maxReplayBytes {
		b.discarded = true
		b.buffered = nil
	} else {
		b.buffered = append(b.buffered, p...)
	}
	switch {
	case errors.Is(err, io.EOF):
		b.eof = true
	case err != nil:
		b.err = err
	}
}

// rest returns a reader of what has not been read of the source. Readers that were opened before fail from
// then on.
func (b *body) rest() io.Reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.discarded, b.buffered, b.current = true, nil, nil
	return restReader{b}
}

// restReader reads the source of a body.
type restReader struct{ body *body }

// Read implements io.Reader.
func (r restReader) Read(p []byte) (int, error) {
	r.body.reading.Lock()
	defer r.body.reading.Unlock()
	return r.body.src.Read(p)
}

// Close implements io.Closer. It does not close the caller's body, which another attempt may
// read.
func (r *bodyReader) Close() error { return nil }
