package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/quarantine"
	"github.com/rainford/rainford/ratelimit"
	"github.com/rainford/rainford/retry"
)

const (
	// maxHeaderBytes bounds the head of a request whatever the configuration
	// allows.
	maxHeaderBytes = 64 << 10
	// responseMargin is how much earlier than the client's deadline the answer
	// is sent.
	responseMargin = 10 * time.Millisecond
	// defaultRetryAfter is told where nothing better is known.
	defaultRetryAfter = 300 * time.Millisecond
)

// exchange is one request of a client.
type exchange struct {
	w     http.ResponseWriter
	r     *http.Request
	ctx   context.Context
	id    string
	start time.Time
	// deadline is when the answer has to be there.
	deadline time.Time
	route    *catalog.Route
	version  catalog.Version
	service  string
	// account is the client account, nil for none, and homes are the regions that may
	// serve the request, empty for any.
	account     *catalog.Account
	homeRegions []string
	// permit is the right to one request of the account, if it is limited, and
	// permitWait how long it took to have it.
	permit      permit
	permitWait  time.Duration
	limitResult ratelimit.Result
	body        []byte
	uri         string
	attempts    []attemptRecord
	// digest is that of the content, zero until it is needed. Trial is what the request is
	// sent to find out about, if targets end under it: its content, or the unknown requests
	// of its account; zero if it is sent like any other.
	digest quarantine.Digest
	trial  quarantine.Digest
	// coordinator is the instance that granted the trial, and broken says that the trial was
	// broken off.
	coordinator fleet.Member
	interrupted bool
	// answered says that a target has answered the request, and heldAsAccount that it was
	// held back for others of its account.
	answered, heldForAccount bool
}

// attemptRecord is what became of one attempt, for the log.
type attemptRecord struct {
	Target string `json:"target"`
	Region string `json:"region"`
	Reason string `json:"reason"`
	// Load is the requests expected at the target, over its slots.
	Load    float64 `json:"load"`
	Outcome string  `json:"outcome"`
	Reused  bool    `json:"reused,omitempty"`
	Error   string  `json:"error,omitempty"`
	TookMs  int64   `json:"took_ms"`
	// Leaving, RestMs and Limit, nil for none, are what the target said of itself.
	Leaving   bool  `json:"leaves,omitempty"`
	BackoffMs int64 `json:"rest_ms,omitempty"`
	// Limit is in requests a second.
	Limit *float64 `json:"limit_per_s,omitempty"`
}

// requestResult is the final answer of a request that no target has answered.
type requestResult struct {
	status     int
	reason     string
	retryAfter time.Duration
	// closeConn ends the client's connection after the answer.
	closeConn bool
}

// ServeHTTP takes a request of a client.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	ex := &exchange{w: w, r: r, ctx: r.Context(), start: g.clock.Now(), id: r.Header.Get(g.headers.RequestID)}
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	v, resp := g.serve(ex)
	g.finish(ex, v, resp)
}

// serve finds the route, reads the body and has the request run.
func (g *Gateway) serve(ex *exchange) (requestResult, *forward.Response) {
	if g.refusing.Load() {
		return requestResult{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: defaultRetryAfter, closeConn: true}, nil
	}
	g.awaitReady(ex.ctx, g.clientTimeout(ex.r))
	router := g.router.Load()
	if router == nil {
		return requestResult{status: http.StatusServiceUnavailable, reason: "no-configuration", retryAfter: defaultRetryAfter, closeConn: true}, nil
	}
	limits := router.Config().Limits
	if limits.HeaderBytes > 0 && headerBytes(ex.r) > limits.HeaderBytes {
		return requestResult{status: http.StatusRequestHeaderFieldsTooLarge, reason: "head-too-large", closeConn: true}, nil
	}
	ex.uri = requestURI(ex.r)
	path, _, _ := strings.Cut(ex.uri, "?")
	ex.route = router.Find(ex.r.Host, path)
	ex.version = router.Config().Version
	if ex.route == nil {
		return requestResult{status: http.StatusNotFound, reason: "no-route"}, nil
	}
	ex.service = ex.route.ServiceFor(ex.id)
	ex.deadline = ex.start.Add(g.timeLimit(ex))
	v, ok := g.identify(ex, router)
	if !ok {
		return v, nil
	}
	if ex.r.ContentLength == 0 {
		// A permit would lapse while the request waits.
		v, ok = ex.awaitPipelineTurn()
		if !ok {
			return v, nil
		}
	}
	v, ok = g.admit(ex)
	if !ok {
		return v, nil
	}
	v, ok = g.readBody(ex, limits)
	if !ok {
		return v, nil
	}
	v, ok = ex.awaitPipelineTurn()
	if !ok {
		return v, nil
	}
	return g.run(ex)
}

