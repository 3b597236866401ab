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
	"github.com/rainford/rainford/internal/membudget"
	"github.com/rainford/rainford/internal/refusal"
	"github.com/rainford/rainford/quarantine"
	"github.com/rainford/rainford/ratelimit"
	"github.com/rainford/rainford/retry"
)

const (
	// maxHeaderBytes bounds the header of a request, whatever the configuration allows.
	maxHeaderBytes = 64 << 10
	// responseMargin is subtracted from the client's timeout to leave time for the response to
	// reach the client.
	responseMargin = 10 * time.Millisecond
	// defaultRetryAfter is the Retry-After of a refusal for which no better estimate exists.
	defaultRetryAfter = 300 * time.Millisecond
)

// exchange is one request of a client, from its arrival to the response, with all attempts at
// targets.
type exchange struct {
	w     http.ResponseWriter
	r     *http.Request
	ctx   context.Context
	id    string
	start time.Time
	// deadline is the time by which the response has to be sent.
	deadline time.Time
	route    *catalog.Route
	version  catalog.Version
	service  string
	// account is the client account, nil if there is none. homeRegions are the regions that may
	// serve the request; an empty list allows any region.
	account     *catalog.Account
	homeRegions []string
	// permit is the right to one request under the account's rate limit, if it has one. permitWait
	// is the time spent on acquiring it.
	permit      permit
	permitWait  time.Duration
	limitResult ratelimit.Result
	body        []byte
	uri         string
	attempts    []attemptRecord
	// digest is the digest of the request's content. It is zero until it is needed. trial is the
	// digest under test if the request is sent as a trial, to find out whether it crashes targets:
	// that of the request's content, or that of its account, which stands for the account's
	// requests that were not answered before. It is zero for other requests.
	digest quarantine.Digest
	trial  quarantine.Digest
	// coordinator is the instance that granted the trial, and trialNumber that of the request to it.
	// interrupted is true if an attempt's connection broke before the response.
	coordinator fleet.Member
	trialNumber uint64
	interrupted bool
	// answered is true if a target has answered the request. heldForAccount is true if the request
	// was refused because other requests of its account crash targets.
	answered, heldForAccount bool
	// hedge is the attempt that may be hedged. hedgeTried is true once the delay of an attempt has passed.
	// There is at most one hedge for a request.
	hedge      hedgedAttempt
	hedgeTried bool
	// handover is set if another instance has handed the request over to this one.
	handover *handoverRequest
	// memory is the memory for the bodies of responses to the request.
	memory *membudget.Lease
}

// attemptRecord describes one attempt in the request's log line.
type attemptRecord struct {
	Target string `json:"target"`
	Region string `json:"region"`
	Reason string `json:"reason"`
	// Helper is the instance that the request was handed over to, and HelperReason why it did not
	// return a response of a target.
	Helper       string `json:"helper,omitempty"`
	HelperReason string `json:"helper_reason,omitempty"`
	// Load is the number of requests expected at the target, divided by its slots.
	Load    float64 `json:"load"`
	Outcome string  `json:"outcome"`
	Reused  bool    `json:"reused,omitempty"`
	Error   string  `json:"error,omitempty"`
	TookMs  int64   `json:"took_ms"`
	// ConnectMs is how long the request waited for a new connection.
	ConnectMs int64 `json:"connect_ms,omitempty"`
	// Hedge is set if the attempt was sent because the first one had no response for HedgeAfterMs, and
	// Outpaced if the attempt was ended because the other one was answered first.
	Hedge        bool  `json:"hedge,omitempty"`
	HedgeAfterMs int64 `json:"hedge_after_ms,omitempty"`
	Outpaced     bool  `json:"outpaced,omitempty"`
	// Surplus is the number of responses from the target that were skipped during the attempt because
	// they belong to no request in progress.
	Surplus int `json:"surplus,omitempty"`
	// Leaving, BackoffMs and Limit are what the target reported about itself with its response.
	Leaving   bool  `json:"leaves,omitempty"`
	BackoffMs int64 `json:"rest_ms,omitempty"`
	// Limit is the announced rate limit in requests per second, nil if there is none.
	Limit *float64 `json:"limit_per_s,omitempty"`
}

