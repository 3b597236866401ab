package caller

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/claim"
	"github.com/rainford/rainford/lookup"
	"github.com/rainford/rainford/protocol"
	"github.com/rainford/rainford/retry"
)

// Client makes requests. It is safe for concurrent use.
type Client struct {
	config Config
	kept   *http.Transport
	fresh  *http.Transport
	mu     sync.Mutex
	lists  map[string]*list
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
	// avoidFor is how long an instance that could not be reached comes last.
	avoidFor = 2 * time.Second
	// staleFactor bounds the use of an old answer while no instance answers
	// a look-up, in times to live.
	staleFactor = 10
	maxRefusal  = 64 << 10
)

// list is the cached answer to a look-up.
type list struct {
	answer lookup.Answer
	at     time.Time
	// down holds the instances that could not be reached, and until when
	// they come last.
	down map[string]time.Time
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
	return &Client{config: config, kept: kept, fresh: fresh, lists: make(map[string]*list)}, nil
}

// Close ends idle connections.
func (c *Client) Close() {
	c.kept.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
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
	cancel := func() {}
	if _, ok := ctx.Deadline(); !ok {
		ctx, cancel = context.WithTimeout(ctx, c.config.Timeout)
	}
	var last error
	tried := make(map[string]bool)
	for attempt := range c.config.MaxAttempts {
		entry, err := c.choose(ctx, req.Service, tried)
		if err != nil {
			cancel()
			if last != nil {
				return nil, last
			}
			return nil, err
		}
		tried[entry.ID] = true
		resp, err := c.try(ctx, req, entry, max(req.FirstAttempt, 1)+attempt)
		if err == nil {
			resp.Body = &closer{ReadCloser: resp.Body, cancel: cancel}
			return resp, nil
		}
		last = err
		if !again(err, req.Key == "") {
			break
		}
	}
	cancel()
	return nil, last
}

// closer ends a request's context with its body.
type closer struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}

// again tells whether another instance may be tried at once. A refusal that
// says when to come back is final: the system has looked everywhere already.
func again(err error, retriable bool) bool {
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		return notRun.Reason == protocol.ReasonUnreachable || notRun.Reason == protocol.ReasonNotReady
	}
	var lost *UnknownError
	return errors.As(err, &lost) && retriable && lost.Reason == protocol.ReasonLost
}

