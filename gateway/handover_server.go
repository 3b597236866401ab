package gateway

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/protocol"
	"github.com/rainford/rainford/retry"
)

const (
	// A helper takes requests for other instances as long as it has fewer of them than
	// minHandoverRoom, or than handoverShare times the requests of its own clients.
	minHandoverRoom = 32
	handoverShare   = 2
	// maxHandoverBytes bounds the bodies of the requests that a helper has for other instances.
	maxHandoverBytes = 32 << 20
)

// Errors of requests that are no valid handovers.
var (
	errHandoverSecret    = errors.New("the secret of the instances is missing or wrong")
	errHandoverID        = errors.New("the request ID is missing")
	errHandoverAttempts  = errors.New("the number of attempts is missing or not positive")
	errHandoverVersion   = errors.New("the version of the configuration is missing or malformed")
	errHandoverLength    = errors.New("the length of the body is missing")
	errHandoverDeadline  = errors.New("the deadline is missing or malformed")
	errHandoverRecipient = errors.New("the request is for another instance")
)

// handoverRequest describes a request that another instance has handed over to this one.
type handoverRequest struct {
	// from is the name of the other instance, and version that of its configuration.
	from    string
	version catalog.Version
	// attempts is the number of times that the request may be sent to targets, and sent the number of
	// times that it was.
	attempts, sent int
}

// recordProgress records how often the request was sent, for the instance that handed it over.
func (ex *exchange) recordProgress(state progress) {
	if ex.handover == nil {
		return
	}
	ex.handover.sent = state.sent
	if ex.answered {
		ex.handover.sent++
	}
}

// parseHandoverRequest returns the handover that a request between instances describes.
func (g *Gateway) parseHandoverRequest(r *http.Request) (*handoverRequest, error) {
	if !g.mesh.HasSecret(r.Header) {
		return nil, errHandoverSecret
	}
	if r.Header.Get(g.headers.Expected) != g.config.Name {
		return nil, errHandoverRecipient
	}
	if r.Header.Get(g.headers.RequestID) == "" {
		return nil, errHandoverID
	}
	attempts, err := strconv.Atoi(r.Header.Get(headerAttempts))
	if err != nil || attempts < 1 {
		return nil, errHandoverAttempts
	}
	version, err := strconv.ParseInt(r.Header.Get(protocol.HeaderConfig), 10, 64)
	if err != nil {
		return nil, errHandoverVersion
	}
	deadline, err := strconv.ParseInt(r.Header.Get(g.headers.Deadline), 10, 64)
	if err != nil || deadline < 1 {
		return nil, errHandoverDeadline
	}
	if r.ContentLength < 0 {
		return nil, errHandoverLength
	}
	return &handoverRequest{from: r.Header.Get(headerHandedOverBy), version: catalog.Version(version), attempts: attempts}, nil
}

// serveHandover serves a request that another instance hands over.
func (g *Gateway) serveHandover(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	handover, err := g.parseHandoverRequest(r)
	if err != nil {
		g.rejectHandover(w, r, err)
		return
	}
	for _, name := range handoverRequestHeaders {
		delete(r.Header, name)
	}
	ex := &exchange{w: w, r: r, ctx: r.Context(), start: g.clock.Now(), id: r.Header.Get(g.headers.RequestID), handover: handover, memory: g.bodyMemory.Lease()}
	defer ex.memory.Release()
	if !g.handovers.enter(r.ContentLength, g.inFlight.Load()) {
		g.finishHandover(ex, notRunResult(reasonHelperFull, shortRetryAfter), nil)
		return
	}
	defer g.handovers.leave(r.ContentLength)
	result, resp := g.serveForOther(ex)
	g.finishHandover(ex, result, resp)
}

// rejectHandover answers a request that is no valid handover.
func (g *Gateway) rejectHandover(w http.ResponseWriter, r *http.Request, err error) {
	g.log.Warn(logHandoverRejected, "addr", r.RemoteAddr, "from", r.Header.Get(headerHandedOverBy), "error", err.Error())
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errHandoverSecret):
		status = http.StatusForbidden
	case errors.Is(err, errHandoverRecipient):
		status = http.StatusMisdirectedRequest
	}
	w.Header().Set(protocol.HeaderOutcome, retry.NotRun.String())
	if id := r.Header.Get(g.headers.RequestID); id != "" {
		w.Header().Set(g.headers.RequestID, id)
	}
	http.Error(w, err.Error(), status)
}

