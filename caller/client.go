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
	"github.com/rainford/rainford/lookup"
	"github.com/rainford/rainford/protocol"
)

// Client makes requests. It is safe for concurrent use.
type Client struct {
	config   Config
	pooled   *http.Transport
	unpooled *http.Transport
	mu       sync.Mutex
	lookups  map[string]*cachedLookup
}

// Config are the settings of a client.
type Config struct {
	// Bootstrap are callers' addresses of some instances, for the first
	// look-up. There must be one at least.
	Bootstrap []string
	// LocalAddr is the address to call from; nil lets the system choose.
	LocalAddr net.Addr
	// MaxAttempts bounds the tries of one request. 0 stands for 3.
	MaxAttempts int
	// Timeout holds for requests whose context has no deadline. 0 stands
	// for 10 s.
	Timeout time.Duration
}

const (
	defaultAttempts = 3
	defaultTimeout  = 10 * time.Second
	lookupTimeout   = 2 * time.Second
	dialTimeout     = time.Second
	// idleTimeout is below the time that a stopping instance lingers.
	idleTimeout = 2 * time.Second
	// unreachablePeriod is how long an instance that could not be reached comes last.
	unreachablePeriod = 2 * time.Second
	// staleFactor bounds the use of an old answer while no instance answers
	// a look-up, in times to live.
	staleFactor  = 10
	maxJSONBytes = 64 << 10
)

// cachedLookup is the cached answer to a look-up.
type cachedLookup struct {
	response  lookup.Response
	fetchedAt time.Time
	// unreachableUntil holds the instances that could not be reached, and until when
	// they come last.
	unreachableUntil map[string]time.Time
}

// New returns a client.
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
	return &Client{config: config, pooled: kept, unpooled: fresh, lookups: make(map[string]*cachedLookup)}, nil
}

// Close ends idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// NewKey returns a key for an operation that starts now.
func NewKey() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:])
	return claim.NewKey(time.Now(), hex.EncodeToString(raw[:]))
}

// Request is one request.
type Request struct {
	Service string
	Method  string
	// Path is the path at the target, from "/".
	Path   string
	Header http.Header
	// Body returns the body from its start, once for each attempt. Nil is no
	// body. Length is its length, or -1.
	Body   func() (io.ReadCloser, error)
	Length int64
	// Key names the operation for services that run it at most once.
	Key string
	// FirstAttempt numbers the first try when the operation was tried before;
	// it must be higher than all numbers used. 0 stands for 1. Do uses up to
	// Config.MaxAttempts numbers.
	FirstAttempt int
	// EarlierUnknown must be set when an earlier attempt at the operation
	// ended with an *UnknownError.
	EarlierUnknown bool
}

// BytesBody sets the request's body to data.
func (r *Request) BytesBody(data []byte) {
	r.Length = int64(len(data))
	r.Body = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(data)), nil }
}

// Do makes a request, trying other instances as long as it certainly did not
// run. The caller closes the answer's body. Reading the body fails if the
// answer breaks midway.
//
// Besides errors of the request itself it returns *NotRunError, *UnknownError
// and *DoneError.
func (c *Client) Do(ctx context.Context, req Request) (*http.Response, error) {
	resp, err := c.do(ctx, req)
	var notRun *NotRunError
	if req.EarlierUnknown && errors.As(err, &notRun) && notRun.local {
		// This attempt did not run; the operation may have.
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

// cancelOnClose ends a request's context with its body.
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

// isRetriable tells whether another instance may be tried at once. A refusal that
// says when to come back is final: the system has looked everywhere already.
func isRetriable(err error, retriable bool) bool {
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		return notRun.Reason == protocol.ReasonUnreachable || notRun.Reason == protocol.ReasonNotReady
	}
	var unknown *UnknownError
	return errors.As(err, &unknown) && retriable && unknown.Reason == protocol.ReasonResponseLost
}
