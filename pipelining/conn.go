package pipelining

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rainford/rainford/internal/sockopt"
)

const (
	// maxReadAhead bounds the bytes that are read ahead on a connection and belong to no
	// running request.
	maxReadAhead = 32 << 10
	// chunkBytes is the number of bytes that are read ahead at a time, about the size of a
	// head. Each connection has a buffer of this size, which is small since most
	// connections have nothing to read ahead.
	chunkBytes = 512
	// hangUpPollInterval is how often a connection is checked for its end while no more is
	// read ahead.
	hangUpPollInterval = 100 * time.Millisecond
)

// phase is what the next bytes on a connection belong to.
type phase int

const (
	// inHead: a head that has not arrived completely, or not at all.
	inHead phase = iota
	// inBody: the body of a request whose length is known.
	inBody
	// afterRequest: the bytes after the request that is being served.
	afterRequest
	// passThrough: it is not known where requests end. All bytes are passed on as they
	// arrive.
	passThrough
	// afterPassThrough: the bytes after a request whose end was not known before. The phase
	// is passThrough again when that request has been answered.
	afterPassThrough
)

// pastDeadline is a deadline that ends a read immediately.
var pastDeadline = time.Unix(1, 0)

// conn is the connection of a client. The server reads its requests one after another,
// except those that get a virtual connection.
type conn struct {
	net.Conn
	listener *Listener

	// The server reads from one goroutine at a time, and writes from one. The fields up to mu
	// are used by these only.

	// readAhead contains the bytes that were read ahead, and chunk is the buffer to read
	// them into.
	readAhead []byte
	chunk     [chunkBytes]byte
	// head is the part of a head that has arrived if it arrives in several reads.
	head []byte
	// bodyLeft is the number of bytes of the body that have not arrived.
	bodyLeft int64
	// response is the head of the response that the server writes.
	response responseHead

	mu    sync.Mutex
	phase phase
	queue responseQueue
	// current is the entry of the request that the server has read from this connection.
	current entry
	// serving is set while there is such a request.
	serving bool
	// readErr is why nothing more can be read, or nil.
	readErr error
	// draining is set once a response closes the connection or a request ends without
	// one. No further requests are run then.
	draining bool
	// closing is set if the connection is to be closed when the response queue is empty.
	// serverClosed is set if the server has closed it, and connClosed if the connection of
	// the client is closed.
	closing, serverClosed, connClosed bool
	// reading is set during a read. interrupted is set if that read was ended because the
	// state has changed. readDeadline is the read deadline that the server has set.
	reading, interrupted bool
	readDeadline         time.Time
	wakeUp               chan struct{}
}

func newConn(c net.Conn, l *Listener) *conn {
	return &conn{Conn: c, listener: l, wakeUp: make(chan struct{}, 1)}
}

// Read implements net.Conn. While a request is served, the server reads one byte ahead to
// notice that the client disconnects. Read then reads all requests that can run ahead and
// dispatches them, and returns no bytes.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if c.serverClosed || c.connClosed {
			return 0, net.ErrClosed
		}
		if c.readErr != nil {
			return 0, c.readErr
		}
		if isPast(c.readDeadline) {
			return 0, os.ErrDeadlineExceeded
		}
		if c.mustReadAhead() {
			c.dispatchAhead()
			if err := c.readMore(); err != nil {
				return 0, err
			}
			continue
		}
		if len(c.readAhead) > 0 {
			n := copy(p, c.readAhead)
			n = c.consume(c.readAhead[:n])
			c.readAhead = c.readAhead[n:]
			return n, nil
		}
		n, err := c.readInto(p)
		if n > 0 {
			passed := c.consume(p[:n])
			c.readAhead = append(c.readAhead, p[passed:n]...)
			return passed, nil
		}
		if err != nil {
			return 0, err
		}
	}
}

// mustReadAhead reports whether the server should get no more bytes for now, because it
// serves a request or because requests that were read ahead have not been answered. The
// caller holds mu.
func (c *conn) mustReadAhead() bool {
	if c.phase == afterRequest || c.phase == afterPassThrough {
		return true
	}
	return c.phase == inHead && len(c.queue.entries) > 0
}

// readInto reads from the client. The caller holds mu, which is released during the read.
// If the read is interrupted, readInto returns neither bytes nor an error.
func (c *conn) readInto(p []byte) (int, error) {
	c.reading = true
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.reading = false
	if c.interrupted {
		c.interrupted = false
		c.restoreDeadline()
		if errors.Is(err, os.ErrDeadlineExceeded) && !isPast(c.readDeadline) {
			return n, nil
		}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.fail(err)
	}
	return n, err
}

// isPast reports whether t is a deadline that ends reads immediately.
func isPast(t time.Time) bool { return !t.IsZero() && !t.After(pastDeadline) }

