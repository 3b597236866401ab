package claim

// State is the state of a claim.
type State string

// The states of a claim.
const (
	// Claimed means that an attempt may run the operation or has run it.
	Claimed State = "c"
	// Done means that the operation ran and was answered.
	Done State = "d"
	// Released means that the attempt did not run. Later attempts may; it
	// and earlier ones, which may still be under way, may not.
	Released State = "r"
)

// Entry is the claim of one operation.
type Entry struct {
	// Owner names the attempt that holds the claim. It is unique.
	Owner string `json:"o"`
	// Attempt is the caller's number of that attempt.
	Attempt int   `json:"n"`
	State   State `json:"s"`
	// Status is the HTTP status of the answer once the claim is done.
	Status int `json:"c,omitempty"`
}

// Shard is the platform's record of the claims of some operations.
type Shard struct {
	Entries map[string]Entry `json:"e"`
}

// OpKind is what an Op does.
type OpKind int

// The verbs.
const (
	// Acquire claims a key for an attempt.
	Acquire OpKind = iota
	// Finish records that the owner's attempt ran.
	Finish
	// Release withdraws the owner's claim: the attempt did not run.
	Release
)

// Op is one change of a shard.
type Op struct {
	Kind    OpKind `msgpack:"v"`
	Key     string `msgpack:"k"`
	Owner   string `msgpack:"o"`
	Attempt int    `msgpack:"n"`
	Status  int    `msgpack:"s"`
}

// Result is what became of an Op.
type Result int

// The answers.
const (
	// Granted means that the Op took effect: a Take holds the claim.
	Granted Result = iota
	// Held means that another attempt holds the claim: whether the operation
	// ran is not known here.
	Held
	// AlreadyDone means that the operation ran before; Status tells how it
	// was answered.
	AlreadyDone
	// Superseded means that a later attempt has been refused since, so that
	// this one must not run any more.
	Superseded
	// NotWritten means that the platform did not take the write: no claim is
	// held.
	NotWritten
)

// Reply is the answer to an Op.
type Reply struct {
	Result Result `msgpack:"a"`
	Status int    `msgpack:"s"`
}

// Apply changes the shard by op. Applying an Op twice is the same as once, so
// that a write whose reply was lost can be tried again.
func (s *Shard) Apply(op Op) Reply {
	if s.Entries == nil {
		s.Entries = make(map[string]Entry)
	}
	existing, ok := s.Entries[op.Key]
	owned := ok && existing.Owner == op.Owner
	switch op.Kind {
	case Acquire:
		if owned && existing.State != Released {
			return Reply{Result: Granted}
		}
		if ok && (existing.State != Released || existing.Attempt >= op.Attempt) {
			return refusalFor(existing)
		}
		s.Entries[op.Key] = Entry{Owner: op.Owner, Attempt: op.Attempt, State: Claimed}
	case Finish:
		if owned {
			existing.State = Done
			existing.Status = op.Status
			s.Entries[op.Key] = existing
		}
	case Release:
		if !ok || existing.State == Released && existing.Attempt < op.Attempt {
			// The Take has not arrived yet and must not take effect when
			// it does.
			s.Entries[op.Key] = Entry{Owner: op.Owner, Attempt: op.Attempt, State: Released}
		} else if owned && existing.State == Claimed {
			existing.State = Released
			s.Entries[op.Key] = existing
		}
	}
	return Reply{Result: Granted}
}

func refusalFor(existing Entry) Reply {
	switch existing.State {
	case Done:
		return Reply{Result: AlreadyDone, Status: existing.Status}
	case Released:
		return Reply{Result: Superseded}
	default:
		return Reply{Result: Held}
	}
}
