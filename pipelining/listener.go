package pipelining

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rainford/rainford/internal/listen"
)

// Limits bound what is read and run ahead.
type Limits struct {
	// PerConn is the maximum number of requests of one connection that run concurrently,
	// including the first one. Total is the maximum for all connections, excluding the
	// first one of each.
	PerConn, Total int
	// HeldBytes is the total size in bytes of buffered responses above which no more
	// requests are run ahead. The responses of requests that are already running may exceed
	// it.
	HeldBytes int64
}

// Listener accepts connections whose clients may pipeline requests.
type Listener struct {
	inner  net.Listener
	limits Limits

	// conns contains the connections that Accept returns: those of clients and virtual
	// connections.
	conns chan net.Conn

	// mu guards the fields below, up to the atomic ones.
	mu sync.Mutex
	// closed is closed when no more connections are accepted, and err says why.
	closed   chan struct{}
	isClosed bool
	err      error

	ahead     atomic.Int64
	heldBytes atomic.Int64
}

// NewListener returns a listener that passes the connections of inner to a server. It sets
// the server's ConnState and ConnContext, which must not be in use, and wraps its Handler.
func NewListener(server *http.Server, inner net.Listener, limits Limits) *Listener {
	l := &Listener{inner: listen.Retrying(inner, nil), limits: limits, conns: make(chan net.Conn, limits.Total), closed: make(chan struct{})}
	server.Handler = reportReturns(server.Handler)
	server.ConnState = connState
	server.ConnContext = withServerConn
	go l.accept()
	return l
}

// Usage returns the number of requests that run ahead, and the number of bytes of responses
// that wait for earlier ones.
func (l *Listener) Usage() (requests, held int64) { return l.ahead.Load(), l.heldBytes.Load() }

// accept accepts connections of clients until the listener is closed, whatever errors come
// before.
func (l *Listener) accept() {
	for {
		c, err := l.inner.Accept()
		if err != nil {
			l.closeWith(err)
			return
		}
		select {
		case l.conns <- newConn(c, l):
		case <-l.closed:
			_ = c.Close()
		}
	}
}

// Accept implements net.Listener. Virtual connections that were dispatched before the
// listener was closed are still accepted, since their requests have been taken from their
// connections.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
	}
	select {
	case c := <-l.conns:
		return c, nil
	default:
		return nil, l.err
	}
}

// closeWith closes the listener with the error that Accept returns.
func (l *Listener) closeWith(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		return
	}
	l.isClosed, l.err = true, err
	close(l.closed)
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeWith(net.ErrClosed)
	return l.inner.Close()
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.inner.Addr() }

// dispatch passes a virtual connection to the server. It returns false if there are too
// many, if the buffered responses are too large, or if the server accepts no more
// connections.
func (l *Listener) dispatch(c *virtualConn) bool {
	if l.heldBytes.Load() > l.limits.HeldBytes || l.ahead.Load() >= int64(l.limits.Total) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		return false
	}
	select {
	case l.conns <- c:
		l.ahead.Add(1)
		return true
	default:
		return false
	}
}

// serverConn is a connection as the server sees it: that of a client, or a virtual
// connection.
type serverConn interface {
	net.Conn
	// start waits until the request that is being served may run.
	start(ctx context.Context, idempotent bool) error
	// clientGone reports whether the client has closed or reset its connection.
	clientGone() bool
	// handlerReturned records that the handler of the request has returned.
	handlerReturned()
	// responseWritten records that the response is written.
	responseWritten()
}

type connKey struct{}

func withServerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func serverConnOf(ctx context.Context) (serverConn, bool) {
	c, ok := ctx.Value(connKey{}).(serverConn)
	return c, ok
}

func connState(c net.Conn, state http.ConnState) {
	if rc, ok := c.(serverConn); ok && state == http.StateIdle {
		rc.responseWritten()
	}
}

// reportReturns wraps a handler to notify the connection when the handler has returned. A
// handler that does not answer its request panics instead.
func reportReturns(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r)
		if c, ok := serverConnOf(r.Context()); ok {
			c.handlerReturned()
		}
	})
}

// AwaitStart waits until the request of a Handler may run. That is when each
// earlier request on the connection has been answered or, if this request is idempotent and
// plain, is known by its own call of AwaitStart to be idempotent and is plain too. It must be
// called after the request's body is read. It returns an error if the context of the request
// ends while it waits.
func AwaitStart(r *http.Request, idempotent bool) error {
	c, ok := serverConnOf(r.Context())
	if !ok {
		return nil
	}
	return c.start(r.Context(), idempotent)
}

// ClientGone reports whether the client of a request has closed or reset its connection,
// even if the server has not noticed it yet.
func ClientGone(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c, ok := serverConnOf(r.Context())
	return ok && c.clientGone()
}
