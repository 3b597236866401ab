package entry

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rainford/rainford/internal/refusal"
	"github.com/rainford/rainford/protocol"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/table"
)

// Exchange is a request on its way through the pipeline, with its state.
type Exchange struct {
	w http.ResponseWriter
	r *http.Request

	// ID identifies the request in the logs of all instances.
	ID string
	// Service is the requested service. Path is the path of the URL that the target receives.
	Service table.Service
	Path    string
	// Key is the operation key. It is empty for services whose requests may be retried.
	Key string
	// Start is the time of arrival. Deadline is the time by which the response has to begin.
	Start    time.Time
	Deadline time.Time
	// OriginRegion is the region in which the request entered.
	OriginRegion string
	// claimHeld is set once the attempt holds the claim of the operation, which proves that no
	// earlier attempt ran.
	claimHeld bool
	// FromHop is set if another instance forwarded the request.
	FromHop bool
	plan    *table.Plan
	body    *body
	// destination is the destination region of the row, and target the ID of the target. Both
	// are logged.
	destination string
	target      string
	attempts    int
}

// Result is the result of an exchange.
type Result struct {
	Outcome retry.Outcome
	Status  int
	Reason  protocol.Reason
	Detail  string
	// RetryAfter is the time to wait before a retry.
	RetryAfter time.Duration
	// EarlierStatus is the HTTP status of the earlier attempt's response. It is set if Reason
	// is protocol.ReasonAlreadyDone.
	EarlierStatus int
	// ResponseSent is set if the response of a target was relayed. Incomplete is set if the
	// relayed response broke off before its end.
	ResponseSent bool
	Incomplete   bool
}

// Stage handles an exchange with all remaining steps of a pipeline.
type Stage func(*Exchange) Result

// Filter is a step of a pipeline. It returns a Stage that may call the next one.
type Filter func(next Stage) Stage

// pipe returns a Stage that runs the filters in order and then the last stage.
func pipe(last Stage, filters ...Filter) Stage {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

// notRun returns the result of a request that certainly did not run.
func notRun(status int, reason protocol.Reason, detail string, retryAfter time.Duration) Result {
	return Result{Outcome: retry.NotRun, Status: status, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// unknown returns the result of a request that may have run.
func unknown(reason protocol.Reason, detail string, retryAfter time.Duration) Result {
	return Result{Outcome: retry.Unknown, Status: http.StatusBadGateway, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// adjustForEarlier changes the outcome from "not run" to "unknown" if this attempt ended
// without the claim and the caller does not know the outcome of an earlier attempt. This
// attempt did not run, but the operation may have run.
func (ex *Exchange) adjustForEarlier(res Result) Result {
	earlier := ex.r.Header.Get(protocol.HeaderEarlierOutcome) == retry.Unknown.String()
	if !ex.FromHop && !ex.claimHeld && earlier && res.Outcome == retry.NotRun {
		res.Outcome = retry.Unknown
	}
	return res
}

// breakOff ends the connection to the caller in a way that shows that the response is incomplete. It panics with
// http.ErrAbortHandler.
func (ex *Exchange) breakOff() {
	if !ex.r.ProtoAtLeast(1, 1) {
		// Without chunks the end of the connection may be that of the body.
		resetConn(ex.w)
	}
	panic(http.ErrAbortHandler)
}

// resetConn resets the connection of a response.
func resetConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// writeRefusal writes the response to a request for which no target's response was relayed.
func (ex *Exchange) writeRefusal(res Result) {
	h := ex.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(protocol.HeaderOutcome, res.Outcome.String())
	protocol.SetRetryAfter(h, res.RetryAfter)
	content := protocol.Refusal{
		Outcome:          res.Outcome.String(),
		Reason:           res.Reason,
		Detail:           res.Detail,
		RetryAfterMillis: res.RetryAfter.Milliseconds(),
		EarlierStatus:    res.EarlierStatus,
	}
	body, err := json.Marshal(content)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	unread := ex.body.unread()
	if unread {
		// Close the connection instead of reading the rest of the body.
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	ex.w.WriteHeader(res.Status)
	_, _ = ex.w.Write(body)
	if unread {
		// The caller has to learn that the request has not run.
		refusal.AwaitDelivery(ex.w, ex.body.rest())
	}
}
