package gateway

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/rainford/rainford/catalog"
)

// The limits of the configuration may change while connections are open, but
// net/http takes its time-outs once. It is therefore given the times below, which
// no limit reaches; limitedConn recognises the deadlines that follow from them and
// puts in their place what the configuration says at that moment.
const (
	headerTimeoutMarker = 24 * time.Hour
	idleTimeoutMarker   = 48 * time.Hour
	markerTolerance     = time.Hour

	// defaultHeaderTimeout and defaultIdleTimeout hold where the configuration
	// says nothing.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// idleSlack is what a connection may rest longer than the limit, so that
	// a client that takes it up at the last moment is not cut.
	idleSlack = time.Second
)

// limits returns the limits in force.
func (g *Gateway) limits() catalog.Limits {
	if r := g.router.Load(); r != nil {
		return r.Config().Limits
	}
	return catalog.Limits{}
}

// limitedListener accepts connections that keep the limits of the configuration.
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

// CloseWrite ends what is sent to the client, and goes on receiving.
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

// deadlineFor replaces a deadline that stands for one of the limits.
func (g *Gateway) deadlineFor(now, t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	left := t.Sub(now)
	switch {
	case isNear(left, headerTimeoutMarker):
		return now.Add(orDefault(g.limits().HeaderTimeout, defaultHeaderTimeout))
	case isNear(left, idleTimeoutMarker):
		return now.Add(orDefault(g.limits().IdleTimeout, defaultIdleTimeout) + idleSlack)
	default:
		return t
	}
}

func isNear(left, around time.Duration) bool {
	return left > around-markerTolerance && left < around+markerTolerance
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// headerBytes returns the size of a request's head, as far as it is known here.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}
