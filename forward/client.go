package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/upstream"
)

const (
	// maxInlineBody is the largest body, in bytes, that is written before the response is
	// read. A larger one is written concurrently: a target that responds early may stop
	// reading and block the write.
	maxInlineBody = 8 << 10
)

// Errors of an attempt.
var (
	ErrUnsigned   = errors.New("forward: success without a signature")
	ErrMismatched = errors.New("forward: only responses to other requests arrived")
	// ErrAmbiguousID is the error for a response with several request IDs, which may belong to any of these requests.
	ErrAmbiguousID = errors.New("forward: response has several request IDs")
	ErrEncoded     = errors.New("forward: response body has a content encoding")
	ErrWithheld    = errors.New("forward: target became unavailable before the request was sent")
	ErrNoIdleConn  = errors.New("forward: no open connection to the target is idle")
	ErrAbandoned   = errors.New("forward: target is not expected to respond")
)

// Codec parses what responses contain in the format of the targets.
type Codec interface {
	// ParseLoad parses the load header. It returns nil if the text is malformed.
	ParseLoad(text string) *upstream.LoadReport
	// IsReplaced reports whether a status means that the address belongs to another
	// incarnation or service now.
	IsReplaced(status int) bool
	// ParseSelfReport parses what the target reports about its own availability.
	ParseSelfReport(status int, header http.Header) availability.SelfReport
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	headers Headers
	codec   Codec
	clock   *clock.Clock
	dialer  Dialer
	idle    idlePool
	spares  sparePolicy
}

// NewClient returns a client without connections. The deadlines of its requests are times
// of the clock.
func NewClient(headers Headers, codec Codec, clock *clock.Clock) *Client {
	return &Client{headers: headers, codec: codec, clock: clock, dialer: DialTCP, idle: idlePool{clock: clock, conns: make(map[string][]*conn)},
		spares: sparePolicy{slowDial: slowDial, targets: make(map[string]*spareState)}}
}

// SetDialer replaces the way in which connections are opened. It must be called before the first
// request.
func (c *Client) SetDialer(dialer Dialer) { c.dialer = dialer }

// CloseExpired closes connections that have been idle for too long. It should be called
// periodically.
func (c *Client) CloseExpired(now time.Time) {
	c.idle.expire(now)
	c.spares.expire(now)
}

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() { c.idle.closeEverything() }

// CloseIdleTo closes the idle connections to a target.
func (c *Client) CloseIdleTo(target, addr string) { c.idle.closeAll(endpointKey(target, addr)) }

// HasIdle reports whether a connection to a target is idle.
func (c *Client) HasIdle(target, addr string) bool { return c.idle.size(endpointKey(target, addr)) > 0 }

// Do sends a request and reads the response. It stops early if ctx is canceled.
func (c *Client) Do(ctx context.Context, r *Request) Attempt {
	start := c.clock.Now()
	cn, err := c.connect(ctx, r)
	connectTime := c.clock.Since(start)
	if err != nil {
		a := Attempt{Outcome: retry.NotRun, Err: err, ConnectTime: connectTime}
		a.TargetResult.Outcome = upstream.Unreachable
		if ctx.Err() != nil || isDoneContext(r.DialContext) || errors.Is(err, ErrNoIdleConn) {
			a.TargetResult.Outcome = upstream.Abandoned
		}
		if r.Aborter.Aborted() {
			a.TargetResult.Outcome, a.Err, a.TargetResult.Latency = upstream.Abandoned, ErrAborted, c.clock.Since(start)
		}
		return a
	}
	if err := r.checkMaySend(); err != nil {
		c.idle.release(r.endpoint(), cn)
		a := Attempt{Outcome: retry.NotRun, Err: err, ConnectTime: connectTime}
		a.TargetResult.Outcome = upstream.Abandoned
		return a
	}
	// After the exchange another request may use the connection.
	reused := cn.reused
	a := c.exchange(ctx, cn, r)
	a.Sent = true
	a.Reused = reused
	a.ConnectTime = connectTime
	a.TargetResult.Latency = c.clock.Since(start)
	return a
}

// connect returns an idle connection for the request, or opens one. It also opens a spare
// connection in the background if the target should have one.
func (c *Client) connect(ctx context.Context, r *Request) (*conn, error) {
	limit := maxIdle
	if r.NonIdempotent {
		limit = maxIdleNonIdempotent
	}
	cn := c.idle.take(r.endpoint(), limit, hashID(r.ID))
	if !r.IdleConnOnly && c.idle.size(r.endpoint()) < minIdleConns && c.spares.startOpening(c.clock.Now(), r.Target) {
		go c.openSpare(r.Target, r.Addr)
	}
	if cn != nil {
		return cn, nil
	}
	if r.IdleConnOnly {
		return nil, ErrNoIdleConn
	}
	start := c.clock.Now()
	cn, err := c.dialFor(ctx, r)
	if err == nil {
		c.spares.recordDial(r.Target, c.clock.Since(start))
	}
	return cn, err
}

