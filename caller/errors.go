package caller

import (
	"fmt"
	"time"

	"github.com/rainford/rainford/protocol"
)

// NotRunError means that the request did not run and will not.
type NotRunError struct {
	Reason protocol.Reason
	Detail string
	// RetryAfter says when to come back. 0 means that the same request will
	// not fare better.
	RetryAfter time.Duration
	// local is set when no instance said so: none could be reached.
	local bool
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("caller: not run (%s): %s; come back after %s", e.Reason, e.Detail, e.RetryAfter)
}

// UnknownError means that the request may have run, or may still run.
type UnknownError struct {
	Reason     protocol.Reason
	Detail     string
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("caller: not known whether it ran (%s): %s", e.Reason, e.Detail)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// DoneError means that an earlier attempt at the operation was answered.
type DoneError struct {
	// Status is the status of that answer.
	Status int
}

// Error implements error.
func (e *DoneError) Error() string {
	return fmt.Sprintf("caller: an earlier attempt was answered with status %d", e.Status)
}
