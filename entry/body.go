package entry

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// maxReplayBytes is the part of a request's body that is kept, so that a request
// that was refused can be tried elsewhere.
const maxReplayBytes = 64 << 10

// errNotReplayable means that a body can't be sent a second time.
var errNotReplayable = errors.New("entry: body can't be sent again")

// body is the body of a request. It keeps what has been read of it up to
// replayBytes, and can be read again from the start as long as that is all.
type body struct {
	// length is the length of the whole, or -1.
	length int64
	src    io.Reader
	// reading is held during a read of src, which may take long.
	reading sync.Mutex

	// mu guards what follows and is held briefly.
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

// large tells whether the body may be over what is kept.
func (b *body) large() bool {
	return b.length < 0 || b.length > maxReplayBytes
}

// unread tells whether some of the body has not been read.
func (b *body) unread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.eof
}

// replayable tells whether open would succeed.
func (b *body) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.discarded
}

// readError returns the error that reading the caller's body met, if any.
func (b *body) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// open returns a reader of the whole body. Readers opened before end with
// errSpent. It fails when part of the body is gone. Touch is called whenever
// something was read.
func (b *body) open(onRead func()) (io.ReadCloser, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.discarded {
		return nil, errNotReplayable
	}
	b.current = &bodyReader{body: b, onRead: onRead}
	return b.current, nil
}

// bodyReader is one pass over a body.
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
	// A reader opened before may have read on meanwhile.
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

// readBuffered reads what needs no read of the source. Done is false when there is
// nothing of that kind.
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

// record keeps what was read of the source.
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

// Close implements io.Closer. The caller's body stays open for another try.
func (r *bodyReader) Close() error { return nil }