// requestURI returns the path and query as the client sent them.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	u, err := url.ParseRequestURI(r.RequestURI)
	if err != nil {
		return r.URL.RequestURI()
	}
	return u.RequestURI()
}

// timeLimit returns how long a request may take: what the client waits, and no
// longer than the route allows.
func (g *Gateway) timeLimit(ex *exchange) time.Duration {
	limit := g.clientTimeout(ex.r)
	if ex.route.Timeout > 0 {
		limit = min(limit, ex.route.Timeout)
	}
	return limit
}

// clientTimeout returns how long the client waits for the answer, less the way back.
func (g *Gateway) clientTimeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(g.headers.Deadline), 10, 64)
	if err != nil || ms <= 0 {
		return g.config.DefaultDeadline
	}
	return time.Duration(ms)*time.Millisecond - responseMargin
}

// readBody reads the whole body, so that it can be sent again.
func (g *Gateway) readBody(ex *exchange, limits catalog.Limits) (requestResult, bool) {
	most := limits.BodyBytes
	if most <= 0 {
		most = defaultMaxBodyBytes
	}
	if ex.r.ContentLength > most {
		return requestResult{status: http.StatusRequestEntityTooLarge, reason: "body-too-large", closeConn: true}, false
	}
	if ex.r.ContentLength == 0 {
		return requestResult{}, true
	}
	control := http.NewResponseController(ex.w)
	_ = control.SetReadDeadline(g.clock.System(ex.deadline))
	body, err := readAll(http.MaxBytesReader(ex.w, ex.r.Body, most), ex.r.ContentLength)
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		ex.body = body
		return requestResult{}, true
	case errors.As(err, &tooLarge):
		return requestResult{status: http.StatusRequestEntityTooLarge, reason: "body-too-large", closeConn: true}, false
	case !g.clock.Now().Before(ex.deadline):
		return requestResult{status: http.StatusRequestTimeout, reason: "body-late", closeConn: true}, false
	default:
		return requestResult{status: http.StatusBadRequest, reason: "body-broken", closeConn: true}, false
	}
}

// defaultMaxBodyBytes bounds bodies where the configuration does not.
const defaultMaxBodyBytes = 64 << 20

// maxPreallocatedBody bounds the memory taken for a body that has not arrived.
const maxPreallocatedBody = 512 << 10

