package feed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/feed"
)

// TestTombstones compares random sequences of removals, restores, lists and writes with a
// simple reference. An object must be suppressed exactly if it was removed within the
// maximum age of a backup and not written since, and only during the hold. Each suppressed
// object that still exists must take effect exactly once.
func TestTombstones(t *testing.T) {
	const hold, copyAge = 2 * time.Second, 30 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var ts feed.Tombstones
		now := time.Unix(1000, 0)
		until := now
		removed := map[string]time.Time{}
		held := map[string]bool{}
		expire := func() {
			for _, name := range ts.Expired(now) {
				require.True(t, held[name], name)
				require.False(t, now.Before(until))
				delete(held, name)
				delete(removed, name)
			}
			_, holding := ts.NextExpiry(now)
			require.Equal(t, len(held) > 0, holding)
		}
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			expire()
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				ts.Add(now, name)
				removed[name] = now
				delete(held, name)
			case 1:
				ts.StoreRestored(now, hold)
				until = now.Add(hold)
			case 2:
				at, known := removed[name]
				want := known && now.Sub(at) <= copyAge && now.Before(until)
				require.Equal(t, want, ts.Hold(now, name))
				held[name] = held[name] || want
				if !held[name] {
					delete(held, name)
				}
			case 3:
				ts.Rewritten(name)
				delete(removed, name)
				delete(held, name)
			case 4:
				ts.Prune(now)
			}
		}
		now = now.Add(time.Minute)
		expire()
		require.Empty(t, held)
	})
}
