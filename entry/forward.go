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
	"github.com/rainford/rainford/internal/httpconn"
	"github.com/rainford/rainford/protocol"
	"github.com/rainford/rainford/retry"
)

// Transports holds the HTTP transports to targets and other instances.
type Transports struct {
	// pooled reuses connections. It sends requests that may be retried.
	pooled *httpconn.Transport
	// unpooled opens a connection for each request that must run at most once. On a reused
	// connection, which the other side may already have closed, the outcome of such a request
	// could be unknown without need. In addition, net/http sends a request again by itself only
	// on reused connections.
	unpooled *httpconn.Transport
}

const (
	dialTimeout = time.Second
	// idleConnTimeout is shorter than the time for which a stopping instance continues to
	// serve, so that no reused connection leads to an instance that has stopped.
	idleConnTimeout = 2 * time.Second
	// expectTimeout bounds the wait for the 100 Continue status before a large body is sent.
	expectTimeout          = 2 * time.Second
	maxResponseHeaderBytes = 64 << 10
	maxConnsPerTarget      = 130
	copyBufferBytes        = 32 << 10
)

// Dialer opens connections, as net.Dialer.DialContext does.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// NewTransports returns the transports with their time-outs and limits set. If dial is nil, connections
// are opened as usual.
func NewTransports(dial Dialer) *Transports {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	base := http.Transport{
		DialContext:            dial,
		IdleConnTimeout:        idleConnTimeout,
		ExpectContinueTimeout:  expectTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		MaxIdleConnsPerHost:    maxConnsPerTarget,
		DisableCompression:     true,
	}
	kept := base.Clone()
	fresh := base.Clone()
	fresh.DisableKeepAlives = true
	return &Transports{pooled: httpconn.NewTransport(kept), unpooled: httpconn.NewTransport(fresh)}
}

// Close closes idle connections.
func (t *Transports) Close() {
	t.pooled.CloseIdleConnections()
	t.unpooled.CloseIdleConnections()
}

// attempt is an attempt to get a response from a target or another instance.
type attempt struct {
	evidence  retry.Evidence
	resp      *http.Response
	err       error
	watchdog  *stallWatchdog
	startedAt time.Time
	// latency is the time until the response headers arrived. It is 0 for a large body, whose
	// transfer time depends on its sender.
	latency time.Duration
}

// close closes the response body and stops the watchdog.
func (a *attempt) close() {
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	a.watchdog.stop()
}

// unreachable reports whether no connection could be opened.
func (a *attempt) unreachable() bool { return !a.evidence.Connected }

// stallWatchdog cancels a context when no bytes have been transferred for the time-out.
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

// reset restarts the time-out after a transfer of bytes.
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

// send sends the request of an exchange to addr. It returns when the response headers have
// arrived or the attempt has failed.
func (t *Transports) send(ex *Exchange, addr, path string, setHeaders func(http.Header), stallTimeout time.Duration) *attempt {
	ctx, watchdog := newStallWatchdog(ex.r.Context(), stallTimeout)
	a := &attempt{watchdog: watchdog, startedAt: time.Now()}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	if !ex.body.large() {
		// The deadline bounds a request with a small body. A large body may take longer, as
		// long as its transfer makes progress.
		deadlineTimer := time.AfterFunc(time.Until(ex.Deadline), watchdog.cancel)
		defer deadlineTimer.Stop()
	}
	req, err := t.newRequest(ctx, ex, addr, path, watchdog)
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

func (t *Transports) transportFor(ex *Exchange) *httpconn.Transport {
	if ex.Service.NonIdempotent {
		return t.unpooled
	}
	return t.pooled
}

func evidenceOf(connected bool, resp *http.Response) retry.Evidence {
	e := retry.Evidence{Connected: connected, Answered: resp != nil}
	if resp != nil {
		e.Refused = resp.Header.Get(protocol.HeaderNotRun) == protocol.FlagSet
	}
	return e
}

func (t *Transports) newRequest(ctx context.Context, ex *Exchange, addr, path string, watchdog *stallWatchdog) (*http.Request, error) {
	// The type of src is unknown to net/http, so that it does not set GetBody and cannot send
	// the body again.
	src, err := ex.body.open(watchdog.reset)
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

// copyHeader copies the end-to-end headers, that is, without those of the connection.
func copyHeader(dst, src http.Header) {
	for name, values := range forward.EndToEndHeaders(src) {
		dst[name] = append([]string(nil), values...)
	}
}

// relay copies the response to the caller. It returns false if the response broke off, on
// either side.
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
