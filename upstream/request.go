package upstream

import (
	"time"

	"github.com/rainford/rainford/availability"
)

// Request is a request that needs a target.
type Request struct {
	// ID is unique among the requests of the pool.
	ID uint64
	// Key names the object of the request. Requests with the same key go to
	// the same target if they can.
	Key string
	// Sticky says that a target answers faster when it has seen the key.
	Sticky bool
	// Heavy requests move many bytes. Their object has a place in each hall, that of
	// others one in the region.
	Heavy bool
	// Regions are the regions that may run the request, empty for any.
	Regions []string
	// Isolated requests may end the target that runs them. They go to the one with the
	// fewest requests.
	Isolated bool
	// Priority is the rank, 0 the most urgent.
	Priority int
	// Deadline is when the answer has to be there.
	Deadline time.Time
	// QueueTimeout is the longest time to wait in the queue.
	QueueTimeout time.Duration
	// Tried are the targets that the request was sent to already.
	Tried []string

	// arrivedAt is when the request came.
	arrivedAt time.Time
	// keyPoint is the place of the key among the shares of regions, in [0, 1).
	keyPoint float64
	// cohort is that of the targets that the request may go to.
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

// Action is the kind of a decision.
type Action int

// The verdicts.
const (
	// Send means: send the request to Decision.Target now.
	Send Action = iota
	// Wait means: the request is queued; a Grant with its ID follows, unless
	// it is cancelled.
	Wait
	// Refuse means: give the request up now.
	Refuse
)

// Reason says what decided.
type Reason string

// The reasons.
const (
	ReasonFirstChoice Reason = "first-choice"
	ReasonLoad        Reason = "by-load"
	ReasonNoTarget    Reason = "no-target"
	ReasonBackoff     Reason = "targets-rest"
	// ReasonLimited means that the targets take no more now by the limits that they name.
	ReasonLimited   Reason = "targets-limited"
	ReasonFull      Reason = "targets-full"
	ReasonLate      Reason = "too-late"
	ReasonQueueFull Reason = "queue-full"
)

// Decision is the answer to Acquire, or a grant.
type Decision struct {
	Action Action
	Target Choice
	Reason Reason
	// SendState is to be brought back with the result.
	SendState SendState
	// RetryAfter says when to come back after a refusal.
	RetryAfter time.Duration
}

// Choice is a chosen target.
type Choice struct {
	// ID is that of the incarnation, and Name what the target calls itself.
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

// Outcome is what became of an attempt, as far as the target is concerned.
type Outcome int

// The outcomes.
const (
	// Answered means that a whole answer came.
	Answered Outcome = iota
	// Rejected means that the target said that it did not run the request.
	Rejected
	// Replaced means that another incarnation or service has the address.
	Replaced
	// Unreachable means that no connection could be had.
	Unreachable
	// Broken means that the connection or the answer broke.
	Broken
	// TimedOut means that nothing came in time.
	TimedOut
	// Abandoned means that the client left or the attempt was not sent.
	Abandoned
)

// LoadReport is what a target tells of its load in an answer.
type LoadReport struct {
	Running, Waiting, Slots int
}

// Result ends an attempt.
type Result struct {
	Outcome Outcome
	// LoadReport is nil if the answer carried none.
	LoadReport *LoadReport
	// SelfReport is what the target said of itself.
	SelfReport availability.SelfReport
	// ServerError says that the answer is one of a failure of the target.
	ServerError bool
	// NotSent says that the request never left for the target.
	NotSent bool
	// Latency is the time from the send to the whole answer.
	Latency time.Duration
	// SendState is that of the decision.
	SendState SendState
}
