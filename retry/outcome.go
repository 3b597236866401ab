package retry

// Outcome is what is known of a request after an attempt.
type Outcome int

// The outcomes. The zero value is the cautious one.
const (
	// Unknown means that the request may have run, or may still run.
	Unknown Outcome = iota
	// NotRun means that the request did not run and will not: it was never
	// written to a target, or the target refused it before running it.
	NotRun
	// Ran means that an answer came.
	Ran
)

// String returns the outcome as the protocols spell it.
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

// ParseOutcome returns the outcome that text spells. Any other text is Unknown.
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

// Evidence is what an attempt has left behind.
type Evidence struct {
	// Connected means that the attempt got a connection, so that some of the
	// request may have been written.
	Connected bool
	// Answered means that the head of an answer came.
	Answered bool
	// Refused means that the answer says that the request was not run.
	Refused bool
}

// Classify returns the outcome that the evidence proves.
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
