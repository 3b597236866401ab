package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/protocol"
	"github.com/rainford/rainford/retry"
)

// Transports are the connections to targets and to other instances.
type Transports struct {
	// pooled reuses connections. It serves requests that may be retried.
	pooled *http.Transport
	// unpooled opens a connection for each request, so that a once-only request
	// never meets one that the other side has closed already: its outcome
	// would be unknown without need. It also keeps net/http from repeating a
	// request by itself, which it does on reused connections only.
	unpooled *http.Transport
}

const (
	dialTimeout = time.Second
	// idleConnTimeout is below the time that a stopping instance lingers, so
	// that no reused connection leads to an instance that has gone.
	idleConnTimeout = 2 * time.Second
	// expectTimeout is how long a large body waits for the other side to
	// take the request.
	expectTimeout          = 2 * time.Second
	maxResponseHeaderBytes = 64 << 10
	maxConnsPerTarget      = 130
	copyBufferBytes        = 32 << 10
)

// NewTransports returns transports with the project's settings.
func NewTransports() *Transports {
	base := http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:        idleConnTimeout,
		ExpectContinueTimeout:  expectTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		MaxIdleConnsPerHost:    maxConnsPerTarget,
		DisableCompression:     true,
	}
	kept := base.Clone()
	fresh := base.Clone()
	fresh.DisableKeepAlives = true
	return &Transports{pooled: kept, unpooled: fresh}
}

// Close ends idle connections.
func (t *Transports) Close() {
	t.pooled.CloseIdleConnections()
	t.unpooled.CloseIdleConnections()
}

// attempt is one try to have a request answered by another process.
type attempt struct {
	evidence  retry.Evidence
	resp      *http.Response
	err       error
	watchdog  *stallWatchdog
	startedAt time.Time
	// latency is the time to the head of the answer, or 0 for a large body:
	// that takes as long as its sender does.
	latency time.Duration
}

// close ends the attempt.
func (a *attempt) close() {
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	a.watchdog.stop()
}

// unreachable tells whether no connection could be had.
func (a *attempt) unreachable() bool { return !a.evidence.Connected }

// stallWatchdog cancels a context when nothing has moved for a while.
type stallWatchdog struct {
	cancel  context.CancelFunc
	timer   *time.Timer
	timeout time.Duration
	stopped atomic.Bool
}

func newStallWatchdog(parent context.Context, limit time.Duration) (context.Context, *stallWatchdog) {
	ctx, cancel := context.WithCancel(parent)
	w := &stallWatchdog{cancel: cancel, timeout: limit}
	w.timer = time.AfterFunc(limit, cancel)
	return ctx, w
}

// reset says that something has moved.
func (w *stallWatchdog) reset() {
	if !w.stopped.Load() {
		w.timer.Reset(w.timeout)
	}
}

func (w *stallWatchdog) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
	w.cancel()
}

// send sends the exchange's request to addr and returns with the head of the
// answer, or without one.
func (t *Transports) send(ex *Exchange, addr, path string, setHeaders func(http.Header), stall time.Duration) *attempt {
	ctx, watch := newStallWatchdog(ex.r.Context(), stall)
	a := &attempt{watchdog: watch, startedAt: time.Now()}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	if !ex.body.large() {
		// A small request has its deadline; a large one goes on as long
		// as it moves.
		limit := time.AfterFunc(time.Until(ex.Deadline), watch.cancel)
		defer limit.Stop()
	}
	req, err := t.newRequest(ctx, ex, addr, path, watch)
	if err != nil {
		a.err = err
		return a
	}
	setHeaders(req.Header)
	a.resp, a.err = t.transportFor(ex).RoundTrip(req)
	if !ex.body.large() {
		a.latency = time.Since(a.startedAt)
	}
	a.evidence = evidenceOf(connected.Load(), a.resp)
	return a
}

func (t *Transports) transportFor(ex *Exchange) *http.Transport {
	if ex.Service.NonIdempotent {
		return t.unpooled
	}
	return t.pooled
}

func evidenceOf(connected bool, resp *http.Response) retry.Evidence {
	e := retry.Evidence{Connected: connected, Answered: resp != nil}
	if resp != nil {
		e.Refused = resp.Header.Get(protocol.HeaderNotRun) == protocol.HeaderSet
	}
	return e
}

func (t *Transports) newRequest(ctx context.Context, ex *Exchange, addr, path string, watch *stallWatchdog) (*http.Request, error) {
	// The body hides its type, so that net/http has no GetBody.
	src, err := ex.body.open(watch.reset)
	if err != nil {
		return nil, err
	}
	url := "http://" + addr + path
	if ex.r.URL.RawQuery != "" {
		url += "?" + ex.r.URL.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, ex.r.Method, url, src)
	if err != nil {
		return nil, err
	}
	req.ContentLength = ex.body.length
	if ex.body.length == 0 && !ex.Service.NonIdempotent {
		req.Body = http.NoBody
	}
	copyHeader(req.Header, ex.r.Header)
	req.Header.Set(protocol.HeaderRequestID, ex.ID)
	protocol.SetDeadline(req.Header, time.Until(ex.Deadline))
	if ex.body.large() {
		req.Header.Set("Expect", "100-continue")
	}
	return req, nil
}

// copyHeader copies the headers that are not of the connection.
func copyHeader(dst, src http.Header) {
	for name, values := range forward.EndToEndHeaders(src) {
		dst[name] = append([]string(nil), values...)
	}
}

// relay passes the answer on to the caller. It returns false when the answer
// broke midway, whichever side broke it.
func relay(ex *Exchange, a *attempt, setHeaders func(http.Header)) bool {
	h := ex.w.Header()
	copyHeader(h, a.resp.Header)
	if a.resp.ContentLength >= 0 {
		h["Content-Length"] = a.resp.Header["Content-Length"]
	}
	setHeaders(h)
	ex.w.WriteHeader(a.resp.StatusCode)
	if ex.r.Method == http.MethodHead {
		return true
	}
	control := http.NewResponseController(ex.w)
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := a.resp.Body.Read(buf)
		a.watchdog.reset()
		if n > 0 {
			_, writeErr := ex.w.Write(buf[:n])
			if writeErr != nil {
				return false
			}
			a.watchdog.reset()
		}
		if errors.Is(err, io.EOF) {
			return true
		}
		if err != nil {
			return false
		}
		if n > 0 && a.resp.ContentLength < 0 {
			_ = control.Flush()
		}
	}
}
