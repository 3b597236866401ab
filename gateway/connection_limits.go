package gateway

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/rainford/rainford/catalog"
)

// The configured timeouts may change while connections are open, but net/http reads its timeouts
// only once. The server is therefore configured with the marker timeouts below, which are longer
// than any configured timeout. limitedConn recognizes the deadlines that result from them and
// replaces each by the timeout that is configured at that moment.
const (
	headerTimeoutMarker = 24 * time.Hour
	idleTimeoutMarker   = 48 * time.Hour
	markerTolerance     = time.Hour

	// defaultHeaderTimeout and defaultIdleTimeout apply if the configuration sets no timeout.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// idleSlack is added to the idle timeout, so that a connection is not closed while a client
	// starts to reuse it at the last moment.
	idleSlack = time.Second
)

// limits returns the limits of the current configuration.
func (g *Gateway) limits() catalog.Limits {
	if r := g.router.Load(); r != nil {
		return r.Config().Limits
	}
	return catalog.Limits{}
}

// limitedListener accepts connections that apply the configured timeouts.
type limitedListener struct {
	net.Listener
	gateway *Gateway
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return limitedConn{Conn: c, gateway: l.gateway}, nil
}

type limitedConn struct {
	net.Conn
	gateway *Gateway
}

// SyscallConn implements syscall.Conn.
func (c limitedConn) SyscallConn() (syscall.RawConn, error) {
	described, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return described.SyscallConn()
}

// CloseWrite closes the write side of the connection. Reading from it remains possible.
func (c limitedConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// SetReadDeadline implements net.Conn.
func (c limitedConn) SetReadDeadline(t time.Time) error {
	return c.Conn.SetReadDeadline(c.gateway.deadlineFor(time.Now(), t))
}

// deadlineFor returns the configured deadline in place of a marker deadline, and any other deadline
// unchanged.
func (g *Gateway) deadlineFor(now, t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	remaining := t.Sub(now)
	switch {
	case isNear(remaining, headerTimeoutMarker):
		return now.Add(orDefault(g.limits().HeaderTimeout, defaultHeaderTimeout))
	case isNear(remaining, idleTimeoutMarker):
		return now.Add(orDefault(g.limits().IdleTimeout, defaultIdleTimeout) + idleSlack)
	default:
		return t
	}
}

func isNear(remaining, around time.Duration) bool {
	return remaining > around-markerTolerance && remaining < around+markerTolerance
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// headerBytes returns the size of a request's header, as far as it can be derived from the parsed
// request.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}