// requestResult is the final result of a request. Without a target's response, it determines the
// response that the instance sends to the client.
type requestResult struct {
	status     int
	reason     string
	retryAfter time.Duration
	// closeConn closes the client's connection after the response.
	closeConn bool
}

// ServeHTTP implements http.Handler for the requests of clients.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	ex := &exchange{w: w, r: r, ctx: r.Context(), start: g.clock.Now(), id: r.Header.Get(g.headers.RequestID), memory: g.bodyMemory.Lease()}
	defer ex.memory.Release()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	result, resp := g.serve(ex)
	g.finish(ex, result, resp)
}

// serve finds the route, checks the account and its rate limit, reads the body and sends the
// request to targets.
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
	result, ok := g.identify(ex, router)
	if !ok {
		return result, nil
	}
	if ex.r.ContentLength == 0 {
		// The permit is acquired after the wait, since it could expire during it.
		result, ok = ex.awaitPipelineTurn()
		if !ok {
			return result, nil
		}
	}
	result, ok = g.admit(ex)
	if !ok {
		return result, nil
	}
	result, ok = g.readBody(ex, limits)
	if !ok {
		return result, nil
	}
	result, ok = ex.awaitPipelineTurn()
	if !ok {
		return result, nil
	}
	return g.run(ex)
}

// requestURI returns the path and query exactly as the client sent them, or those of the parsed URI
// if the client sent more than these.
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

// timeLimit returns how long a request may take: the client's timeout, bounded by that of the
// route.
func (g *Gateway) timeLimit(ex *exchange) time.Duration {
	limit := g.clientTimeout(ex.r)
	if ex.route.Timeout > 0 {
		limit = min(limit, ex.route.Timeout)
	}
	return limit
}

// clientTimeout returns how long the client waits for the response, minus responseMargin. It is the
// configured default if the request has no valid deadline header.
func (g *Gateway) clientTimeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(g.headers.Deadline), 10, 64)
	if err != nil || ms <= 0 {
		return g.config.DefaultDeadline
	}
	return time.Duration(ms)*time.Millisecond - responseMargin
}