// dialFor opens a connection for a request.
func (c *Client) dialFor(ctx context.Context, r *Request) (*conn, error) {
	if r.DialContext != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(r.DialContext, cancel)()
	}
	if r.Aborter != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		defer r.Aborter.set(nil, nil)
		if !r.Aborter.set(cancel, nil) {
			return nil, ErrAborted
		}
	}
	if r.OnSlowDial != nil {
		defer time.AfterFunc(slowDialNotice, r.OnSlowDial).Stop()
	}
	return c.dial(ctx, r.Addr, min(r.dialTimeout(), c.clock.Until(r.Deadline)))
}

// exchange writes the request and reads the response. It keeps the connection only if it
// can be used again. Closing it otherwise also makes the target cancel the request.
func (c *Client) exchange(ctx context.Context, cn *conn, r *Request) Attempt {
	reused := cn.reused
	_ = cn.SetDeadline(c.clock.System(r.Deadline))
	interrupt := func() { _ = cn.SetDeadline(time.Unix(1, 0)) }
	stop := context.AfterFunc(ctx, interrupt)
	stopAbandoning := func() bool { return true }
	if r.ExchangeContext != nil {
		stopAbandoning = context.AfterFunc(r.ExchangeContext, interrupt)
	}
	cn.begin(hashID(r.ID))
	if !r.Aborter.set(nil, cn) {
		interrupt()
	}
	written := c.write(cn, r)
	resp, err := c.read(cn, r)
	surplus := cn.surplus
	keep := err == nil && !resp.Close && cn.reader.Buffered() == 0 && isDone(written) && !cn.carried.isSpent()
	aborted := !r.Aborter.set(nil, nil)
	if interrupted := !stop(); !stopAbandoning() || interrupted || aborted {
		keep = false
	}
	if keep {
		cn.maxIdle = keepAliveTimeout(resp.Header)
		c.idle.release(r.endpoint(), cn)
	} else {
		_ = cn.Close()
	}
	if err != nil {
		a := c.failed(ctx, r, resp, err, aborted)
		a.NoResponse, a.Surplus = !cn.received, surplus
		if reused && resp == nil && a.TargetResult.Outcome != upstream.Abandoned {
			// What made a kept connection silent, or made the target forget it, has usually
			// affected all connections that were open at the time. New ones may well work.
			c.idle.closeAll(r.endpoint())
		}
		return a
	}
	a := c.completed(resp)
	a.Surplus = surplus
	return a
}

// write sends the request. It returns a channel that is closed once the whole request is
// written. The connection remembers a write error, and what is read after it is no end of a body.
func (c *Client) write(cn *conn, r *Request) <-chan struct{} {
	done := make(chan struct{})
	head := c.head(r)
	if len(r.Body) <= maxInlineBody {
		_, err := cn.Write(append(head, r.Body...))
		if err == nil {
			close(done)
		}
		return done
	}
	go func() {
		_, err := cn.Write(head)
		if err == nil {
			_, err = cn.Write(r.Body)
		}
		if err == nil {
			close(done)
		}
	}()
	return done
}

// isDone reports whether the channel is closed.
func isDone(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// head returns the request line and the headers. The capacity has room for a body that is
// written with them.
func (c *Client) head(r *Request) []byte {
	buf := make([]byte, 0, 512+len(r.Body)*boolInt(len(r.Body) <= maxInlineBody))
	buf = append(buf, r.Method...)
	buf = append(buf, ' ')
	buf = append(buf, r.URI...)
	buf = append(buf, " HTTP/1.1\r\nHost: "...)
	buf = append(buf, r.Host...)
	buf = append(buf, "\r\n"...)
	for name, values := range r.Header {
		if c.isReserved(name) {
			continue
		}
		for _, value := range values {
			buf = appendHeader(buf, name, value)
		}
	}
	buf = appendHeader(buf, c.headers.Deadline, strconv.FormatInt(max(1, r.Timeout.Milliseconds()), 10))
	buf = appendHeader(buf, c.headers.Expected, r.TargetName)
	if r.Account != "" {
		buf = appendHeader(buf, c.headers.Account, r.Account)
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		buf = appendHeader(buf, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	return append(buf, "\r\n"...)
}

// isReserved reports whether a header of the client's request is not forwarded. The gateway
// sets some headers itself, and the credential of a client account is a secret that targets
// must not see.
func (c *Client) isReserved(name string) bool {
	switch name {
	case c.headers.Deadline, c.headers.Expected, c.headers.Account, c.headers.Credential:
		return true
	default:
		return false
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func appendHeader(buf []byte, name, value string) []byte {
	buf = append(buf, name...)
	buf = append(buf, ": "...)
	buf = append(buf, value...)
	return append(buf, "\r\n"...)
}
