package pipelining

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"time"
)

// lane is a connection that holds one request, which was read ahead. What the server writes to it
// goes to the client once all requests ahead have been answered.
type lane struct {
	conn *conn
	turn *turn

	mu sync.Mutex
	// head is what has not been read of the request.
	head []byte
	// expired is closed when the deadline of reads has passed, and timer closes it.
	expired chan struct{}
	timer   *time.Timer
	// writeBy is the deadline of writes. It holds from the lane's turn on.
	writeBy time.Time
	// held is the number of bytes of the answer that wait for the lane's turn.
	held int64

	closing sync.Once
}

func newLane(c *conn, head []byte) *lane {
	return &lane{conn: c, turn: newTurn(), head: bytes.Clone(head), expired: make(chan struct{})}
}

// Read implements net.Conn. Behind the request it waits, as the server does for a client that
// sends nothing, until the client has left or the answer is written.
func (l *lane) Read(p []byte) (int, error) {
	l.mu.Lock()
	n := copy(p, l.head)
	l.head = l.head[n:]
	expired := l.expired
	l.mu.Unlock()
	if n > 0 {
		return n, nil
	}
	if l.isDone() {
		return 0, io.EOF
	}
	select {
	case <-l.turn.dropped:
		return 0, io.EOF
	case <-expired:
		return 0, os.ErrDeadlineExceeded
	}
}

func (l *lane) isDone() bool {
	l.conn.mu.Lock()
	defer l.conn.mu.Unlock()
	return l.turn.done
}

// Write implements net.Conn.
func (l *lane) Write(p []byte) (int, error) {
	l.hold(p)
	select {
	case <-l.turn.first:
	case <-l.turn.dropped:
		return 0, net.ErrClosed
	}
	l.release()
	return l.conn.write(l.turn, p)
}

// hold counts an answer as one that waits for its turn, if it does. Text is the beginning of it.
func (l *lane) hold(text []byte) {
	select {
	case <-l.turn.first:
		return
	default:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == 0 {
		l.held = answerLength(text)
		l.conn.listener.held.Add(l.held)
	}
}

// release takes back what hold has counted, and has the deadline of writes hold.
func (l *lane) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held > 0 {
		l.conn.listener.held.Add(-l.held)
		l.held = 0
	}
	_ = l.conn.Conn.SetWriteDeadline(l.writeBy)
}

var lengthField = []byte("\r\nContent-Length: ")

// answerLength returns the length in bytes that the head of an answer tells, or that of its
// beginning if it tells none.
func answerLength(text []byte) int64 {
	length := int64(len(text))
	_, rest, ok := bytes.Cut(text, lengthField)
	digits, _, _ := bytes.Cut(rest, []byte("\r\n"))
	n, err := strconv.ParseInt(string(digits), 10, 64)
	if !ok || err != nil {
		return length
	}
	return max(length, n)
}

// Close implements net.Conn.
func (l *lane) Close() error {
	l.closing.Do(func() {
		l.mu.Lock()
		l.conn.listener.held.Add(-l.held)
		l.held = 0
		l.mu.Unlock()
		l.conn.listener.lanes.Add(-1)
		c := l.conn
		c.mu.Lock()
		defer c.mu.Unlock()
		if !l.turn.done {
			c.closeTurn(l.turn)
		}
		c.endIfClosing()
		c.wake()
	})
	return nil
}

// start implements requestConn.
func (l *lane) start(ctx context.Context, repeatable bool) error {
	return l.conn.await(ctx, l.turn, repeatable)
}

// hasLeft implements requestConn.
func (l *lane) hasLeft() bool { return l.conn.hasLeft() }

// handled implements requestConn.
func (l *lane) handled() {
	l.conn.mu.Lock()
	defer l.conn.mu.Unlock()
	l.turn.answered = true
}

// idle implements requestConn.
func (l *lane) idle() {
	l.conn.mu.Lock()
	defer l.conn.mu.Unlock()
	if !l.turn.done {
		l.conn.endTurn(l.turn)
	}
}

// SetReadDeadline implements net.Conn.
func (l *lane) SetReadDeadline(t time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
	expired := make(chan struct{})
	switch left := time.Until(t); {
	case t.IsZero():
	case left <= 0:
		closeOnce(l.expired)
		return nil
	default:
		l.timer = time.AfterFunc(left, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			closeOnce(expired)
		})
	}
	l.expired = expired
	return nil
}

// closeOnce closes a channel that may be closed.
func closeOnce(ch chan struct{}) {
	select {
	case <-ch:
	default:
		close(ch)
	}
}

// SetWriteDeadline implements net.Conn.
func (l *lane) SetWriteDeadline(t time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writeBy = t
	select {
	case <-l.turn.first:
		return l.conn.Conn.SetWriteDeadline(t)
	default:
		return nil
	}
}

// SetDeadline implements net.Conn.
func (l *lane) SetDeadline(t time.Time) error {
	_ = l.SetReadDeadline(t)
	return l.SetWriteDeadline(t)
}

// LocalAddr implements net.Conn.
func (l *lane) LocalAddr() net.Addr { return l.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (l *lane) RemoteAddr() net.Addr { return l.conn.RemoteAddr() }
