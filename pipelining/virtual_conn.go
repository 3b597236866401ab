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

// virtualConn is a connection that holds one request, which was read ahead. What the server writes to it
// goes to the client once all requests ahead have been answered.
type virtualConn struct {
	conn  *conn
	entry *entry

	mu sync.Mutex
	// head is what has not been read of the request.
	head []byte
	// expired is closed when the deadline of reads has passed, and timer closes it.
	expired chan struct{}
	timer   *time.Timer
	// writeDeadline is the deadline of writes. It holds from the lane's turn on.
	writeDeadline time.Time
	// heldBytes is the number of bytes of the answer that wait for the lane's turn.
	heldBytes int64

	closeOnce sync.Once
}

func newVirtualConn(c *conn, head []byte) *virtualConn {
	return &virtualConn{conn: c, entry: newEntry(), head: bytes.Clone(head), expired: make(chan struct{})}
}

// Read implements net.Conn. Behind the request it waits, as the server does for a client that
// sends nothing, until the client has left or the answer is written.
func (l *virtualConn) Read(p []byte) (int, error) {
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
	case <-l.entry.aborted:
		return 0, io.EOF
	case <-expired:
		return 0, os.ErrDeadlineExceeded
	}
}

func (l *virtualConn) isDone() bool {
	l.conn.mu.Lock()
	defer l.conn.mu.Unlock()
	return l.entry.done
}

// Write implements net.Conn.
func (l *virtualConn) Write(p []byte) (int, error) {
	l.addHeld(p)
	select {
	case <-l.entry.front:
	case <-l.entry.aborted:
		return 0, net.ErrClosed
	}
	l.releaseHeld()
	return l.conn.write(l.entry, p)
}

// addHeld counts an answer as one that waits for its turn, if it does. Text is the beginning of it.
func (l *virtualConn) addHeld(text []byte) {
	select {
	case <-l.entry.front:
		return
	default:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldBytes == 0 {
		l.heldBytes = responseLength(text)
		l.conn.listener.heldBytes.Add(l.heldBytes)
	}
}

// releaseHeld takes back what hold has counted, and has the deadline of writes hold.
func (l *virtualConn) releaseHeld() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldBytes > 0 {
		l.conn.listener.heldBytes.Add(-l.heldBytes)
		l.heldBytes = 0
	}
	_ = l.conn.Conn.SetWriteDeadline(l.writeDeadline)
}

var lengthField = []byte("\r\nContent-Length: ")

// responseLength returns the length in bytes that the head of an answer tells, or that of its
// beginning if it tells none.
func responseLength(text []byte) int64 {
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
func (l *virtualConn) Close() error {
	l.closeOnce.Do(func() {
		l.mu.Lock()
		l.conn.listener.heldBytes.Add(-l.heldBytes)
		l.heldBytes = 0
		l.mu.Unlock()
		l.conn.listener.ahead.Add(-1)
		c := l.conn
		c.mu.Lock()
		defer c.mu.Unlock()
		if !l.entry.done {
			c.closeEntry(l.entry)
		}
		c.closeIfDone()
		c.interruptRead()
	})
	return nil
}

// start implements requestConn.
func (l *virtualConn) start(ctx context.Context, repeatable bool) error {
	return l.conn.awaitStart(ctx, l.entry, repeatable)
}

// hasLeft implements requestConn.
func (l *virtualConn) hasLeft() bool { return l.conn.hasLeft() }

// handled implements requestConn.
func (l *virtualConn) handled() {
	l.conn.mu.Lock()
	defer l.conn.mu.Unlock()
	l.entry.handled = true
}

// idle implements requestConn.
func (l *virtualConn) idle() {
	l.conn.mu.Lock()
	defer l.conn.mu.Unlock()
	if !l.entry.done {
		l.conn.finishEntry(l.entry)
	}
}

// SetReadDeadline implements net.Conn.
func (l *virtualConn) SetReadDeadline(t time.Time) error {
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
		closeIfOpen(l.expired)
		return nil
	default:
		l.timer = time.AfterFunc(left, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			closeIfOpen(expired)
		})
	}
	l.expired = expired
	return nil
}

// closeIfOpen closes a channel that may be closed.
func closeIfOpen(ch chan struct{}) {
	select {
	case <-ch:
	default:
		close(ch)
	}
}

// SetWriteDeadline implements net.Conn.
func (l *virtualConn) SetWriteDeadline(t time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writeDeadline = t
	select {
	case <-l.entry.front:
		return l.conn.Conn.SetWriteDeadline(t)
	default:
		return nil
	}
}

// SetDeadline implements net.Conn.
func (l *virtualConn) SetDeadline(t time.Time) error {
	_ = l.SetReadDeadline(t)
	return l.SetWriteDeadline(t)
}

// LocalAddr implements net.Conn.
func (l *virtualConn) LocalAddr() net.Addr { return l.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (l *virtualConn) RemoteAddr() net.Addr { return l.conn.RemoteAddr() }
