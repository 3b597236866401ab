package claim

// State is the state of a claim.
type State string

// States of a claim.
const (
	// Claimed means that the attempt may run the operation or has run it.
	Claimed State = "c"
	// Done means that the operation ran and that its response is known.
	Done State = "d"
	// Released means that the attempt did not run. Later attempts may run. The released attempt
	// and earlier ones, which may still be in flight, may not.
	Released State = "r"
)

// Entry is the claim of one operation.
type Entry struct {
	// Owner identifies the attempt that holds the claim. It is unique.
	Owner string `json:"o"`
	// Attempt is the number that the caller gave the attempt.
	Attempt int   `json:"n"`
	State   State `json:"s"`
	// Status is the HTTP status of the response if State is Done.
	Status int `json:"c,omitempty"`
}

// Shard is a stored object with the claims of several operations, by operation key.
type Shard struct {
	Entries map[string]Entry `json:"e"`
}

// OpKind is the kind of an Op.
type OpKind int

// Kinds of an Op.
const (
	// Acquire claims a key for an attempt.
	Acquire OpKind = iota
	// Finish records that the owner's attempt ran.
	Finish
	// Release withdraws the owner's claim, because the attempt did not run.
	Release
)

// Op is an operation that changes one claim of a shard.
type Op struct {
	Kind    OpKind `msgpack:"v"`
	Key     string `msgpack:"k"`
	Owner   string `msgpack:"o"`
	Attempt int    `msgpack:"n"`
	Status  int    `msgpack:"s"`
}

// Result is the result of an Op.
type Result int

// Results of an Op.
const (
	// Granted means that the Op took effect. After an Acquire, its owner holds the claim.
	Granted Result = iota
	// Held means that another attempt holds the claim. Whether the operation ran is not
	// recorded.
	Held
	// AlreadyDone means that the operation ran before. Reply.Status holds the HTTP status of
	// its response.
	AlreadyDone
	// Superseded means that this attempt, or a later one, has been released, so that this
	// attempt must not run.
	Superseded
	// NotWritten means that the store did not accept the write. No claim is held.
	NotWritten
)

// Reply is the reply to an Op.
type Reply struct {
	Result Result `msgpack:"a"`
	Status int    `msgpack:"s"`
}

// Apply applies op to the shard. Applying an Op twice has the same effect as applying it once,
// so a write whose reply was lost can be retried.
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
			// The Acquire of this attempt has not been applied yet. It must not take effect if
			// it is applied later.
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
