package gateway

import (
	"strconv"
	"time"

	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/protocol"
	"github.com/rainford/rainford/retry"
)

// handoverResult is what the response of a helper says.
type handoverResult struct {
	outcome retry.Outcome
	// response is the response of a target, nil if there is none.
	response *forward.Response
	// target and region are those of the last target that the helper tried, or empty.
	target, region string
	// attempts is the number of times that the request was sent to targets. If the helper did not
	// say, it counts as one if it may have run.
	attempts   int
	reason     string
	retryAfter time.Duration
}

// parseHandover returns the result of an attempt to hand over a request.
func parseHandover(a forward.Attempt) handoverResult {
	if a.Response == nil {
		r := handoverResult{outcome: a.Outcome}
		if a.Outcome != retry.NotRun {
			r.attempts = 1
		}
		return r
	}
	h := a.Response.Header
	r := handoverResult{outcome: retry.ParseOutcome(h.Get(protocol.HeaderOutcome)), reason: h.Get(headerReason),
		target: h.Get(protocol.HeaderTarget), region: h.Get(protocol.HeaderRegion)}
	n, err := strconv.Atoi(h.Get(headerAttempts))
	switch {
	case err == nil && n >= 0:
		r.attempts = n
	case r.outcome != retry.NotRun:
		r.attempts = 1
	}
	seconds, err := strconv.ParseFloat(h.Get(headerRetryAfter), 64)
	if err == nil && seconds > 0 {
		r.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if r.outcome != retry.Ran {
		return r
	}
	r.response = a.Response
	for _, name := range handoverHeaders {
		delete(h, name)
	}
	return r
}
