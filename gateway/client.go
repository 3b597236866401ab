package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// answerTime is how long a client may take to read its answer. One that does not read
// holds the answer's bytes in memory and a connection.
const answerTime = 30 * time.Second

// clientKey is the key of a client's connection in the context of its requests.
type clientKey struct{}

// withClient keeps a client's connection in the context of its requests.
func withClient(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, c)
}

// hasLeft tells whether the client of a request has closed or reset its connection. The
// HTTP server notices that by itself a moment after it has read the request, which is too
// late for one that had waited unread for longer than its client: without this look such a
// request is sent to a target first and cancelled then.
func hasLeft(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	limited, ok := r.Context().Value(clientKey{}).(limitedConn)
	if !ok {
		return false
	}
	c, ok := limited.Conn.(syscall.Conn)
	return ok && isClosed(c)
}

// isClosed tells whether the other side of a connection has closed or reset it and all
// that it sent before is read. It reads nothing, and may be called beside a read.
func isClosed(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	// Control does not wait for a read that is under way, as Read would.
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = err == nil && n == 0 || err != nil && err != unix.EAGAIN && err != unix.EINTR
	})
	return err != nil || closed
}
