package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/upstream"
)

const (
	// maxInlineBody is the largest body that is written before the answer is
	// read. A larger one is written beside: a target that answers early need
	// not read on, and would hold the writer up.
	maxInlineBody = 8 << 10
	// maxSkippedResponses bounds the answers to other requests that are skipped.
	maxSkippedResponses = 8
	// bufferedReadTimeout is how long an answer is read that had arrived when the deadline had
	// passed: its bytes lie in the kernel's buffer.
	bufferedReadTimeout = 5 * time.Millisecond
	// keepAliveMargin is taken off the time that a target says it keeps a
	// connection.
	keepAliveMargin = time.Second
)

// Errors of an attempt.
var (
	ErrUnsigned   = errors.New("forward: success without a signature")
	ErrMismatched = errors.New("forward: answers to other requests only")
	ErrEncoded    = errors.New("forward: body is encoded")
	ErrWithheld   = errors.New("forward: the target is no longer to be sent to")
)

// Codec reads what answers say in the target's format.
type Codec interface {
	ParseLoad(text string) *upstream.LoadReport
	// IsReplaced tells whether a status says that another incarnation or
	// service has the address.
	IsReplaced(status int) bool
	// ParseSelfReport reads what the target says of itself.
	ParseSelfReport(status int, header http.Header) availability.SelfReport
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	headers Headers
	codec   Codec
	clock   *clock.Clock
	idle    idlePool
	spares  sparePolicy
}

// NewClient returns a client without connections. The deadlines of its requests are times of
// a clock.
func NewClient(headers Headers, codec Codec, clock *clock.Clock) *Client {
	return &Client{headers: headers, codec: codec, clock: clock, idle: idlePool{clock: clock, conns: make(map[string][]*conn)},
		spares: sparePolicy{slowDial: slowDial, targets: make(map[string]*spareState)}}
}

// CloseExpired closes connections that were idle for too long. It is to be called now
// and then.
func (c *Client) CloseExpired(now time.Time) {
	c.idle.expire(now)
	c.spares.expire(now)
}

// Do sends a request and reads the answer.
func (c *Client) Do(ctx context.Context, r *Request) Attempt {
	start := c.clock.Now()
	cn, err := c.connect(ctx, r)
	if err != nil {
		a := Attempt{Outcome: retry.NotRun, Err: err}
		a.TargetResult.Outcome = upstream.Unreachable
		if ctx.Err() != nil {
			a.TargetResult.Outcome = upstream.Abandoned
		}
		return a
	}
	if r.MaySend != nil && !r.MaySend() {
		c.idle.release(r.endpoint(), cn)
		a := Attempt{Outcome: retry.NotRun, Err: ErrWithheld}
		a.TargetResult.Outcome = upstream.Abandoned
		return a
	}
	// Once the exchange is over the connection may be another request's.
	reused := cn.reused
	a := c.exchange(ctx, cn, r)
	a.Sent = true
	a.Reused = reused
	a.TargetResult.Latency = c.clock.Since(start)
	return a
}

func (c *Client) connect(ctx context.Context, r *Request) (*conn, error) {
	limit := maxIdle
	if r.NonIdempotent {
		limit = maxIdleNonIdempotent
	}
	cn := c.idle.take(r.endpoint(), limit)
	if c.idle.size(r.endpoint()) < minIdleConns && c.spares.startOpening(c.clock.Now(), r.Target) {
		go c.openSpare(r.Target, r.Addr)
	}
	if cn != nil {
		return cn, nil
	}
	start := c.clock.Now()
	cn, err := dial(ctx, r.Addr, c.clock.Until(r.Deadline))
	if err == nil {
		c.spares.recordDial(r.Target, c.clock.Since(start))
	}
	return cn, err
}

// exchange writes the request and reads the answer. The connection is kept if
// nothing speaks against it, and closed otherwise, which also tells the target
// to drop the request.
func (c *Client) exchange(ctx context.Context, cn *conn, r *Request) Attempt {
	reused := cn.reused
	_ = cn.SetDeadline(c.clock.System(r.Deadline))
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	written := c.write(cn, r)
	resp, err := c.read(cn, r)
	keep := err == nil && !resp.Close && cn.reader.Buffered() == 0 && isDone(written)
	if !stop() {
		keep = false
	}
	if keep {
		cn.maxIdle = keepAliveTimeout(resp.Header)
		c.idle.release(r.endpoint(), cn)
	} else {
		_ = cn.Close()
	}
	if err != nil {
		a := c.failed(ctx, r, resp, err)
		if reused && resp == nil && a.TargetResult.Outcome != upstream.Abandoned {
			// What silenced or forgot a kept connection has most often done so to all that
			// were open at the time. New ones may well work.
			c.idle.closeAll(r.endpoint())
		}
		return a
	}
	return c.completed(resp)
}

