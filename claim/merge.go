package claim

// Merge combines two states of one shard after the store has lost its latest writes, for
// example after a restore from a backup. The argument known is the latest state that an
// instance has seen, and stored is the state that the store holds now. If both have a claim of
// an operation, the merged shard holds the one that supersedes the other: a Done claim first,
// otherwise the claim of the later attempt, and for the same attempt the claim in the more
// advanced state.
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

// stateOrder ranks the states of an attempt by their progress.
var stateOrder = map[State]int{Claimed: 0, Released: 1, Done: 2}

// supersedes reports whether e takes precedence over another claim of the same operation. A
// Done claim takes precedence over any other state, because the operation has run.
func (e Entry) supersedes(other Entry) bool {
	if (e.State == Done) != (other.State == Done) {
		return e.State == Done
	}
	if e.Attempt != other.Attempt {
		return e.Attempt > other.Attempt
	}
	return stateOrder[e.State] >= stateOrder[other.State]
}
