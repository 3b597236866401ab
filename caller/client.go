package caller

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rainford/rainford/claim"
	"github.com/rainford/rainford/internal/httpconn"
	"github.com/rainford/rainford/lookup"
	"github.com/rainford/rainford/protocol"
)

// Client sends requests to instances. It is safe for concurrent use.
type Client struct {
	config   Config
	pooled   *httpconn.Transport
	unpooled *httpconn.Transport
	mu       sync.Mutex
	lookups  map[string]*cachedLookup
}

// Config are the settings of a client.
type Config struct {
	// Bootstrap are addresses of some instances for callers, used for the first
	// look-up and whenever no other instance answers one. At least one address
	// is required.
	Bootstrap []string
	// LocalAddr is the local address of connections. If it is nil, the operating
	// system chooses one.
	LocalAddr net.Addr
	// MaxAttempts is the largest number of attempts at one request. 0 stands for 3.
	MaxAttempts int
	// Timeout applies to requests whose context has no deadline. 0 stands for
	// 10 s.
	Timeout time.Duration
}

const (
	defaultAttempts = 3
	defaultTimeout  = 10 * time.Second
	lookupTimeout   = 2 * time.Second
	dialTimeout     = time.Second
	// idleTimeout is shorter than the time for which a stopping instance keeps
	// running, so that the client closes an idle connection before the instance does.
	idleTimeout = 2 * time.Second
	// unreachablePeriod is the time for which an instance that could not be
	// reached is tried after all others.
	unreachablePeriod = 2 * time.Second
	// staleFactor bounds the age of a cached look-up that is used while no
	// instance answers a new one, in multiples of its TTL.
	staleFactor  = 10
	maxJSONBytes = 64 << 10
)

// cachedLookup is the cached response of a look-up.
type cachedLookup struct {
	response  lookup.Response
	fetchedAt time.Time
	// unreachableUntil holds the instances that could not be reached, with the time
	// until which they are tried last.
	unreachableUntil map[string]time.Time
}

// New returns a client with the settings. It returns an error if there is no bootstrap
// address.
func New(config Config) (*Client, error) {
	if len(config.Bootstrap) == 0 {
		return nil, errors.New("caller: no bootstrap address")
	}
	if config.MaxAttempts == 0 {
		config.MaxAttempts = defaultAttempts
	}
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	dialer := &net.Dialer{Timeout: dialTimeout, LocalAddr: config.LocalAddr}
	kept := &http.Transport{
		DialContext:           dialer.DialContext,
		IdleConnTimeout:       idleTimeout,
		MaxIdleConnsPerHost:   64,
		ExpectContinueTimeout: time.Second,
		DisableCompression:    true,
	}
	fresh := kept.Clone()
	fresh.DisableKeepAlives = true
	return &Client{config: config, pooled: httpconn.NewTransport(kept), unpooled: httpconn.NewTransport(fresh), lookups: make(map[string]*cachedLookup)}, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// NewKey returns a new random key for an operation. The key contains the present time as
// the start of the operation.
func NewKey() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:])
	return claim.NewKey(time.Now(), hex.EncodeToString(raw[:]))
}

// Request is a request to a service.
type Request struct {
	Service string
	Method  string
	// Path is the path at the target. It begins with "/".
	Path   string
	Header http.Header
	// Body returns a reader of the body from its start. It is called once for
	// each attempt. If it is nil, the request has no body. Length is the length
	// of the body in bytes, or -1 if it is not known.
	Body   func() (io.ReadCloser, error)
	Length int64
	// Key is the key of the operation, for services that run operations at most
	// once. It is empty for other services.
	Key string
	// FirstAttempt is the number of the first attempt of this request. If the
	// operation was attempted before, it must be higher than all numbers of the
	// earlier attempts. 0 stands for 1. Do uses up to Config.MaxAttempts
	// consecutive numbers.
	FirstAttempt int
	// EarlierUnknown must be set if an earlier attempt at the operation ended
	// with an *UnknownError.
	EarlierUnknown bool
}

// BytesBody sets the request's body and its length to data.
func (r *Request) BytesBody(data []byte) {
	r.Length = int64(len(data))
	r.Body = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(data)), nil }
}

// Do sends a request and returns the response of the target. If an attempt certainly
// did not run because an instance was unreachable or not ready, Do tries another
// instance. It also does so if the response of a request without a key was lost. The
// program that calls Do has to close the response's body. Reading the body fails if
// the response is cut off.
//
// Do returns a *NotRunError, an *UnknownError or a *DoneError, or another error if the
// request is invalid.
func (c *Client) Do(ctx context.Context, req Request) (*http.Response, error) {
	resp, err := c.do(ctx, req)
	var notRun *NotRunError
	if req.EarlierUnknown && errors.As(err, &notRun) && notRun.local {
		// This attempt did not run, but an earlier attempt at the operation may have.
		return nil, &UnknownError{Reason: notRun.Reason, Detail: notRun.Detail, RetryAfter: notRun.RetryAfter, Err: err}
	}
	return resp, err
}

func (c *Client) do(ctx context.Context, req Request) (*http.Response, error) {
	cancel := func() {}
	if _, ok := ctx.Deadline(); !ok {
		ctx, cancel = context.WithTimeout(ctx, c.config.Timeout)
	}
	var lastErr error
	tried := make(map[string]bool)
	for attempt := range c.config.MaxAttempts {
		instance, err := c.choose(ctx, req.Service, tried)
		if err != nil {
			cancel()
			if lastErr != nil {
				return nil, lastErr
			}
			return nil, err
		}
		tried[instance.ID] = true
		resp, err := c.try(ctx, req, instance, max(req.FirstAttempt, 1)+attempt)
		if err == nil {
			resp.Body = &cancelOnClose{ReadCloser: resp.Body, cancel: cancel}
			return resp, nil
		}
		lastErr = err
		if !isRetriable(err, req.Key == "") {
			break
		}
	}
	cancel()
	return nil, lastErr
}

// cancelOnClose is the body of a response. Close also cancels the request's context.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *cancelOnClose) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}

// isRetriable reports whether another instance may be tried at once after err. An attempt that did not
// run may be repeated if the instance was unreachable or not ready. Other refusals are final, because the
// instance has already tried all other instances and targets. An attempt whose response was lost may be
// repeated if retriable is set, since the request has no key and may run more than once.
func isRetriable(err error, retriable bool) bool {
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		return notRun.Reason == protocol.ReasonUnreachable || notRun.Reason == protocol.ReasonNotReady
	}
	var unknown *UnknownError
	return errors.As(err, &unknown) && retriable && unknown.Reason == protocol.ReasonResponseLost
}