// choose returns the next instance to try.
func (c *Client) choose(ctx context.Context, service string, tried map[string]bool) (lookup.Entry, error) {
	l, err := c.list(ctx, service)
	if err != nil {
		return lookup.Entry{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var late *lookup.Entry
	for i, e := range l.answer.Instances {
		if tried[e.ID] {
			continue
		}
		if now.Before(l.down[e.ID]) {
			if late == nil {
				late = &l.answer.Instances[i]
			}
			continue
		}
		return e, nil
	}
	if late != nil {
		return *late, nil
	}
	return lookup.Entry{}, &NotRunError{Reason: protocol.ReasonUnreachable, Detail: "no instance answers", RetryAfter: time.Second}
}

// list returns the cached answer, or asks for a new one.
func (c *Client) list(ctx context.Context, service string) (*list, error) {
	c.mu.Lock()
	l := c.lists[service]
	addrs := c.lookupAddrs(l)
	c.mu.Unlock()
	if l != nil && time.Since(l.at) < time.Duration(l.answer.TTLMillis)*time.Millisecond {
		return l, nil
	}
	var last error
	for _, addr := range addrs {
		answer, err := c.lookup(ctx, addr, service)
		if err == nil {
			return c.keep(service, l, answer), nil
		}
		last = err
	}
	if l != nil && time.Since(l.at) < staleFactor*time.Duration(l.answer.TTLMillis)*time.Millisecond {
		return l, nil
	}
	return nil, &NotRunError{Reason: protocol.ReasonUnreachable, Detail: fmt.Sprintf("no instance answers a look-up: %v", last), RetryAfter: time.Second}
}

// lookupAddrs returns the instances of the last answer, then the bootstrap
// addresses.
func (c *Client) lookupAddrs(l *list) []string {
	var out []string
	if l != nil {
		for _, e := range l.answer.Instances {
			out = append(out, e.Addr)
		}
	}
	return append(out, c.config.Bootstrap...)
}

func (c *Client) keep(service string, old *list, answer lookup.Answer) *list {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := &list{answer: answer, at: time.Now(), down: make(map[string]time.Time)}
	if old != nil {
		l.down = old.down
	}
	c.lists[service] = l
	return l
}

func (c *Client) lookup(ctx context.Context, addr, service string) (lookup.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var answer lookup.Answer
	query := url.Values{"service": {service}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+protocol.LookupPath+"?"+query.Encode(), nil)
	if err != nil {
		return answer, err
	}
	resp, err := c.kept.RoundTrip(req)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("caller: look-up at %s: status %d", addr, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxRefusal)).Decode(&answer)
	if err == nil && len(answer.Instances) == 0 {
		err = fmt.Errorf("caller: look-up at %s: no instance", addr)
	}
	return answer, err
}

// Lookup returns the instances that the client would use, in order.
func (c *Client) Lookup(ctx context.Context, service string) (lookup.Answer, error) {
	l, err := c.list(ctx, service)
	if err != nil {
		return lookup.Answer{}, err
	}
	return l.answer, nil
}

func (c *Client) try(ctx context.Context, r Request, entry lookup.Entry, attempt int) (*http.Response, error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := build(traced, r, entry.Addr, attempt)
	if err != nil {
		return nil, err
	}
	transport := c.kept
	if r.Key != "" {
		// As between instances: no connection that may have gone stale.
		transport = c.fresh
	}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		return judge(resp)
	}
	if !connected.Load() {
		c.markDown(r.Service, entry.ID)
		return nil, &NotRunError{Reason: protocol.ReasonUnreachable, Detail: err.Error(), RetryAfter: time.Second}
	}
	if ctx.Err() != nil {
		return nil, &UnknownError{Reason: protocol.ReasonDeadline, Detail: err.Error(), RetryAfter: time.Second, Err: err}
	}
	c.markDown(r.Service, entry.ID)
	return nil, &UnknownError{Reason: protocol.ReasonLost, Detail: err.Error(), RetryAfter: time.Second, Err: err}
}

func (c *Client) markDown(service, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.lists[service]; l != nil {
		l.down[id] = time.Now().Add(avoidFor)
	}
}

func build(ctx context.Context, r Request, addr string, attempt int) (*http.Request, error) {
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
		req.Header.Set(protocol.HeaderKey, r.Key)
	}
	req.Header.Set(protocol.HeaderAttempt, strconv.Itoa(attempt))
	if r.EarlierUnknown {
		req.Header.Set(protocol.HeaderEarlier, retry.Unknown.String())
	}
	if deadline, ok := ctx.Deadline(); ok {
		protocol.SetDeadline(req.Header, time.Until(deadline))
	}
	if r.Length < 0 || r.Length > expectBytes {
		req.Header.Set("Expect", "100-continue")
	}
	return req, nil
}

// expectBytes is the length from which a body waits for the instance to take
// the request.
const expectBytes = 64 << 10

// judge turns an answer that the system gave by itself into an error.
func judge(resp *http.Response) (*http.Response, error) {
	outcome := retry.Parse(resp.Header.Get(protocol.HeaderOutcome))
	if outcome == retry.Ran && resp.Header.Get(protocol.HeaderTarget) != "" {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	var refusal protocol.Refusal
	err := json.NewDecoder(io.LimitReader(resp.Body, maxRefusal)).Decode(&refusal)
	if err != nil {
		refusal = protocol.Refusal{Outcome: outcome.String(), Reason: protocol.ReasonLost, Detail: fmt.Sprintf("status %d", resp.StatusCode)}
	}
	wait := protocol.RetryAfter(resp.Header)
	switch {
	case outcome == retry.NotRun:
		return nil, &NotRunError{Reason: refusal.Reason, Detail: refusal.Detail, RetryAfter: wait}
	case refusal.Reason == protocol.ReasonDone:
		return nil, &DoneError{Status: refusal.EarlierStatus}
	default:
		return nil, &UnknownError{Reason: refusal.Reason, Detail: refusal.Detail, RetryAfter: wait}
	}
}
