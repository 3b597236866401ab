package protocol

import (
	"net/http"
	"strconv"
	"time"
)

// Paths at the address that an entry instance has for callers.
const (
	// LookupPath is the path of a look-up, which returns the instances that a caller
	// should use.
	LookupPath = "/v1/lookup"
	// CallPath is the beginning of a request's path. The name of the service and the
	// path at the target follow it.
	CallPath = "/v1/call/"
)

// Headers of a request.
const (
	// HeaderIdempotencyKey is the key of the operation
	// (draft-ietf-httpapi-idempotency-key-header).
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt is the number of the caller's attempt at the operation. It is at
	// least 1 and higher than the numbers of all earlier attempts.
	HeaderAttempt = "Rainford-Attempt"
	// HeaderEarlierOutcome is the outcome of earlier attempts. Its value is "unknown"
	// if the outcome of at least one of them is not known.
	HeaderEarlierOutcome = "Rainford-Earlier"
	// HeaderDeadline is the remaining time for the response, in milliseconds.
	HeaderDeadline = "Rainford-Deadline-Ms"
	// HeaderRequestID is the ID of the request in all logs.
	HeaderRequestID = "Rainford-Request-Id"
	// HeaderOriginRegion is the region in which the request entered the system. An
	// instance sets it when it forwards a request to another instance.
	HeaderOriginRegion = "Rainford-From"
	// HeaderConfig is the version of the configuration that the sending instance
	// uses.
	HeaderConfig = "Rainford-Config"
)

// Headers of a response.
const (
	// HeaderOutcome is the outcome of the request: "ran", "not-run" or "unknown".
	HeaderOutcome = "Rainford-Outcome"
	// HeaderNotRun is set to FlagSet by a target that refuses a request before
	// running it.
	HeaderNotRun = "Rainford-Not-Run"
	// HeaderDraining is set to FlagSet by a target that accepts no new requests.
	HeaderDraining = "Rainford-Draining"
	// HeaderRetryAfter is the time after which the caller may retry, in milliseconds.
	// The standard Retry-After header has the same time in whole seconds.
	HeaderRetryAfter = "Rainford-Retry-After-Ms"
	// HeaderRegion and HeaderTarget are the region and the target that ran the request.
	HeaderRegion = "Rainford-Region"
	HeaderTarget = "Rainford-Target"
	// HeaderInstance is the ID of the entry instance that responds.
	HeaderInstance = "Rainford-Instance"
)

// FlagSet is the value of a set flag, such as HeaderNotRun.
const FlagSet = "1"

// Reason is the cause of a refusal.
type Reason string

// Reasons of refusals. Their values are the texts in Refusal.Reason.
const (
	// ReasonBadRequest means that the request is malformed.
	ReasonBadRequest Reason = "bad-request"
	// ReasonNoService means that no service has the name.
	ReasonNoService Reason = "no-such-service"
	// ReasonNotReady means that the instance has no routing table yet.
	ReasonNotReady Reason = "not-ready"
	// ReasonCap means that the caps of the routing table admit no further request now.
	ReasonCap Reason = "cap"
	// ReasonCapacity means that all instances or targets in reach are busy.
	ReasonCapacity Reason = "capacity"
	// ReasonUnreachable means that no instance or target that can serve the request is
	// available.
	ReasonUnreachable Reason = "unreachable"
	// ReasonClaimsUnavailable means that the instance can't acquire the claim that the
	// request needs to run at most once.
	ReasonClaimsUnavailable Reason = "claims-unavailable"
	// ReasonInProgress means that an earlier attempt may have run or may be running.
	ReasonInProgress Reason = "earlier-attempt"
	// ReasonSuperseded means that a later attempt was refused since.
	ReasonSuperseded Reason = "later-attempt"
	// ReasonAlreadyDone means that an earlier attempt ran and was answered.
	ReasonAlreadyDone Reason = "already-done"
	// ReasonResponseLost means that the request was sent but its response did not arrive.
	ReasonResponseLost Reason = "answer-lost"
	// ReasonDeadline means that the request was sent but its response did not arrive
	// before the deadline.
	ReasonDeadline Reason = "deadline"
)

// Refusal is the JSON body of a refusal, which is a response that an entry instance writes
// itself.
type Refusal struct {
	Outcome string `json:"outcome"`
	Reason  Reason `json:"reason"`
	Detail  string `json:"detail,omitempty"`
	// RetryAfterMillis is the time after which the caller may retry. 0 means that a
	// retry of the same request would fail in the same way.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// EarlierStatus is the HTTP status of the response to an earlier attempt, for
	// ReasonAlreadyDone.
	EarlierStatus int `json:"earlier_status,omitempty"`
}

// SetRetryAfter sets HeaderRetryAfter, in milliseconds, and the standard Retry-After
// header, in seconds and rounded up. If d is not positive, it sets neither.
func SetRetryAfter(h http.Header, d time.Duration) {
	if d <= 0 {
		return
	}
	h.Set(HeaderRetryAfter, strconv.FormatInt(d.Milliseconds(), 10))
	seconds := (d + time.Second - 1) / time.Second
	h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
}

// RetryAfter returns the time that SetRetryAfter has set, or 0 if both headers are missing
// or malformed.
func RetryAfter(h http.Header) time.Duration {
	if ms := parseMillis(h.Get(HeaderRetryAfter)); ms > 0 {
		return ms
	}
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// Deadline returns the remaining time of a request, or 0 if the header is missing or
// malformed.
func Deadline(h http.Header) time.Duration {
	return parseMillis(h.Get(HeaderDeadline))
}

// SetDeadline sets the remaining time of a request. It is at least 1 ms.
func SetDeadline(h http.Header, left time.Duration) {
	h.Set(HeaderDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
}

// parseMillis parses a number of milliseconds. It returns 0 if the text is malformed,
// negative, or more than a day.
func parseMillis(text string) time.Duration {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > int64(24*time.Hour/time.Millisecond) {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
