package forward

import (
	"context"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/rainford/rainford/internal/membudget"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/upstream"
)

// Headers are the names of the headers that the gateway interprets.
type Headers struct {
	// RequestID identifies an attempt of a client. Responses repeat it.
	RequestID string
	// Deadline is how long the sender waits for the response, in milliseconds.
	Deadline string
	// Key names the object that a request concerns.
	Key string
	// Expected names the target that the request is for. No other one may run it.
	Expected string
	// Signature is present in every response of a target that has run the request.
	Signature string
	// Load is the load of the responding target.
	Load string
	// NotRun is present in a response that says that the request was not run.
	NotRun string
	// RetryAfter is the time after which to retry, in seconds with a fraction.
	RetryAfter string
	// Credential is the key of a client account. It is never forwarded.
	Credential string
	// Account is the name of the client account, for targets.
	Account string
}

// Request is a request to a target.
type Request struct {
	Method string
	// URI is the path and query, as the client sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request ID that the client has chosen.
	ID string
	// Account is the name of the client account, or "" if there is none.
	Account string
	// Target is the incarnation that should run the request, and Addr its address.
	// TargetName is the name that the target keeps across restarts, which the Expected
	// header contains.
	Target, Addr, TargetName string
	// Timeout is the time that the target has to respond.
	Timeout time.Duration
	// Deadline is when the client stops waiting for the response.
	Deadline time.Time
	// MaySend reports whether the request may still be sent. If nil, it may. It is called
	// last, when the connection is established: the target may become unavailable while it is
	// opened.
	MaySend func() bool
	// NonIdempotent marks a request that must not run twice. It is not sent over a
	// connection that has been idle for so long that the target may have closed it.
	NonIdempotent bool
	// DialTimeout is the longest time that opening a connection may take, or 0 for maxDialTime.
	DialTimeout time.Duration
	// IdleConnOnly means that the request is sent over an idle connection or not at all, since new
	// connections can't be opened.
	IdleConnOnly bool
	// DialContext ends the opening of a connection when it is done, if it is not nil. OnSlowDial, if it
	// is not nil, is called when that takes longer than slowDialNotice.
	DialContext context.Context
	OnSlowDial  func()
	// ExchangeContext ends the wait for the response when it is done, if it is not nil. The outcome of
	// the request is then unknown.
	ExchangeContext context.Context
	// Memory bounds the memory for the bodies of responses, together with other requests. If nil, only
	// the size of each is bounded.
	Memory *membudget.Lease
	// Aborter, if it is not nil, ends the attempt when its Abort method is called.
	Aborter *Aborter
}

// checkMaySend returns why the request may not be sent any more, or nil if it may.
func (r *Request) checkMaySend() error {
	switch {
	case r.Aborter.Aborted():
		return ErrAborted
	case r.MaySend != nil && !r.MaySend():
		return ErrWithheld
	default:
		return nil
	}
}

// dialTimeout returns the longest time that opening a connection for the request may take.
func (r *Request) dialTimeout() time.Duration {
	if r.DialTimeout == 0 {
		return maxDialTime
	}
	return r.DialTimeout
}

// endpoint returns the key of the request's connections. It contains the address because
// the address of a target may change, and connections to the previous address do not lead
// to the target.
func (r *Request) endpoint() string { return endpointKey(r.Target, r.Addr) }

func endpointKey(target, addr string) string { return target + " " + addr }

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Attempt is the result of sending a request to a target.
type Attempt struct {
	// Outcome is whether the request was run.
	Outcome retry.Outcome
	// Response is the complete response, or nil if the target has not run the request, or if
	// its response did not arrive completely or is not valid.
	Response *Response
	// TargetResult is the result with regard to the target.
	TargetResult upstream.Result
	// Sent is set if some of the request may have reached the target.
	Sent bool
	// ConnectTime is the time until a connection was open or could not be opened.
	ConnectTime time.Duration
	// Reused is set if the connection was open before the request was made.
	Reused bool
	// NoResponse is set if the request was sent and no byte of a response was received.
	NoResponse bool
	// Surplus is the number of responses that arrived on the connection during the attempt
	// and belong to no request that is in progress.
	Surplus int
	// Err is why there is no response. It is nil if a response says that the request was
	// not run.
	Err error
}

// connectionHeaders apply to a single connection and are not forwarded (RFC 9110, section
// 7.6.1). Content-Length is set according to the body.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEndHeaders returns the headers that do not apply to a single connection. It does not
// change h.
func EndToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		out[name] = values
	}
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range connectionHeaders {
		delete(out, name)
	}
	return out
}
