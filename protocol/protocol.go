package protocol

import (
	"net/http"
	"strconv"
	"time"
)

// Paths of an entry instance's callers' address.
const (
	// LookupPath answers which instances a caller should use.
	LookupPath = "/v1/lookup"
	// CallPath is followed by the service and the path at the target.
	CallPath = "/v1/call/"
)

// Headers of a request.
const (
	// HeaderIdempotencyKey names the operation (draft-ietf-httpapi-idempotency-key-header).
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt numbers the caller's attempts at an operation from 1, each
	// higher than all before.
	HeaderAttempt = "Rainford-Attempt"
	// HeaderEarlierOutcome is unknown when the outcome of an earlier attempt is not
	// known.
	HeaderEarlierOutcome = "Rainford-Earlier"
	// HeaderDeadline is the time that is left for the answer, in
	// milliseconds.
	HeaderDeadline = "Rainford-Deadline-Ms"
	// HeaderRequestID names the request in all logs.
	HeaderRequestID = "Rainford-Request-Id"
	// HeaderOriginRegion is the region that a request entered in. Instances set it
	// for each other.
	HeaderOriginRegion = "Rainford-From"
	// HeaderConfig is the version of the configuration in force at the
	// sending instance.
	HeaderConfig = "Rainford-Config"
)

// Headers of an answer.
const (
	// HeaderOutcome is ran, not-run or unknown.
	HeaderOutcome = "Rainford-Outcome"
	// HeaderNotRun is set to 1 by a target that refuses a request before
	// running it.
	HeaderNotRun = "Rainford-Not-Run"
	// HeaderDraining is set to 1 by a target that takes no new work.
	HeaderDraining = "Rainford-Draining"
	// HeaderRetryAfter is the time after which to come back, in milliseconds.
	// The standard Retry-After header has the same in whole seconds.
	HeaderRetryAfter = "Rainford-Retry-After-Ms"
	// HeaderRegion and HeaderTarget tell where a request ran.
	HeaderRegion = "Rainford-Region"
	HeaderTarget = "Rainford-Target"
	// HeaderInstance is the entry instance that answers.
	HeaderInstance = "Rainford-Instance"
)

// FlagSet is the value of a header that is a flag.
const FlagSet = "1"

// Reason tells why a request was given up.
type Reason string

// The reasons.
const (
	ReasonBadRequest        Reason = "bad-request"
	ReasonNoService         Reason = "no-such-service"
	ReasonNotReady          Reason = "not-ready"
	ReasonCap               Reason = "cap"
	ReasonCapacity          Reason = "capacity"
	ReasonUnreachable       Reason = "unreachable"
	ReasonClaimsUnavailable Reason = "claims-unavailable"
	ReasonInProgress        Reason = "earlier-attempt"
	ReasonSuperseded        Reason = "later-attempt"
	ReasonAlreadyDone       Reason = "already-done"
	ReasonResponseLost      Reason = "answer-lost"
	ReasonDeadline          Reason = "deadline"
)

// Refusal is the JSON body of an answer that entry instances give by
// themselves.
type Refusal struct {
	Outcome string `json:"outcome"`
	Reason  Reason `json:"reason"`
	Detail  string `json:"detail,omitempty"`
	// RetryAfterMillis is when to come back; 0 means that the same request
	// will not fare better.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// EarlierStatus is the status that an earlier attempt was answered with,
	// for ReasonDone.
	EarlierStatus int `json:"earlier_status,omitempty"`
}

// SetRetryAfter sets the headers that say when to come back. The standard
// header is rounded up.
func SetRetryAfter(h http.Header, d time.Duration) {
	if d <= 0 {
		return
	}
	h.Set(HeaderRetryAfter, strconv.FormatInt(d.Milliseconds(), 10))
	seconds := (d + time.Second - 1) / time.Second
	h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
}

// RetryAfter reads what SetRetryAfter wrote. It is 0 when there is none.
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

// Deadline reads the time left for a request. It is 0 when none is given.
func Deadline(h http.Header) time.Duration {
	return parseMillis(h.Get(HeaderDeadline))
}

// SetDeadline writes the time left for a request.
func SetDeadline(h http.Header, left time.Duration) {
	h.Set(HeaderDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
}

func parseMillis(text string) time.Duration {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > int64(24*time.Hour/time.Millisecond) {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
