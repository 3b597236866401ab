package pipelining

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Limits bound what is read and run ahead.
type Limits struct {
	// PerConn is the number of requests of one connection that run side by side, the first one
	// included, and Total that of all connections, the first one of each not included.
	PerConn, Total int
	// HeldBytes is the number of bytes of answers that may wait for their turn, over all connections,
	// beyond which no more requests are run ahead. Answers of requests that run already may
	// exceed it.
	HeldBytes int64
}

// Listener accepts connections whose clients may send requests ahead. Serve has a server use it.
type Listener struct {
	inner  net.Listener
	limits Limits

	// conns carries what Accept returns: connections of clients, and lanes.
	conns chan net.Conn

	// mu guards what follows.
	mu sync.Mutex
	// closed is closed when no more are accepted, and failed says why.
	closed   chan struct{}
	isClosed bool
	err      error

	ahead     atomic.Int64
	heldBytes atomic.Int64
}

// NewListener returns a listener that hands the connections of another one to a server. The
// server's ConnState and ConnContext must not be set.
func NewListener(server *http.Server, inner net.Listener, limits Limits) *Listener {
	l := &Listener{inner: inner, limits: limits, conns: make(chan net.Conn, limits.Total), closed: make(chan struct{})}
	server.Handler = reportReturns(server.Handler)
	server.ConnState = connState
	server.ConnContext = withServerConn
	go l.accept()
	return l
}

// Usage returns the number of requests that run and were read ahead, and that of bytes of answers
// that wait for their turn.
func (l *Listener) Usage() (requests, held int64) { return l.ahead.Load(), l.heldBytes.Load() }

// accept takes connections of clients until the listener is closed.
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

// Accept implements net.Listener. Lanes that were handed over before the end are accepted: their
// requests have been taken from their connections.
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

// closeWith ends the listener.
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

// dispatch gives a lane to the server. It reports false if there are too many, if answers that wait
// for their turn take too much memory, or if the server takes no more connections.
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

// serverConn is a connection as the server sees it: that of a client, or a lane.
type serverConn interface {
	net.Conn
	// start waits until the request that is served may run.
	start(ctx context.Context, idempotent bool) error
	// clientGone tells whether the client has closed or reset its connection.
	clientGone() bool
	// handlerReturned takes in that the handler of the request has returned.
	handlerReturned()
	// responseWritten takes in that the answer is written.
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

// reportReturns has connections know which requests have been answered: the handler of one that
// has not does not return, but panics.
func reportReturns(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r)
		if c, ok := serverConnOf(r.Context()); ok {
			c.handlerReturned()
		}
	})
}

// AwaitStart waits until a request that a Handler serves may run: at once if it may be repeated and
// all those ahead of it on its connection may be too, else when those have been answered. It has
// to be called once the request's body is read. It fails when the request's client has left.
func AwaitStart(r *http.Request, idempotent bool) error {
	c, ok := serverConnOf(r.Context())
	if !ok {
		return nil
	}
	return c.start(r.Context(), idempotent)
}

// ClientGone tells whether the client of a request has closed or reset its connection, also if the
// server has not noticed it yet.
func ClientGone(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c, ok := serverConnOf(r.Context())
	return ok && c.clientGone()
}
