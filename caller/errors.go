package caller

import (
	"fmt"
	"time"

	"github.com/rainford/rainford/protocol"
)

// NotRunError means that the request did not run and will not run.
type NotRunError struct {
	Reason protocol.Reason
	Detail string
	// RetryAfter is the time after which the caller may retry. 0 means that a
	// retry of the same request would fail in the same way.
	RetryAfter time.Duration
	// local is set if the client itself has created the error, since it could
	// not reach an instance.
	local bool
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("caller: request did not run (%s): %s; retry after %s", e.Reason, e.Detail, e.RetryAfter)
}

// UnknownError means that the request may have run, or may still run. Err is the cause, or
// nil if an instance has reported the unknown outcome.
type UnknownError struct {
	Reason     protocol.Reason
	Detail     string
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("caller: request may have run (%s): %s", e.Reason, e.Detail)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// DoneError means that an earlier attempt at the operation ran and got a response.
type DoneError struct {
	// Status is the HTTP status of that response.
	Status int
}

// Error implements error.
func (e *DoneError) Error() string {
	return fmt.Sprintf("caller: an earlier attempt got a response with status %d", e.Status)
}
