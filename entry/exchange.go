package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rainford/rainford/protocol"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/table"
)

// Exchange is one request on its way through the pipe.
type Exchange struct {
	w http.ResponseWriter
	r *http.Request

	// ID names the request in the logs of all instances.
	ID string
	// Service is the service asked for, and Path the path at the target.
	Service table.Service
	Path    string
	// Key names the operation; it is empty for services that may be retried.
	Key string
	// Start is the arrival, and Deadline when the answer has to begin.
	Start    time.Time
	Deadline time.Time
	// OriginRegion is the region that the request entered in.
	OriginRegion string
	// claimHeld is set once the claim of the operation is held, which shows
	// that no earlier attempt ran.
	claimHeld bool
	// FromHop is set when another instance sent the request.
	FromHop bool
	plan    *table.Plan
	body    *body
	// destination and target tell where the request ran, for the log.
	destination string
	target      string
	attempts    int
}

// Result is what became of an exchange.
type Result struct {
	Outcome retry.Outcome
	Status  int
	Reason  protocol.Reason
	Detail  string
	// RetryAfter says when to come back.
	RetryAfter time.Duration
	// EarlierStatus is set for ReasonDone.
	EarlierStatus int
	// ResponseSent is set when an answer was passed on from a target. Broken is set
	// when it could not be passed on whole.
	ResponseSent bool
	Incomplete   bool
}

// Stage is the rest of a pipe, and Filter wraps one.
type Stage func(*Exchange) Result

// Filter is one step of the pipe.
type Filter func(next Stage) Stage

// pipe joins filters before a last stage.
func pipe(last Stage, filters ...Filter) Stage {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

// notRun is the result of a request that certainly did not run.
func notRun(status int, reason protocol.Reason, detail string, retryAfter time.Duration) Result {
	return Result{Outcome: retry.NotRun, Status: status, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// unknown is the result of a request that may have run.
func unknown(reason protocol.Reason, detail string, retryAfter time.Duration) Result {
	return Result{Outcome: retry.Unknown, Status: http.StatusBadGateway, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// adjustForEarlier turns "not run" into "unknown" for an attempt that was given up
// before its claim, when the caller does not know how an earlier one ended: this
// attempt did not run, but the operation may have.
func (ex *Exchange) adjustForEarlier(res Result) Result {
	earlier := ex.r.Header.Get(protocol.HeaderEarlier) == retry.Unknown.String()
	if !ex.FromHop && !ex.claimHeld && earlier && res.Outcome == retry.NotRun {
		res.Outcome = retry.Unknown
	}
	return res
}

// writeRefusal writes the final writeRefusal of a request that no target answered.
func (ex *Exchange) writeRefusal(res Result) {
	h := ex.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(protocol.HeaderOutcome, res.Outcome.String())
	protocol.SetRetryAfter(h, res.RetryAfter)
	refusal := protocol.Refusal{
		Outcome:          res.Outcome.String(),
		Reason:           res.Reason,
		Detail:           res.Detail,
		RetryAfterMillis: res.RetryAfter.Milliseconds(),
		EarlierStatus:    res.EarlierStatus,
	}
	body, err := json.Marshal(refusal)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if ex.body.unread() {
		// The rest of the body is not worth reading.
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	ex.w.WriteHeader(res.Status)
	_, _ = ex.w.Write(body)
}
