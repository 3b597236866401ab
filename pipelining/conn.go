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
	// maxUnread bounds the bytes that are read ahead on one connection and belong to no request
	// that runs yet.
	maxUnread = 32 << 10
	// readStep is the number of bytes that are read ahead at once: about a head. Each connection
	// holds as many, since most have nothing more to read ahead.
	readStep = 512
	// lookEvery is how often a connection on which no more is read ahead is looked at for its
	// end.
	lookEvery = 100 * time.Millisecond
)

// phase is what the bytes that come next on a connection are.
type phase int

const (
	// inHead: those of a head, or nothing has come yet.
	inHead phase = iota
	// inBody: those of the body of a request whose length is known.
	inBody
	// beyond: those behind the request that is served.
	beyond
	// raw: it is not known where requests end. All is passed on as it comes.
	raw
	// rawBeyond: as beyond, where it was not known before where the request ends.
	rawBeyond
)

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// conn is the connection of a client. The server reads one request after the other from it, those
// excepted that get a lane.
type conn struct {
	net.Conn
	listener *Listener

	// The server reads from one goroutine at a time. Only that one uses what follows.

	// unread are bytes that were read ahead, and step is what they are read into.
	unread []byte
	step   [readStep]byte
	// head is the part of a head that has come, if it comes in pieces.
	head []byte
	// bodyLeft is what has not come of the body, in bytes.
	bodyLeft int64

	mu    sync.Mutex
	phase phase
	turns turns
	// own is the turn of the request that the server has read from this connection.
	own turn
	// serving says that there is one.
	serving bool
	// gone is why nothing more can be read, nil while it can.
	gone error
	// last says that nothing more is run ahead, as an answer says that the connection ends.
	last bool
	// closing says that the connection ends when no turn is left, closed that the server has
	// closed it besides, and ended that the client's connection was closed.
	closing, closed, ended bool
	// reading is set during a read, poked when it was ended by one for whom it has to look
	// again, and deadline is what the server has set for it.
	reading, poked bool
	deadline       time.Time
	poke           chan struct{}
}

func newConn(c net.Conn, l *Listener) *conn {
	return &conn{Conn: c, listener: l, poke: make(chan struct{}, 1)}
}

// Read implements net.Conn. While a request is served the server reads one byte ahead, to notice
// that its client leaves: then all that can run ahead is read and handed over, and nothing is
// returned.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if c.closed || c.ended {
			return 0, net.ErrClosed
		}
		if c.gone != nil {
			return 0, c.gone
		}
		if isPast(c.deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		if c.readsAhead() {
			c.openLanes()
			if err := c.readAhead(); err != nil {
				return 0, err
			}
			continue
		}
		if len(c.unread) > 0 {
			n := copy(p, c.unread)
			n = c.pass(c.unread[:n])
			c.unread = c.unread[n:]
			return n, nil
		}
		n, err := c.readInto(p)
		if n > 0 {
			passed := c.pass(p[:n])
			c.unread = append(c.unread, p[passed:n]...)
			return passed, nil
		}
		if err != nil {
			return 0, err
		}
	}
}

// readsAhead tells whether the server is to get nothing more for now: it serves a request, or
// others that were read ahead have not been answered. The caller holds mu.
func (c *conn) readsAhead() bool {
	if c.phase == beyond || c.phase == rawBeyond {
		return true
	}
	return c.phase == inHead && len(c.turns.waiting) > 0
}

// readInto reads from the client while mu, which the caller holds, is released. It returns neither
// bytes nor an error if it was poked.
func (c *conn) readInto(p []byte) (int, error) {
	c.reading = true
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.reading = false
	if c.poked {
		c.poked = false
		c.restoreDeadline()
		if errors.Is(err, os.ErrDeadlineExceeded) && !isPast(c.deadline) {
			return n, nil
		}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.lose(err)
	}
	return n, err
}

func isPast(t time.Time) bool { return !t.IsZero() && !t.After(longAgo) }