// readMore waits until more bytes arrive or a response is finished. If maxReadAhead bytes
// are read ahead, it calls pollHangUp instead. The caller holds mu.
func (c *conn) readMore() error {
	if len(c.readAhead) >= maxReadAhead {
		return c.pollHangUp()
	}
	if !c.serving && !c.readDeadline.IsZero() {
		// The idle timeout of the connection starts with the last response.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	n, err := c.readInto(c.chunk[:])
	c.readAhead = append(c.readAhead, c.chunk[:n]...)
	if !c.mustReadAhead() {
		c.restoreDeadline()
	}
	return err
}

// pollHangUp waits for at most hangUpPollInterval without reading, and checks whether the client
// has disconnected. The caller holds mu.
func (c *conn) pollHangUp() error {
	c.mu.Unlock()
	timer := time.NewTimer(hangUpPollInterval)
	select {
	case <-timer.C:
	case <-c.wakeUp:
	}
	timer.Stop()
	hungUp := sockopt.HungUp(c.Conn)
	c.mu.Lock()
	if hungUp {
		c.fail(net.ErrClosed)
		return c.readErr
	}
	return nil
}

// fail records that nothing more can be read, and aborts all requests. The caller holds mu.
func (c *conn) fail(err error) {
	c.readErr = err
	c.queue.abortAll()
}

// consume returns how many of the bytes that have arrived the server gets now, and updates
// the phase accordingly. The caller holds mu.
func (c *conn) consume(data []byte) int {
	switch c.phase {
	case inBody:
		n := int(min(int64(len(data)), c.bodyLeft))
		c.bodyLeft -= int64(n)
		if c.bodyLeft == 0 {
			c.phase = afterRequest
		}
		return n
	case inHead:
		return c.consumeHead(data)
	default:
		return len(data)
	}
}

// consumeHead is consume for bytes of a head. The caller holds mu.
func (c *conn) consumeHead(data []byte) int {
	whole := data
	if len(c.head) > 0 {
		c.head = append(c.head, data...)
		whole = c.head
	}
	length := headLength(whole)
	if length == 0 {
		if len(c.head) == 0 {
			c.head = append(c.head, data...)
		}
		if len(c.head) > maxHeadBytes {
			c.beginRequest(passThrough, false)
		}
		return len(data)
	}
	kind, body := classify(whole[:length])
	inData := length - (len(whole) - len(data))
	switch kind {
	case plain:
		c.beginRequest(afterRequest, true)
		return inData
	case sized:
		c.beginRequest(inBody, false)
		c.bodyLeft = body
		return inData + c.consume(data[inData:])
	default:
		c.beginRequest(passThrough, false)
		return len(data)
	}
}

// beginRequest records that the server has the head of a request, and whether other
// requests may run concurrently with it. The caller holds mu.
func (c *conn) beginRequest(next phase, others bool) {
	c.phase, c.head = next, nil
	c.current = entry{exclusive: !others}
	c.serving = true
	c.queue.push(&c.current)
}

// dispatchAhead dispatches the plain requests that were read ahead to the server. The
// caller holds mu.
func (c *conn) dispatchAhead() {
	for c.phase == afterRequest || c.phase == inHead {
		length := headLength(c.readAhead)
		if length == 0 || c.draining || len(c.queue.entries) >= c.listener.limits.PerConn {
			return
		}
		if c.serving && (c.current.exclusive || c.current.started && !c.current.idempotent) {
			return
		}
		kind, _ := classify(c.readAhead[:length])
		if kind != plain {
			return
		}
		l := newVirtualConn(c, c.readAhead[:length])
		if !c.listener.dispatch(l) {
			return
		}
		c.queue.push(l.entry)
		c.readAhead = c.readAhead[length:]
	}
}

// start implements serverConn.
func (c *conn) start(ctx context.Context, idempotent bool) error {
	c.mu.Lock()
	if c.phase == passThrough {
		c.phase = afterPassThrough
		c.interruptRead()
	}
	c.mu.Unlock()
	return c.awaitStart(ctx, &c.current, idempotent)
}

// awaitStart waits until the request of an entry may run.
func (c *conn) awaitStart(ctx context.Context, e *entry, idempotent bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.started, e.idempotent = true, idempotent
	c.queue.notify()
	for !c.queue.mayRun(e) {
		changed := c.queue.changes()
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		c.mu.Lock()
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
	return nil
}

// clientGone implements serverConn.
func (c *conn) clientGone() bool {
	c.mu.Lock()
	gone := c.readErr
	c.mu.Unlock()
	return gone != nil || sockopt.PeerClosed(c.Conn)
}

// handlerReturned implements serverConn.
func (c *conn) handlerReturned() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.handled = true
}

// responseWritten implements serverConn.
func (c *conn) responseWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
	c.response = responseHead{}
	c.queue.finish(&c.current)
	switch c.phase {
	case afterRequest:
		c.phase = inHead
	case afterPassThrough, inBody:
		c.phase = passThrough
	}
	c.closeIfDone()
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if isPast(t) {
		c.interruptPoll()
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	err := c.SetReadDeadline(t)
	if err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// restoreDeadline sets the read deadline to the one that the server has set. The caller
// holds mu.
func (c *conn) restoreDeadline() {
	if !isPast(c.readDeadline) {
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// interruptRead ends a read or poll in progress, so that its goroutine checks the state
// again. The caller holds mu.
func (c *conn) interruptRead() {
	if c.reading && !c.interrupted {
		c.interrupted = true
		_ = c.Conn.SetReadDeadline(pastDeadline)
	}
	c.interruptPoll()
}

// interruptPoll ends a pollHangUp in progress.
func (c *conn) interruptPoll() {
	select {
	case c.wakeUp <- struct{}{}:
	default:
	}
}
