package peer

import (
	"crypto/subtle"
	"errors"
	"net"
	"net/http"
	"sync"
)

// HeaderSecret is the header of an HTTP request between instances that contains the secret that all
// instances share.
const HeaderSecret = "Rainford-Secret"

// Requests returns a listener for HTTP connections to the peer address. Other connections carry
// frames. They are told apart by the first byte: a frame begins with the upper byte of its length,
// which is always 0, and a request with the name of its method. Requests must be called before
// Serve. Without it, HTTP connections are rejected as malformed.
func (m *Mesh) Requests() net.Listener {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.requests == nil {
		m.requests = &requestListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	}
	return m.requests
}

// SetSecret sets the secret in the header of a request to another instance.
func (m *Mesh) SetSecret(h http.Header) { h.Set(HeaderSecret, m.secret) }

// HasSecret reports whether a request comes from an instance that knows the shared secret.
func (m *Mesh) HasSecret(h http.Header) bool {
	values := h[HeaderSecret]
	return len(values) == 1 && subtle.ConstantTimeCompare([]byte(values[0]), []byte(m.secret)) == 1
}

// isRequest reports whether the first byte of a connection is that of an HTTP request.
func isRequest(first byte) bool { return first >= 'A' && first <= 'Z' }

// requestListener passes on the connections that carry HTTP requests. It implements net.Listener.
type requestListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

// pass hands a connection to Accept. It returns false if the listener is closed.
func (l *requestListener) pass(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	case <-l.closed:
		return false
	}
}

// Accept implements net.Listener.
func (l *requestListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It does not close the listener of the mesh.
func (l *requestListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *requestListener) Addr() net.Addr { return requestAddr{} }

type requestAddr struct{}

func (requestAddr) Network() string { return "tcp" }
func (requestAddr) String() string  { return "peer" }

// startedConn is a connection of which the first byte has been read.
type startedConn struct {
	net.Conn
	first []byte
}

// Read implements net.Conn.
func (c *startedConn) Read(p []byte) (int, error) {
	if len(c.first) > 0 && len(p) > 0 {
		n := copy(p, c.first)
		c.first = c.first[n:]
		return n, nil
	}
	return c.Conn.Read(p)
}

// errNoRequests is the reason for which an HTTP connection is rejected.
var errNoRequests = errors.New("HTTP requests are not accepted")
