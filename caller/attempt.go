package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/lookup"
	"github.com/rainford/rainford/protocol"
	"github.com/rainford/rainford/retry"
)

// try makes one attempt at a request, at one instance.
func (c *Client) try(ctx context.Context, r Request, instance lookup.Instance, attempt int) (*http.Response, error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := newRequest(traced, r, instance.Addr, attempt)
	if err != nil {
		return nil, err
	}
	transport := c.pooled
	if r.Key != "" {
		// As between instances, an operation that runs at most once is not sent on a
		// reused connection, since the instance may have closed it already.
		transport = c.unpooled
	}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		return checkOutcome(resp)
	}
	if !connected.Load() {
		c.markUnreachable(r.Service, instance.ID)
		return nil, &NotRunError{local: true, Reason: protocol.ReasonUnreachable, Detail: err.Error(), RetryAfter: time.Second}
	}
	if ctx.Err() != nil {
		return nil, &UnknownError{Reason: protocol.ReasonDeadline, Detail: err.Error(), RetryAfter: time.Second, Err: err}
	}
	c.markUnreachable(r.Service, instance.ID)
	return nil, &UnknownError{Reason: protocol.ReasonResponseLost, Detail: err.Error(), RetryAfter: time.Second, Err: err}
}

// markUnreachable records that an instance could not be reached, or that a connection to it
// failed.
func (c *Client) markUnreachable(service, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.lookups[service]; l != nil {
		l.unreachableUntil[id] = time.Now().Add(unreachablePeriod)
	}
}

// newRequest returns the HTTP request of an attempt to the instance at addr.
func newRequest(ctx context.Context, r Request, addr string, attempt int) (*http.Request, error) {
	var src io.Reader
	if r.Body != nil {
		body, err := r.Body()
		if err != nil {
			return nil, fmt.Errorf("caller: body: %w", err)
		}
		src = body
	}
	method := r.Method
	if method == "" {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+protocol.CallPath+r.Service+r.Path, src)
	if err != nil {
		return nil, fmt.Errorf("caller: %w", err)
	}
	if r.Body != nil {
		req.ContentLength = r.Length
	}
	for name, values := range r.Header {
		req.Header[name] = append([]string(nil), values...)
	}
	if r.Key != "" {
		req.Header.Set(protocol.HeaderIdempotencyKey, r.Key)
	}
	req.Header.Set(protocol.HeaderAttempt, strconv.Itoa(attempt))
	if r.EarlierUnknown {
		req.Header.Set(protocol.HeaderEarlierOutcome, retry.Unknown.String())
	}
	if deadline, ok := ctx.Deadline(); ok {
		protocol.SetDeadline(req.Header, time.Until(deadline))
	}
	if r.Length < 0 || r.Length > expectContinueBytes {
		req.Header.Set("Expect", "100-continue")
	}
	return req, nil
}

// expectContinueBytes is the length above which, as with an unknown length, a body is sent only
// after the instance has accepted the request, by the header Expect: 100-continue.
const expectContinueBytes = 64 << 10

// checkOutcome returns a response of a target as it is, and converts a refusal of an instance
// into an error. It closes the body of a refusal.
func checkOutcome(resp *http.Response) (*http.Response, error) {
	outcome := retry.ParseOutcome(resp.Header.Get(protocol.HeaderOutcome))
	if outcome == retry.Ran && resp.Header.Get(protocol.HeaderTarget) != "" {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	var refusal protocol.Refusal
	err := json.NewDecoder(io.LimitReader(resp.Body, maxJSONBytes)).Decode(&refusal)
	if err != nil {
		refusal = protocol.Refusal{Outcome: outcome.String(), Reason: protocol.ReasonResponseLost, Detail: fmt.Sprintf("status %d", resp.StatusCode)}
	}
	wait := protocol.RetryAfter(resp.Header)
	switch {
	case outcome == retry.NotRun:
		return nil, &NotRunError{Reason: refusal.Reason, Detail: refusal.Detail, RetryAfter: wait}
	case refusal.Reason == protocol.ReasonAlreadyDone:
		return nil, &DoneError{Status: refusal.EarlierStatus}
	default:
		return nil, &UnknownError{Reason: refusal.Reason, Detail: refusal.Detail, RetryAfter: wait}
	}
}
