package retry

// Outcome is what is known of the execution of a request after an attempt.
type Outcome int

// The outcomes. The zero value, Unknown, is the cautious one: it claims nothing about the execution.
const (
	// Unknown means that the request may have run or may still run.
	Unknown Outcome = iota
	// NotRun means that the request did not run and will not run: it was never written to a target,
	// or the target refused it before running it.
	NotRun
	// Ran means that the target answered and did not refuse the request.
	Ran
)

// String returns the name of the outcome that protocols use.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// ParseOutcome returns the outcome with the given name. Any other text is Unknown.
func ParseOutcome(text string) Outcome {
	switch text {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return Unknown
	}
}

// Evidence is what an attempt shows about its outcome.
type Evidence struct {
	// Connected means that the attempt had a connection, so that parts of the request may have been
	// written.
	Connected bool
	// Answered means that the head of an answer was received.
	Answered bool
	// Refused means that the answer states that the request was not run. It counts only if
	// Answered is set.
	Refused bool
}

// Classify returns the outcome that follows from the evidence.
func Classify(e Evidence) Outcome {
	switch {
	case e.Answered && e.Refused:
		return NotRun
	case e.Answered:
		return Ran
	case !e.Connected:
		return NotRun
	default:
		return Unknown
	}
}
