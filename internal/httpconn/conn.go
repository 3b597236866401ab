package httpconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rainford/rainford/internal/sockopt"
)

// ErrBroken is the error of a read at the end of a stream that the peer has not ended. It wraps what broke the
// connection.
var ErrBroken = errors.New("httpconn: the connection broke before the end of the stream")

// errNotIdle stands for the error that a check of an idle connection may have taken from the kernel.
var errNotIdle = errors.New("httpconn: connection was not idle")

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Conn is a connection to an HTTP/1.1 server. It may be written to while it is read from.
type Conn struct {
	net.Conn
	// writing is held while bytes are written, until the error is recorded.
	writing sync.Mutex
	// broke is the first error that broke the connection, or nil.
	broke atomic.Pointer[error]
	// heads is used by reads, and by calls between two responses.
	heads headScanner
}

// New returns a Conn over a connection that has just been opened. The next bytes are those of a head. All further
// calls must go through the Conn.
func New(c net.Conn) *Conn {
	conn := &Conn{Conn: c}
	conn.heads.expect()
	return conn
}

// newWithoutHeads returns a Conn over a connection whose bytes are not those of HTTP, such as one that TLS is spoken on.
func newWithoutHeads(c net.Conn) *Conn { return &Conn{Conn: c} }

// ExpectHead states that the next bytes are those of a head. Buffered are the first ones, if the caller has read them
// already. It returns an error if they contain an invalid head.
func (c *Conn) ExpectHead(buffered []byte) error {
	c.heads.expect()
	_, err := c.heads.scan(buffered)
	return err
}

// Idle reports whether the connection is open and has no unread bytes. If not, it must not be used any more.
func (c *Conn) Idle() bool {
	idle := sockopt.Idle(c.Conn)
	if !idle {
		c.record(errNotIdle)
	}
	return idle
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.record(err)
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the peer has ended the stream. It returns an error in place of the
// last byte of an invalid head, and from then on. The bytes before are returned, so that a reader can tell this from a
// server that has sent nothing, to which net/http may send a request again.
func (c *Conn) Read(p []byte) (int, error) {
	if c.heads.err != nil {
		return 0, c.heads.err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		var headErr error
		n, headErr = c.heads.scan(p[:n])
		if headErr != nil {
			return n, headErr
		}
	}
	if err == io.EOF {
		return n, c.endOfStream()
	}
	c.record(err)
	return n, err
}

// endOfStream returns what a read returns that got no more bytes: io.EOF if the peer has ended the stream, and an error
// that wraps ErrBroken if the connection has broken. It interrupts a write in progress, whose error may be the one that
// the read can't see, and waits until that is recorded.
func (c *Conn) endOfStream() error {
	_ = c.SetWriteDeadline(longAgo)
	c.writing.Lock()
	defer c.writing.Unlock()
	broke := c.broke.Load()
	if broke == nil {
		return io.EOF
	}
	return fmt.Errorf("%w: %w", ErrBroken, *broke)
}

// record records an error of the connection, unless another one came first.
func (c *Conn) record(err error) {
	if err != nil && breaks(err) {
		broke := err
		c.broke.CompareAndSwap(nil, &broke)
	}
}

// breaks reports whether an error of a call means that the connection broke. EPIPE does not: the kernel returns it if
// the connection broke after the peer had ended the stream, or if another call has been told already.
func breaks(err error) bool {
	return !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed)
}
