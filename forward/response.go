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
	"github.com/rainford/rainford/internal/membudget"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/upstream"
)

const (
	// maxSkippedResponses bounds the number of responses that are read for a request.
	// Interim responses (1xx) and responses that belong to other requests are skipped.
	maxSkippedResponses = 8
	// bufferedReadTimeout is the time to read a response that had arrived when the deadline
	// passed. Its bytes are already in the receive buffer of the kernel.
	bufferedReadTimeout = 5 * time.Millisecond
	// keepAliveMargin is subtracted from the keep-alive timeout that a target announces.
	keepAliveMargin = time.Second
)

// fullResponse is a response whose body has been read, to its end or to the point of a read
// error.
type fullResponse struct {
	*http.Response
	body []byte
}

// read reads responses until one that belongs to the request. If its body is incomplete,
// read returns both the response and an error.
func (c *Client) read(cn *conn, r *Request) (*fullResponse, error) {
	for range maxSkippedResponses {
		cn.limited.allow(maxHeadBytes)
		err := cn.expectHead()
		if err != nil {
			return nil, err
		}
		err = c.awaitResponse(cn)
		if err != nil {
			return nil, err
		}
		cn.received = true
		resp, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		if len(resp.Header.Values(c.headers.RequestID)) > 1 {
			return nil, ErrAmbiguousID
		}
		cn.limited.allow(maxBodyBytes + maxFramingBytes)
		if !c.matches(cn, resp, r) {
			cn.surplus++
			_, err = io.Copy(io.Discard, resp.Body)
			if err != nil || resp.Close {
				return nil, fmt.Errorf("%w: %w", ErrMismatched, firstError(err, io.EOF))
			}
			continue
		}
		a := &fullResponse{Response: resp}
		a.body, err = membudget.ReadAll(resp.Body, bodyLength(resp), maxBodyBytes, r.Memory)
		if err != nil {
			return a, fmt.Errorf("forward: body: %w", err)
		}
		_ = resp.Body.Close()
		return a, c.validate(resp)
	}
	return nil, ErrMismatched
}

// awaitResponse waits for the first byte of a response until the connection's deadline. A
// response that has arrived by then is read even if the deadline has passed because this
// process was suspended: the target has run the request.
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

// matches reports whether a response belongs to the request. The connection has carried no
// other request with the same ID. A response without an ID can only be told if the connection
// has carried no other request at all, and then may say that the request was not run, or
// belong to a request without an ID.
func (c *Client) matches(cn *conn, resp *http.Response, r *Request) bool {
	id := resp.Header.Get(c.headers.RequestID)
	if id == "" {
		return len(cn.carried) == 1 && (c.notRun(resp) || r.ID == "")
	}
	return id == r.ID
}

// notRun reports whether a response says that the request was not run.
func (c *Client) notRun(resp *http.Response) bool {
	return resp.Header.Get(c.headers.NotRun) != "" || c.codec.IsReplaced(resp.StatusCode)
}

// validate checks that a successful response is signed and that its body has no content
// encoding.
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

// selfReport returns what the head of a response reports about the target. The report
// counts even if the rest of the response did not arrive or the client has disconnected.
// The report of another incarnation does not count, nor that of a successful response
// without a signature.
func (c *Client) selfReport(resp *http.Response) availability.SelfReport {
	unsigned := resp.StatusCode/100 == 2 && resp.Header.Get(c.headers.Signature) == ""
	if unsigned || c.codec.IsReplaced(resp.StatusCode) {
		return availability.SelfReport{}
	}
	return c.codec.ParseSelfReport(resp.StatusCode, resp.Header)
}

// completed returns the attempt for a complete response.
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

// failed returns the attempt for a missing or incomplete response, or one that was aborted.
func (c *Client) failed(ctx context.Context, r *Request, resp *fullResponse, err error, aborted bool) Attempt {
	a := Attempt{Outcome: retry.Unknown, Err: err}
	if aborted {
		a.Err = ErrAborted
	}
	if resp != nil {
		a.TargetResult.SelfReport = c.selfReport(resp.Response)
	}
	switch {
	case ctx.Err() != nil || aborted:
		a.TargetResult.Outcome = upstream.Abandoned
	case isDoneContext(r.ExchangeContext) && errors.Is(err, os.ErrDeadlineExceeded):
		a.TargetResult.Outcome, a.Err = upstream.Abandoned, ErrAbandoned
	case resp == nil && !c.clock.Now().Before(r.Deadline):
		a.TargetResult.Outcome = upstream.TimedOut
	default:
		a.TargetResult.Outcome = upstream.Broken
	}
	return a
}

// isDoneContext reports whether a context is done. A nil context is not.
func isDoneContext(ctx context.Context) bool { return ctx != nil && ctx.Err() != nil }

// keepAliveTimeout returns how long the connection may be idle according to the response,
// at most maxIdle.
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
