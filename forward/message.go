package forward

import (
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/upstream"
)

// Headers are the names of the headers that mean something to the system.
type Headers struct {
	// RequestID identifies a client's attempt; answers carry it back.
	RequestID string
	// Deadline is how long the sender waits, in milliseconds.
	Deadline string
	// Key names the object of a request.
	Key string
	// Expected names the target incarnation that alone may run the request.
	Expected string
	// Signature is on every answer of a target that ran the request.
	Signature string
	// Load tells the load of the target that answers.
	Load string
	// NotRun marks an answer that says that the request did not run.
	NotRun string
	// RetryAfter tells when to come back, in seconds with fractions.
	RetryAfter string
	// Credential carries the key of a client account. It is never passed on.
	Credential string
	// Account tells a target the name of the client account.
	Account string
}

// Request is a request to a target.
type Request struct {
	Method string
	// URI is the path and query as the client sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the client's ID of the request.
	ID string
	// Account is the name of the client account, "" if there is none.
	Account string
	// Target and Addr are the incarnation to run the request and its address, and TargetName
	// is what the target calls itself.
	Target, Addr, TargetName string
	// Timeout is the time that the target is given.
	Timeout time.Duration
	// Deadline is when the attempt is given up here.
	Deadline time.Time
	// MaySend tells whether the request may still be sent, nil for always. It is asked last, when
	// the connection stands: opening one takes up to maxDialTime, and the target may speak
	// of itself to others meanwhile.
	MaySend func() bool
	// NonIdempotent marks a request that must not run twice, for which a connection
	// that the target may have closed meanwhile is not good enough.
	NonIdempotent bool
}

// endpoint names the end of a connection: a target, or what is listed for one, may come to
// have another address, and connections to the earlier one are not its.
func (r *Request) endpoint() string { return endpointKey(r.Target, r.Addr) }

func endpointKey(target, addr string) string { return target + " " + addr }

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Attempt is what became of a request at a target.
type Attempt struct {
	// Outcome says whether the request ran.
	Outcome retry.Outcome
	// Response is the whole answer, if the target ran the request and it came.
	Response *Response
	// TargetResult is what the attempt says of the target.
	TargetResult upstream.Result
	// Sent says that some of the request may have arrived.
	Sent bool
	// Reused says that the connection was open before the request came.
	Reused bool
	// Err says why there is no answer.
	Err error
}

// connectionHeaders belong to one connection and are not passed on (RFC 9110,
// section 7.6.1). Content-Length is set from the body.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEndHeaders returns the headers that are not of the connection.
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
