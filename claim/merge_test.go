package claim_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/claim"
)

// TestMerge checks which of two claims of an operation takes precedence after the store has
// lost its latest writes.
func TestMerge(t *testing.T) {
	for _, c := range []struct {
		name                string
		known, stored, want claim.Entry
	}{
		{"lost Done state", claim.Entry{Owner: "a", Attempt: 1, State: claim.Done, Status: 200}, claim.Entry{Owner: "a", Attempt: 1, State: claim.Claimed},
			claim.Entry{Owner: "a", Attempt: 1, State: claim.Done, Status: 200}},
		{"lost release", claim.Entry{Owner: "a", Attempt: 1, State: claim.Released}, claim.Entry{Owner: "a", Attempt: 1, State: claim.Claimed},
			claim.Entry{Owner: "a", Attempt: 1, State: claim.Released}},
		{"lost later attempt", claim.Entry{Owner: "b", Attempt: 2, State: claim.Claimed}, claim.Entry{Owner: "a", Attempt: 1, State: claim.Released},
			claim.Entry{Owner: "b", Attempt: 2, State: claim.Claimed}},
		{"claimed again since", claim.Entry{Owner: "a", Attempt: 1, State: claim.Released}, claim.Entry{Owner: "b", Attempt: 2, State: claim.Claimed},
			claim.Entry{Owner: "b", Attempt: 2, State: claim.Claimed}},
		{"has run, and was claimed again since", claim.Entry{Owner: "a", Attempt: 1, State: claim.Done, Status: 200}, claim.Entry{Owner: "b", Attempt: 2, State: claim.Claimed},
			claim.Entry{Owner: "a", Attempt: 1, State: claim.Done, Status: 200}},
	} {
		t.Run(c.name, func(t *testing.T) {
			known := claim.Shard{Entries: map[string]claim.Entry{"k": c.known, "known": c.known}}
			stored := claim.Shard{Entries: map[string]claim.Entry{"k": c.stored, "stored": c.stored}}
			merged := claim.Merge(known, stored)
			require.Equal(t, map[string]claim.Entry{"k": c.want, "known": c.known, "stored": c.stored}, merged.Entries)
		})
	}
	require.Empty(t, claim.Merge(claim.Shard{}, claim.Shard{}).Entries)
}
