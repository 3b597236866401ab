package entry

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// replayBytes is the part of a request's body that is kept, so that a request
// that was refused can be tried elsewhere.
const replayBytes = 64 << 10

// errSpent means that a body can't be sent a second time.
var errSpent = errors.New("entry: body can't be sent again")

// body is the body of a request. It keeps what has been read of it up to
// replayBytes, and can be read again from the start as long as that is all.
type body struct {
	// length is the length of the whole, or -1.
	length int64
	src    io.Reader
	// reading is held during a read of src, which may take long.
	reading sync.Mutex

	// mu guards what follows and is held briefly.
	mu     sync.Mutex
	kept   []byte
	total  int
	lost   bool
	ended  bool
	err    error
	active *bodyReader
}

func newBody(r *http.Request) *body {
	b := &body{length: r.ContentLength, src: r.Body}
	if r.Body == nil || r.Body == http.NoBody {
		b.length = 0
		b.ended = true
	}
	return b
}

// large tells whether the body may be over what is kept.
func (b *body) large() bool {
	return b.length < 0 || b.length > replayBytes
}

// unread tells whether some of the body has not been read.
func (b *body) unread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.ended
}

// replayable tells whether open would succeed.
func (b *body) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.lost
}

// failed returns the error that reading the caller's body met, if any.
func (b *body) failed() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// open returns a reader of the whole body. Readers opened before end with
// errSpent. It fails when part of the body is gone. Touch is called whenever
// something was read.
func (b *body) open(touch func()) (io.ReadCloser, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lost {
		return nil, errSpent
	}
	b.active = &bodyReader{body: b, touch: touch}
	return b.active, nil
}

// bodyReader is one pass over a body.
type bodyReader struct {
	body  *body
	touch func()
	off   int
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	n, err, done := r.readKept(p)
	if done {
		return n, err
	}
	b := r.body
	b.reading.Lock()
	defer b.reading.Unlock()
	// A reader opened before may have read on meanwhile.
	n, err, done = r.readKept(p)
	if done {
		return n, err
	}
	n, err = b.src.Read(p)
	b.record(p[:n], err)
	r.off += n
	r.touch()
	return n, err
}

// readKept reads what needs no read of the source. Done is false when there is
// nothing of that kind.
func (r *bodyReader) readKept(p []byte) (n int, err error, done bool) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.active != r || b.lost && r.off < b.total:
		return 0, errSpent, true
	case r.off < b.total:
		n = copy(p, b.kept[r.off:])
		r.off += n
		return n, nil, true
	case b.ended:
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
	b.total += len(p)
	if b.total > replayBytes {
		b.lost = true
		b.kept = nil
	} else {
		b.kept = append(b.kept, p...)
	}
	switch {
	case errors.Is(err, io.EOF):
		b.ended = true
	case err != nil:
		b.err = err
	}
}

// Close implements io.Closer. The caller's body stays open for another try.
func (r *bodyReader) Close() error { return nil }
