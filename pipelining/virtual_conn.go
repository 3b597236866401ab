package pipelining

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// virtualConn is a connection to the server that carries a single request, which was read
// ahead. What the server writes to it goes to the client once all earlier requests have
// been answered.
type virtualConn struct {
	conn  *conn
	entry *entry
	// response is the head of the response. Only Write uses it.
	response responseHead

	mu sync.Mutex
	// head is the part of the request that the server has not read.
	head []byte
	// expired is closed when the read deadline has passed. timer closes it.
	expired chan struct{}
	timer   *time.Timer
	// writeDeadline applies once all earlier requests have been answered.
	writeDeadline time.Time
	// heldBytes is the size of the response while it waits for earlier ones.
	heldBytes int64

	closeOnce sync.Once
}

func newVirtualConn(c *conn, head []byte) *virtualConn {
	return &virtualConn{conn: c, entry: newEntry(), head: bytes.Clone(head), expired: make(chan struct{})}
}

// Read implements net.Conn. After the request it returns io.EOF if the response is written.
// Otherwise it blocks until the request is aborted, as when the client has disconnected, or
// the read deadline has passed.
func (v *virtualConn) Read(p []byte) (int, error) {
	v.mu.Lock()
	n := copy(p, v.head)
	v.head = v.head[n:]
	expired := v.expired
	v.mu.Unlock()
	if n > 0 {
		return n, nil
	}
	if v.isDone() {
		return 0, io.EOF
	}
	select {
	case <-v.entry.aborted:
		return 0, io.EOF
	case <-expired:
		return 0, os.ErrDeadlineExceeded
	}
}

// isDone reports whether the request has been answered or aborted.
func (v *virtualConn) isDone() bool {
	v.conn.mu.Lock()
	defer v.conn.mu.Unlock()
	return v.entry.done
}

// Write implements net.Conn.
func (v *virtualConn) Write(p []byte) (int, error) {
	part := v.response.add(p)
	if part.size() == 0 {
		return len(p), nil
	}
	v.addHeld(part)
	select {
	case <-v.entry.front:
	case <-v.entry.aborted:
		return 0, net.ErrClosed
	}
	v.releaseHeld()
	return v.conn.writePart(v.entry, part, p)
}

// addHeld adds a response that waits for earlier ones to the listener's held bytes. The
// part is its beginning.
func (v *virtualConn) addHeld(part responsePart) {
	select {
	case <-v.entry.front:
		return
	default:
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.heldBytes == 0 {
		v.heldBytes = max(int64(part.size()), contentLength(part.head))
		v.conn.listener.heldBytes.Add(v.heldBytes)
	}
}

// releaseHeld subtracts what addHeld has added, and applies the write deadline.
func (v *virtualConn) releaseHeld() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.heldBytes > 0 {
		v.conn.listener.heldBytes.Add(-v.heldBytes)
		v.heldBytes = 0
	}
	_ = v.conn.Conn.SetWriteDeadline(v.writeDeadline)
}

// Close implements net.Conn.
func (v *virtualConn) Close() error {
	v.closeOnce.Do(func() {
		v.mu.Lock()
		v.conn.listener.heldBytes.Add(-v.heldBytes)
		v.heldBytes = 0
		v.mu.Unlock()
		v.conn.listener.ahead.Add(-1)
		c := v.conn
		c.mu.Lock()
		defer c.mu.Unlock()
		if !v.entry.done {
			c.closeEntry(v.entry)
		}
		c.closeIfDone()
		c.interruptRead()
	})
	return nil
}

// start implements serverConn.
func (v *virtualConn) start(ctx context.Context, idempotent bool) error {
	return v.conn.awaitStart(ctx, v.entry, idempotent)
}

// clientGone implements serverConn.
func (v *virtualConn) clientGone() bool { return v.conn.clientGone() }

// handlerReturned implements serverConn.
func (v *virtualConn) handlerReturned() {
	v.conn.mu.Lock()
	defer v.conn.mu.Unlock()
	v.entry.handled = true
}

// responseWritten implements serverConn.
func (v *virtualConn) responseWritten() {
	v.conn.mu.Lock()
	defer v.conn.mu.Unlock()
	if !v.entry.done {
		v.conn.finishEntry(v.entry)
	}
}

// SetReadDeadline implements net.Conn.
func (v *virtualConn) SetReadDeadline(t time.Time) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.timer != nil {
		v.timer.Stop()
		v.timer = nil
	}
	expired := make(chan struct{})
	switch left := time.Until(t); {
	case t.IsZero():
	case left <= 0:
		closeIfOpen(v.expired)
		return nil
	default:
		v.timer = time.AfterFunc(left, func() {
			v.mu.Lock()
			defer v.mu.Unlock()
			closeIfOpen(expired)
		})
	}
	v.expired = expired
	return nil
}

// closeIfOpen closes a channel unless it is closed already.
func closeIfOpen(ch chan struct{}) {
	select {
	case <-ch:
	default:
		close(ch)
	}
}

// SetWriteDeadline implements net.Conn.
func (v *virtualConn) SetWriteDeadline(t time.Time) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.writeDeadline = t
	select {
	case <-v.entry.front:
		return v.conn.Conn.SetWriteDeadline(t)
	default:
		return nil
	}
}

// SetDeadline implements net.Conn.
func (v *virtualConn) SetDeadline(t time.Time) error {
	_ = v.SetReadDeadline(t)
	return v.SetWriteDeadline(t)
}

// LocalAddr implements net.Conn.
func (v *virtualConn) LocalAddr() net.Addr { return v.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (v *virtualConn) RemoteAddr() net.Addr { return v.conn.RemoteAddr() }
