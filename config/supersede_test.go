package config_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/config"
)

// TestSupersedes checks when a stored value counts as an earlier state of a held one, and which
// changes the stored document lacks.
func TestSupersedes(t *testing.T) {
	changes := func(ids ...string) []config.Change {
		var out []config.Change
		for i, id := range ids {
			out = append(out, config.Change{Number: int64(i + 1), ID: id})
		}
		return out
	}
	document := func(ids ...string) any {
		return config.Document{Number: int64(len(ids)), Recent: changes(ids...)}
	}
	page := func(ids ...string) any { return map[string]any{"changes": changes(ids...)} }
	audit := config.AuditPrefix + "0000000000"
	for _, c := range []struct {
		name         string
		key          string
		held, stored any
		want         bool
		// lost are the IDs of the changes that the stored document lacks.
		lost []string
	}{
		{"a change more", config.Key, document("a", "b"), document("a"), true, []string{"b"}},
		{"none stored", config.Key, document("a"), document(), true, []string{"a"}},
		{"the same", config.Key, document("a"), document("a"), false, nil},
		{"a change less", config.Key, document("a"), document("a", "b"), false, nil},
		{"another change since", config.Key, document("a", "b", "c"), document("a", "x"), false, []string{"b", "c"}},
		{"a page with a change more", audit, page("a", "b"), page("a"), true, nil},
		{"the same page", audit, page("a"), page("a"), false, nil},
		{"another object", "held/1/1", 2, 1, false, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			held, err := json.Marshal(c.held)
			require.NoError(t, err)
			stored, err := json.Marshal(c.stored)
			require.NoError(t, err)
			require.Equal(t, c.want, config.Supersedes(c.key, held, stored))
			if c.key == config.Key {
				var lost []string
				for _, change := range config.LostChanges(held, stored) {
					lost = append(lost, change.ID)
				}
				require.Equal(t, c.lost, lost)
				require.Equal(t, c.name == "the same", config.SameLatestChange(held, stored))
				require.False(t, config.SameLatestChange([]byte("["), stored) || config.SameLatestChange(held, []byte("[")))
				require.Empty(t, config.LostChanges([]byte("["), stored))
				require.Empty(t, config.LostChanges(held, []byte("[")))
			}
			require.False(t, config.Supersedes(c.key, []byte("["), stored))
			require.False(t, config.Supersedes(c.key, held, []byte("[")))
		})
	}
}
