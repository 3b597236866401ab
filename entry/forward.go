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
	// kept reuses connections. It serves requests that may be retried.
	kept *http.Transport
	// fresh opens a connection for each request, so that a once-only request
	// never meets one that the other side has closed already: its outcome
	// would be unknown without need. It also keeps net/http from repeating a
	// request by itself, which it does on reused connections only.
	fresh *http.Transport
}

const (
	dialTimeout = time.Second
	// idleConnTimeout is below the time that a stopping instance lingers, so
	// that no reused connection leads to an instance that has gone.
	idleConnTimeout = 2 * time.Second
	// expectTimeout is how long a large body waits for the other side to
	// take the request.
	expectTimeout     = 2 * time.Second
	maxAnswerHead     = 64 << 10
	maxConnsPerTarget = 130
	copyBytes         = 32 << 10
)

// NewTransports returns transports with the project's settings.
func NewTransports() *Transports {
	base := http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:        idleConnTimeout,
		ExpectContinueTimeout:  expectTimeout,
		MaxResponseHeaderBytes: maxAnswerHead,
		MaxIdleConnsPerHost:    maxConnsPerTarget,
		DisableCompression:     true,
	}
	kept := base.Clone()
	fresh := base.Clone()
	fresh.DisableKeepAlives = true
	return &Transports{kept: kept, fresh: fresh}
}

// Close ends idle connections.
func (t *Transports) Close() {
	t.kept.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
}

// attempt is one try to have a request answered by another process.
type attempt struct {
	evidence retry.Evidence
	resp     *http.Response
	err      error
	watch    *stallWatch
	began    time.Time
	// latency is the time to the head of the answer, or 0 for a large body:
	// that takes as long as its sender does.
	latency time.Duration
}

// close ends the attempt.
func (a *attempt) close() {
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	a.watch.stop()
}

// unreachable tells whether no connection could be had.
func (a *attempt) unreachable() bool { return !a.evidence.Connected }

// stallWatch cancels a context when nothing has moved for a while.
type stallWatch struct {
	cancel context.CancelFunc
	timer  *time.Timer
	limit  time.Duration
	ended  atomic.Bool
}

func newStallWatch(parent context.Context, limit time.Duration) (context.Context, *stallWatch) {
	ctx, cancel := context.WithCancel(parent)
	w := &stallWatch{cancel: cancel, limit: limit}
	w.timer = time.AfterFunc(limit, cancel)
	return ctx, w
}

// touch says that something has moved.
func (w *stallWatch) touch() {
	if !w.ended.Load() {
		w.timer.Reset(w.limit)
	}
}

func (w *stallWatch) stop() {
	w.ended.Store(true)
	w.timer.Stop()
	w.cancel()
}

// send sends the exchange's request to addr and returns with the head of the
// answer, or without one.
func (t *Transports) send(ex *Exchange, addr, path string, mark func(http.Header), stall time.Duration) *attempt {
	ctx, watch := newStallWatch(ex.r.Context(), stall)
	a := &attempt{watch: watch, began: time.Now()}
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
	req, err := t.request(ctx, ex, addr, path, watch)
	if err != nil {
		a.err = err
		return a
	}
	mark(req.Header)
	a.resp, a.err = t.of(ex).RoundTrip(req)
	if !ex.body.large() {
		a.latency = time.Since(a.began)
	}
	a.evidence = evidenceOf(connected.Load(), a.resp)
	return a
}

func (t *Transports) of(ex *Exchange) *http.Transport {
	if ex.Service.NonIdempotent {
		return t.fresh
	}
	return t.kept
}

func evidenceOf(connected bool, resp *http.Response) retry.Evidence {
	e := retry.Evidence{Connected: connected, Answered: resp != nil}
	if resp != nil {
		e.Refused = resp.Header.Get(protocol.HeaderNotRun) == protocol.HeaderSet
	}
	return e
}

func (t *Transports) request(ctx context.Context, ex *Exchange, addr, path string, watch *stallWatch) (*http.Request, error) {
	// The body hides its type, so that net/http has no GetBody.
	src, err := ex.body.open(watch.touch)
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
func relay(ex *Exchange, a *attempt, mark func(http.Header)) bool {
	h := ex.w.Header()
	copyHeader(h, a.resp.Header)
	if a.resp.ContentLength >= 0 {
		h["Content-Length"] = a.resp.Header["Content-Length"]
	}
	mark(h)
	ex.w.WriteHeader(a.resp.StatusCode)
	if ex.r.Method == http.MethodHead {
		return true
	}
	control := http.NewResponseController(ex.w)
	buf := make([]byte, copyBytes)
	for {
		n, err := a.resp.Body.Read(buf)
		a.watch.touch()
		if n > 0 {
			_, writeErr := ex.w.Write(buf[:n])
			if writeErr != nil {
				return false
			}
			a.watch.touch()
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