func readAll(r io.Reader, length int64) ([]byte, error) {
	if length > 0 && length <= maxPreallocatedBody {
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	return io.ReadAll(r)
}

// finish sends the final answer and logs what decided it.
func (g *Gateway) finish(ex *exchange, v requestResult, resp *forward.Response) {
	status := v.status
	_ = http.NewResponseController(ex.w).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	switch {
	case ex.ctx.Err() != nil || v.reason == reasonClientLeft:
		status, v.reason = 0, reasonClientLeft
	case resp != nil:
		status = resp.Status
		g.relayResponse(ex, resp)
	default:
		g.writeRefusal(ex, v)
	}
	if resp == nil && hasNotRun(status) {
		g.accountPermits.release(ex.permit)
	}
	g.recordRequest(ex, status, v.reason)
	if status == 0 {
		// No answer may look like one to the request.
		panic(http.ErrAbortHandler)
	}
}

func (g *Gateway) relayResponse(ex *exchange, resp *forward.Response) {
	h := ex.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	if _, ok := resp.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	ex.w.WriteHeader(resp.Status)
	if ex.r.Method != http.MethodHead {
		_, _ = ex.w.Write(resp.Body)
	}
}

func (g *Gateway) writeRefusal(ex *exchange, v requestResult) {
	h := ex.w.Header()
	if ex.id != "" {
		h.Set(g.headers.RequestID, ex.id)
	}
	if v.retryAfter > 0 {
		h.Set(g.headers.RetryAfter, strconv.FormatFloat(v.retryAfter.Seconds(), 'f', 2, 64))
	}
	if v.closeConn {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", "0")
	ex.w.WriteHeader(v.status)
}

// recordRequest counts and logs a request: each failure and each repeat, and a sample
// of the rest, by the request's ID, so that all instances log the same ones.
func (g *Gateway) recordRequest(ex *exchange, status int, reason string) {
	took := g.clock.Since(ex.start)
	g.metrics.request(ex, status, reason, took)
	ordinary := status/100 == 2 && len(ex.attempts) == 1
	if ordinary && !isSampled(ex.id, g.config.LogSample) {
		return
	}
	level := slog.LevelInfo
	if !ordinary && !isCallerError(status) {
		level = slog.LevelWarn
	}
	g.log.LogAttrs(context.Background(), level, logRequest, append(append(ex.limitAttrs(), ex.contentAttrs()...),
		slog.String("request_id", ex.id),
		slog.String("account", accountName(ex.account)),
		slog.String("route", routeName(ex.route)),
		slog.String("service", ex.service),
		slog.String("key", ex.r.Header.Get(g.headers.Key)),
		slog.Int64("config", int64(ex.version)),
		slog.Int64("news_age_ms", g.contactAge(g.clock.Now()).Milliseconds()),
		slog.Int("status", status),
		slog.String("reason", reason),
		slog.Int64("budget_ms", ex.budget().Milliseconds()),
		slog.Int64("objective_ms", objective(ex.route).Milliseconds()),
		slog.Int64("took_ms", took.Milliseconds()),
		slog.Any("attempts", ex.attempts))...)
}

// limitAttrs says how the limit of the request's account decided, if it has one.
func (ex *exchange) limitAttrs() []slog.Attr {
	if !ex.account.HasRateLimit() {
		return nil
	}
	attrs := []slog.Attr{slog.Int64("permit_ms", ex.permitWait.Milliseconds())}
	if ex.limitResult.Decision == ratelimit.Admit {
		return attrs
	}
	return append(attrs, slog.String("limit_owner", ex.limitResult.Owner),
		slog.Float64("sent_per_s", ex.limitResult.RequestRate), slog.Float64("permits_per_s", ex.limitResult.PermitRate),
		slog.Int64("retry_after_ms", ex.limitResult.RetryAfter.Milliseconds()))
}

// contentAttrs says which request this is the same as, if it was broken off at a target or
// was looked up among those that end targets: these come again under another ID.
func (ex *exchange) contentAttrs() []slog.Attr {
	broken := slices.ContainsFunc(ex.attempts, func(h attemptRecord) bool { return h.Outcome == retry.Unknown.String() })
	if !broken && !ex.heldForAccount && ex.digest == (quarantine.Digest{}) {
		return nil
	}
	attrs := []slog.Attr{slog.String("content", ex.contentDigest().String())}
	if ex.heldForAccount {
		attrs = append(attrs, slog.String("held_as", quarantine.AccountDigest(ex.account.Name).String()))
	}
	return attrs
}

// content is what a target is given to work on.
func (ex *exchange) content() quarantine.Content {
	return quarantine.Content{Account: accountName(ex.account), Method: ex.r.Method, Host: ex.r.Host, URI: ex.uri, Body: ex.body}
}

// hasNotRun tells whether a request that this instance ended with a status has certainly
// not run.
func hasNotRun(status int) bool {
	return status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout
}

// isCallerError tells whether a status says that an account has no key or has sent too much.
// Lines on these never take the place of those on failures: anyone can bring them about
// by the thousand.
func isCallerError(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusTooManyRequests
}

// accountName returns the name of a client account, "" if there is none.
func accountName(a *catalog.Account) string {
	if a == nil {
		return ""
	}
	return a.Name
}

// budget returns the time that the request had from its start, 0 if it ended before it was
// known.
func (ex *exchange) budget() time.Duration {
	if ex.deadline.IsZero() {
		return 0
	}
	return ex.deadline.Sub(ex.start)
}

// objective returns the time within which answers of a route should come, 0 if it has
// none or there is no route.
func objective(route *catalog.Route) time.Duration {
	if route == nil {
		return 0
	}
	return route.LatencyObjective
}

// outcomeClass is the class of a final status, for the metrics.
func outcomeClass(status int) string {
	switch {
	case status == 0:
		return "client-left"
	case status/100 == 2:
		return "ok"
	case status == http.StatusServiceUnavailable:
		return "refused"
	case isCallerError(status):
		return "turned-away"
	default:
		return "failed"
	}
}