// readBody reads the whole body, so that the request can be sent again.
func (g *Gateway) readBody(ex *exchange, limits catalog.Limits) (requestResult, bool) {
	maxBytes := limits.BodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if ex.r.ContentLength > maxBytes {
		return requestResult{status: http.StatusRequestEntityTooLarge, reason: "body-too-large", closeConn: true}, false
	}
	if ex.r.ContentLength == 0 {
		return requestResult{}, true
	}
	control := http.NewResponseController(ex.w)
	_ = control.SetReadDeadline(g.clock.System(ex.deadline))
	body, err := readAll(http.MaxBytesReader(ex.w, ex.r.Body, maxBytes), ex.r.ContentLength)
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

// defaultMaxBodyBytes bounds the bodies of requests if the configuration sets no limit.
const defaultMaxBodyBytes = 64 << 20

// maxPreallocatedBody bounds the memory that is allocated for a body before its bytes have arrived.
const maxPreallocatedBody = 512 << 10

func readAll(r io.Reader, length int64) ([]byte, error) {
	if length > 0 && length <= maxPreallocatedBody {
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	return io.ReadAll(r)
}

// finish sends the final response and logs the result with its reason.
func (g *Gateway) finish(ex *exchange, result requestResult, resp *forward.Response) {
	status := result.status
	_ = http.NewResponseController(ex.w).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	switch {
	case ex.ctx.Err() != nil || result.reason == reasonClientLeft:
		status, result.reason = 0, reasonClientLeft
	case resp != nil:
		status = resp.Status
		g.relayResponse(ex, resp)
	default:
		g.writeRefusal(ex, result)
	}
	if resp == nil && hasNotRun(status) {
		g.accountPermits.release(ex.permit)
	}
	g.recordRequest(ex, status, result.reason)
	if status == 0 {
		// The connection is aborted, so that the client receives nothing that it could take for a
		// response.
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

func (g *Gateway) writeRefusal(ex *exchange, result requestResult) {
	h := ex.w.Header()
	if ex.id != "" {
		h.Set(g.headers.RequestID, ex.id)
	}
	if result.retryAfter > 0 {
		h.Set(g.headers.RetryAfter, strconv.FormatFloat(result.retryAfter.Seconds(), 'f', 2, 64))
	}
	if result.closeConn {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", "0")
	ex.w.WriteHeader(result.status)
	if ex.body == nil && ex.r.ContentLength != 0 && ex.r.Header.Get("Expect") != "" {
		refusal.AwaitDelivery(ex.w, ex.r.Body)
	}
}

// recordRequest counts and logs a request. It logs each failure, each retried request, and a sample
// of the rest. The sample is drawn by request ID, so that all instances log the same requests.
func (g *Gateway) recordRequest(ex *exchange, status int, reason string) {
	took := g.clock.Since(ex.start)
	if ex.handover == nil {
		g.metrics.request(ex, status, reason, took)
	}
	ordinary := status/100 == 2 && len(ex.attempts) == 1
	if ordinary && !isSampled(ex.id, g.config.LogSample) {
		return
	}
	level := slog.LevelInfo
	if !ordinary && !isCallerError(status) {
		level = slog.LevelWarn
	}
	g.log.LogAttrs(context.Background(), level, logRequest, append(slices.Concat(ex.limitAttrs(), ex.contentAttrs(), ex.handoverAttrs()),
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

// handoverAttrs returns the log attribute that names the instance that has handed the request over, or
// none.
func (ex *exchange) handoverAttrs() []slog.Attr {
	if ex.handover == nil {
		return nil
	}
	return []slog.Attr{slog.String("handed_over_by", ex.handover.from)}
}

// limitAttrs returns log attributes on the account's rate limit, or none if the account has no
// limit.
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

// contentAttrs returns the content digest for the log if an attempt was interrupted or the digest
// was computed for another reason, such as a look-up in the quarantine. A client that repeats such a request uses another ID, and the
// digest identifies the request in both lines.
func (ex *exchange) contentAttrs() []slog.Attr {
	interrupted := slices.ContainsFunc(ex.attempts, func(h attemptRecord) bool { return h.Outcome == retry.Unknown.String() && !h.Outpaced })
	if !interrupted && !ex.heldForAccount && ex.digest == (quarantine.Digest{}) {
		return nil
	}
	attrs := []slog.Attr{slog.String("content", ex.contentDigest().String())}
	if ex.heldForAccount {
		attrs = append(attrs, slog.String("held_as", quarantine.AccountDigest(ex.account.Name).String()))
	}
	return attrs
}

// content returns the parts of the request that determine what a target executes.
func (ex *exchange) content() quarantine.Content {
	return quarantine.Content{Account: accountName(ex.account), Method: ex.r.Method, Host: ex.r.Host, URI: ex.uri, Body: ex.body}
}

// hasNotRun reports whether a request that this instance ended with a status has certainly not run.
func hasNotRun(status int) bool {
	return status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout
}

// isCallerError reports whether a status means that the account has no valid key or exceeds its
// rate limit. These requests are logged below the level of failures, because any client can cause
// thousands of them and they must not displace lines on failures.
func isCallerError(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusTooManyRequests
}

// accountName returns the name of a client account, "" for nil.
func accountName(a *catalog.Account) string {
	if a == nil {
		return ""
	}
	return a.Name
}

// budget returns the time that the request had from its start, or 0 if it ended before its deadline
// was known.
func (ex *exchange) budget() time.Duration {
	if ex.deadline.IsZero() {
		return 0
	}
	return ex.deadline.Sub(ex.start)
}

// objective returns the latency objective of a route, or 0 if it has none or route is nil.
func objective(route *catalog.Route) time.Duration {
	if route == nil {
		return 0
	}
	return route.LatencyObjective
}

// outcomeClass returns the class of a final status for the metrics.
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
