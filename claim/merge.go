package claim

// Merge returns the claims of a shard that was known to be in force, and of the same shard as a platform
// holds it that has lost its latest changes. Of two claims of an operation the one of the later attempt
// counts, and of the same attempt the one that has gone further.
func Merge(known, stored Shard) Shard {
	merged := Shard{Entries: make(map[string]Entry, len(known.Entries)+len(stored.Entries))}
	for key, e := range stored.Entries {
		merged.Entries[key] = e
	}
	for key, e := range known.Entries {
		other, ok := merged.Entries[key]
		if !ok || e.supersedes(other) {
			merged.Entries[key] = e
		}
	}
	return merged
}

// stateOrder orders the states of an attempt.
var stateOrder = map[State]int{Claimed: 0, Released: 1, Done: 2}

// supersedes tells whether a claim counts rather than another one of the same operation. An operation that
// has run counts whatever comes later.
func (e Entry) supersedes(other Entry) bool {
	if (e.State == Done) != (other.State == Done) {
		return e.State == Done
	}
	if e.Attempt != other.Attempt {
		return e.Attempt > other.Attempt
	}
	return stateOrder[e.State] >= stateOrder[other.State]
}