// serveForOther sends a request of another instance to targets. The other instance has checked the
// account and its rate limit.
func (g *Gateway) serveForOther(ex *exchange) (requestResult, *forward.Response) {
	router := g.router.Load()
	switch {
	case g.refusing.Load():
		return notRunResult(reasonStopping, defaultRetryAfter), nil
	case g.reach.isLost():
		return notRunResult(reasonTargetsLost, defaultRetryAfter), nil
	case router == nil || router.Config().Version < ex.handover.version:
		return notRunResult(reasonConfigOutdated, defaultRetryAfter), nil
	}
	ex.uri = requestURI(ex.r)
	path, _, _ := strings.Cut(ex.uri, "?")
	ex.route = router.Find(ex.r.Host, path)
	ex.version = router.Config().Version
	if ex.route == nil {
		return notRunResult("no-route", defaultRetryAfter), nil
	}
	ex.service = ex.route.ServiceFor(ex.id)
	ex.deadline = ex.start.Add(g.timeLimit(ex))
	if name := ex.r.Header.Get(g.headers.Account); name != "" {
		ex.account = router.AccountNamed(name)
		if ex.account == nil {
			return notRunResult(reasonKeyRevoked, defaultRetryAfter), nil
		}
	}
	var ok bool
	ex.homeRegions, ok = catalog.HomeRegions(ex.route, ex.account)
	if !ok {
		return notRunResult(reasonNoCommonHome, noCommonHomeRetryAfter), nil
	}
	result, ok := g.readBody(ex, router.Config().Limits)
	if !ok {
		return result, nil
	}
	return g.run(ex)
}

// finishHandover sends the response to the instance that has handed the request over, and logs it.
func (g *Gateway) finishHandover(ex *exchange, result requestResult, resp *forward.Response) {
	status, outcome := result.status, outcomeOfStatus(result.status)
	_ = http.NewResponseController(ex.w).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	left := ex.ctx.Err() != nil || result.reason == reasonClientLeft
	if left {
		status, result.reason = 0, reasonClientLeft
	}
	if resp != nil && !left {
		status, outcome = resp.Status, retry.Ran
	}
	g.metrics.handover(handoverIn, outcome)
	g.recordRequest(ex, status, result.reason)
	switch {
	case left:
		panic(http.ErrAbortHandler)
	case resp != nil:
		setHandoverHeaders(resp.Header, ex, outcome, result)
		resp.Header.Set(g.headers.RequestID, ex.id)
		g.relayResponse(ex, resp)
	default:
		setHandoverHeaders(ex.w.Header(), ex, outcome, result)
		g.writeRefusal(ex, requestResult{status: status})
	}
}

// outcomeOfStatus returns the outcome that a status says of a request that this instance has ended.
func outcomeOfStatus(status int) retry.Outcome {
	if hasNotRun(status) {
		return retry.NotRun
	}
	return retry.Unknown
}

// setHandoverHeaders sets the headers by which a helper tells the outcome of a request.
func setHandoverHeaders(h http.Header, ex *exchange, outcome retry.Outcome, result requestResult) {
	h.Set(protocol.HeaderOutcome, outcome.String())
	h.Set(headerAttempts, strconv.Itoa(ex.handover.sent))
	h.Set(headerReason, result.reason)
	if n := len(ex.attempts); n > 0 {
		h.Set(protocol.HeaderTarget, ex.attempts[n-1].Target)
		h.Set(protocol.HeaderRegion, ex.attempts[n-1].Region)
	}
	if result.retryAfter > 0 {
		h.Set(headerRetryAfter, strconv.FormatFloat(result.retryAfter.Seconds(), 'f', 3, 64))
	}
}

// handoverRoom bounds the requests that this instance has for other instances. It is safe for
// concurrent use.
type handoverRoom struct {
	mu       sync.Mutex
	requests int
	bytes    int64
}

// enter admits a request with a body of the given length. The argument inFlight is the number of all
// requests that this instance has. The caller must call leave after a result of true.
func (r *handoverRoom) enter(length, inFlight int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := int(inFlight) - r.requests
	if r.requests >= max(minHandoverRoom, handoverShare*own) || r.bytes+length > maxHandoverBytes {
		return false
	}
	r.requests++
	r.bytes += length
	return true
}

func (r *handoverRoom) leave(length int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests--
	r.bytes -= length
}