// write sends the request and returns a channel that is closed once all of it is
// written. A failure to write shows when the answer is read.
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

func isDone(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// head returns the request line and the headers.
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

// isReserved tells whether a header of a client's request is not passed on: the system sets
// it itself, or it is a secret between the client and the system.
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

// fullResponse is an fullResponse read to its end, or as far as it came.
type fullResponse struct {
	*http.Response
	body []byte
}

// read reads answers until one that belongs to the request.
func (c *Client) read(cn *conn, r *Request) (*fullResponse, error) {
	for range maxSkippedResponses {
		err := c.awaitResponse(cn)
		if err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		if !c.matches(resp, r) {
			_, err = io.Copy(io.Discard, resp.Body)
			if err != nil || resp.Close {
				return nil, fmt.Errorf("%w: %w", ErrMismatched, firstError(err, io.EOF))
			}
			continue
		}
		a := &fullResponse{Response: resp}
		a.body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return a, err
		}
		return a, c.validate(resp)
	}
	return nil, ErrMismatched
}

// awaitResponse waits for the first byte of an answer until the connection's deadline. An answer
// that has arrived by then is read even if this process was paused meanwhile and the
// deadline has passed: the target has run the request.
func (c *Client) awaitResponse(cn *conn) error {
	_, err := cn.reader.Peek(1)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	_ = cn.SetReadDeadline(time.Now().Add(bufferedReadTimeout))
	_, err = cn.reader.Peek(1)
	return err
}

func firstError(err, fallback error) error {
	if err != nil {
		return err
	}
	return fallback
}

// matches tells whether an answer is to the request. One that says that the
// request did not run may lack the ID.
func (c *Client) matches(resp *http.Response, r *Request) bool {
	id := resp.Header.Get(c.headers.RequestID)
	if id == "" {
		return c.notRun(resp) && r.ID != ""
	}
	return id == r.ID
}

func (c *Client) notRun(resp *http.Response) bool {
	return resp.Header.Get(c.headers.NotRun) != "" || c.codec.IsReplaced(resp.StatusCode)
}

// validate finds what a success must have and lacks.
func (c *Client) validate(resp *http.Response) error {
	if resp.StatusCode/100 != 2 {
		return nil
	}
	if resp.Header.Get(c.headers.Signature) == "" {
		return ErrUnsigned
	}
	if resp.Header.Get("Content-Encoding") != "" {
		return ErrEncoded
	}
	return nil
}

// selfReport returns what the head of an answer to the request says of its target. It counts whatever
// became of the rest of the answer, and whether or not the client is still there. What another
// incarnation says does not, nor what a success says that no target has signed.
func (c *Client) selfReport(resp *http.Response) availability.SelfReport {
	unsigned := resp.StatusCode/100 == 2 && resp.Header.Get(c.headers.Signature) == ""
	if unsigned || c.codec.IsReplaced(resp.StatusCode) {
		return availability.SelfReport{}
	}
	return c.codec.ParseSelfReport(resp.StatusCode, resp.Header)
}

// completed turns a whole answer into an attempt.
func (c *Client) completed(resp *fullResponse) Attempt {
	a := Attempt{Outcome: retry.Ran}
	a.TargetResult.LoadReport = c.codec.ParseLoad(resp.Header.Get(c.headers.Load))
	a.TargetResult.SelfReport = c.selfReport(resp.Response)
	switch {
	case c.codec.IsReplaced(resp.StatusCode):
		a.Outcome, a.TargetResult.Outcome = retry.NotRun, upstream.Replaced
	case c.notRun(resp.Response):
		a.Outcome, a.TargetResult.Outcome = retry.NotRun, upstream.Rejected
	default:
		a.TargetResult.ServerError = resp.StatusCode >= http.StatusInternalServerError
		a.Response = &Response{Status: resp.StatusCode, Header: EndToEndHeaders(resp.Header), Body: resp.body}
	}
	return a
}

// failed turns a missing or broken answer into an attempt.
func (c *Client) failed(ctx context.Context, r *Request, resp *fullResponse, err error) Attempt {
	a := Attempt{Outcome: retry.Unknown, Err: err}
	if resp != nil {
		a.TargetResult.SelfReport = c.selfReport(resp.Response)
	}
	switch {
	case ctx.Err() != nil:
		a.TargetResult.Outcome = upstream.Abandoned
	case resp == nil && !c.clock.Now().Before(r.Deadline):
		a.TargetResult.Outcome = upstream.TimedOut
	default:
		a.TargetResult.Outcome = upstream.Broken
	}
	return a
}

// keepAliveTimeout is how long a connection may be idle by what the answer says.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err == nil {
			return min(maxIdle, max(0, time.Duration(seconds)*time.Second-keepAliveMargin))
		}
	}
	return maxIdle
}
