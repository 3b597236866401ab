package upstream

import (
	"time"

	"github.com/rainford/rainford/availability"
)

// Request is a request that needs a target.
type Request struct {
	// ID is unique among the requests of the pool.
	ID uint64
	// Key names the object that the request needs. Requests with the same key go to the same target
	// if possible.
	Key string
	// Sticky means that a target responds faster if it has seen the key before.
	Sticky bool
	// Heavy marks requests that move many bytes. The key of such a request has one target in each
	// hall, other keys have one in the region.
	Heavy bool
	// Regions lists the regions that may run the request. It is empty for any region.
	Regions []string
	// Isolated marks requests that are suspected of crashing the target that runs them. They go to
	// the target with the lowest load relative to its slots.
	Isolated bool
	// Priority is the rank of the request in the queue, 0 being the most urgent.
	Priority int
	// HandedOver marks requests that another instance has handed over. They wait behind the requests
	// of this instance's own clients.
	HandedOver bool
	// Deadline is when the client needs the response.
	Deadline time.Time
	// QueueTimeout is the longest time that the request may wait in the queue.
	QueueTimeout time.Duration
	// Tried lists the IDs of the targets that the request was already sent to.
	Tried []string

	// arrivedAt is when Acquire was called.
	arrivedAt time.Time
	// keyPoint is the hash of the key as a number in [0, 1), from which the region is drawn.
	keyPoint float64
	// cohort is the cohort of the targets that the request may go to.
	cohort cohort
}

func (r *Request) wasTried(id string) bool {
	for _, a := range r.Tried {
		if a == id {
			return true
		}
	}
	return false
}

func (r *Request) allows(region string) bool {
	if len(r.Regions) == 0 {
		return true
	}
	for _, a := range r.Regions {
		if a == region {
			return true
		}
	}
	return false
}

// Action is what a decision requires the caller to do.
type Action int

// The actions of a decision.
const (
	// Send means that the request is to be sent to Decision.Target now.
	Send Action = iota
	// Wait means that the request is queued. A Grant with its ID follows unless it is cancelled.
	Wait
	// Refuse means that the request is to be refused now.
	Refuse
)

// Reason is the reason of a decision.
type Reason string

// The reasons of decisions.
const (
	ReasonFirstChoice Reason = "first-choice"
	ReasonLoad        Reason = "by-load"
	ReasonNoTarget    Reason = "no-target"
	// ReasonHallsLost means that there would be targets in halls to which this instance has lost its
	// links.
	ReasonHallsLost Reason = "halls-lost"
	ReasonBackoff   Reason = "targets-rest"
	// ReasonLimited means that the rate limits of the targets are used up.
	ReasonLimited   Reason = "targets-limited"
	ReasonFull      Reason = "targets-full"
	ReasonLate      Reason = "too-late"
	ReasonQueueFull Reason = "queue-full"
)

// Decision is the result of Acquire, or part of a Grant.
type Decision struct {
	Action Action
	Target Choice
	Reason Reason
	// SendState must be returned with the result of the attempt.
	SendState SendState
	// RetryAfter is the time after which a refused request should be retried.
	RetryAfter time.Duration
	// Unreachable means that a request is refused because this instance does not reach targets that are
	// in service: it could not connect to them, or has lost its links to their hall. Another instance
	// may reach them.
	Unreachable bool
}

// Choice is a selected target.
type Choice struct {
	// ID identifies the incarnation of the target, and Name is the name that it keeps across
	// restarts.
	ID     string
	Name   string
	Addr   string
	Hall   string
	Region string
	Cold   bool
}

// Grant ends the wait of a queued request.
type Grant struct {
	ID       uint64
	Decision Decision
}

// Outcome is the result of an attempt as far as the target is concerned.
type Outcome int

// The outcomes of an attempt.
const (
	// Answered means that a complete response was received.
	Answered Outcome = iota
	// Rejected means that the target reported that it did not run the request.
	Rejected
	// Replaced means that another incarnation or service has the address.
	Replaced
	// Unreachable means that no connection could be established.
	Unreachable
	// Broken means that the connection failed before the response was complete.
	Broken
	// TimedOut means that no response was received in time.
	TimedOut
	// Abandoned means that the client went away or that the attempt was not sent.
	Abandoned
)

// LoadReport is the load that a target reports in a response.
type LoadReport struct {
	Running, Waiting, Slots int
}

// Result is the result of an attempt.
type Result struct {
	Outcome Outcome
	// LoadReport is nil if the response contained none.
	LoadReport *LoadReport
	// SelfReport is what the target reported about itself.
	SelfReport availability.SelfReport
	// ServerError means that the response reports a failure of the target.
	ServerError bool
	// NotSent means that no part of the request was sent to the target.
	NotSent bool
	// Silent means that an abandoned attempt had received no byte of a response when a hedge of its
	// request was answered, or at the deadline. Outpaced means that a hedge was answered first, whether
	// or not the attempt had received any.
	Silent, Outpaced bool
	// Latency is the time from sending the request to the complete response.
	Latency time.Duration
	// SendState is the SendState of the decision.
	SendState SendState
}