// readAhead waits for more bytes, or for a turn to end. The caller holds mu.
func (c *conn) readAhead() error {
	if len(c.unread) >= maxUnread {
		return c.look()
	}
	if !c.serving && !c.deadline.IsZero() {
		// The time for which a connection may rest begins with the last answer.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	n, err := c.readInto(c.step[:])
	c.unread = append(c.unread, c.step[:n]...)
	if !c.readsAhead() {
		c.restoreDeadline()
	}
	return err
}

// look waits for a moment without reading, and finds out whether the client has left. The caller
// holds mu.
func (c *conn) look() error {
	c.mu.Unlock()
	timer := time.NewTimer(lookEvery)
	select {
	case <-timer.C:
	case <-c.poke:
	}
	timer.Stop()
	hungUp := sockopt.HungUp(c.Conn)
	c.mu.Lock()
	if hungUp {
		c.lose(net.ErrClosed)
		return c.gone
	}
	return nil
}

// lose takes in that nothing more can be read. The caller holds mu.
func (c *conn) lose(err error) {
	c.gone = err
	c.turns.dropAll()
}

// pass decides how many of the bytes that have come the server gets now, and takes in where they
// lead. The caller holds mu.
func (c *conn) pass(data []byte) int {
	switch c.phase {
	case inBody:
		n := int(min(int64(len(data)), c.bodyLeft))
		c.bodyLeft -= int64(n)
		if c.bodyLeft == 0 {
			c.phase = beyond
		}
		return n
	case inHead:
		return c.passHead(data)
	default:
		return len(data)
	}
}

// passHead is pass for bytes of a head. The caller holds mu.
func (c *conn) passHead(data []byte) int {
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
		if len(c.head) > maxHead {
			c.begin(raw, false)
		}
		return len(data)
	}
	kind, body := classify(whole[:length])
	inData := length - (len(whole) - len(data))
	switch kind {
	case plain:
		c.begin(beyond, true)
		return inData
	case sized:
		c.begin(inBody, false)
		c.bodyLeft = body
		return inData + c.pass(data[inData:])
	default:
		c.begin(raw, false)
		return len(data)
	}
}

// begin takes in that the server has the head of a request, and whether others may run beside it.
// The caller holds mu.
func (c *conn) begin(next phase, others bool) {
	c.phase, c.head = next, nil
	c.own = turn{alone: !others}
	c.serving = true
	c.turns.add(&c.own)
}

// openLanes hands the plain requests that were read ahead to the server. The caller holds mu.
func (c *conn) openLanes() {
	for c.phase == beyond || c.phase == inHead {
		length := headLength(c.unread)
		if length == 0 || c.last || len(c.turns.waiting) >= c.listener.limits.PerConn {
			return
		}
		if c.serving && (c.own.alone || c.own.began && !c.own.repeatable) {
			return
		}
		kind, _ := classify(c.unread[:length])
		if kind != plain {
			return
		}
		l := newLane(c, c.unread[:length])
		if !c.listener.hand(l) {
			return
		}
		c.turns.add(l.turn)
		c.unread = c.unread[length:]
	}
}

// start implements requestConn.
func (c *conn) start(ctx context.Context, repeatable bool) error {
	c.mu.Lock()
	if c.phase == raw {
		c.phase = rawBeyond
		c.wake()
	}
	c.mu.Unlock()
	return c.await(ctx, &c.own, repeatable)
}

// await waits until the request of a turn may run.
func (c *conn) await(ctx context.Context, t *turn, repeatable bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.began, t.repeatable = true, repeatable
	c.turns.note()
	for !c.turns.mayRun(t) {
		changed := c.turns.next()
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

// hasLeft implements requestConn.
func (c *conn) hasLeft() bool {
	c.mu.Lock()
	gone := c.gone
	c.mu.Unlock()
	return gone != nil || sockopt.Closed(c.Conn)
}

// handled implements requestConn.
func (c *conn) handled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own.answered = true
}

// idle implements requestConn.
func (c *conn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
	c.turns.end(&c.own)
	switch c.phase {
	case beyond:
		c.phase = inHead
	case rawBeyond, inBody:
		c.phase = raw
	}
	c.endIfClosing()
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if isPast(t) {
		c.prod()
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

// restoreDeadline sets the deadline of reads to what the server has set last. The caller holds mu.
func (c *conn) restoreDeadline() {
	if !isPast(c.deadline) {
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// wake has the goroutine that reads look again. The caller holds mu.
func (c *conn) wake() {
	if c.reading && !c.poked {
		c.poked = true
		_ = c.Conn.SetReadDeadline(longAgo)
	}
	c.prod()
}

// prod ends a look.
func (c *conn) prod() {
	select {
	case c.poke <- struct{}{}:
	default:
	}
}
