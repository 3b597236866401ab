package feed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/feed"
)

// TestRemovalHold checks random sequences of outages, removals and returning objects. A
// removal must be held only in the two seconds after an outage of at least three seconds, in
// which calls failed for a second.
// An object that has returned must never be removed, and each held removal must take effect
// exactly once, at the end of the hold as of its observation or later.
func TestRemovalHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h feed.RemovalHold
		now := time.Unix(1000, 0)
		heard, until := now, time.Time{}
		h.StoreAnswered(now)
		ends := map[string]time.Time{}
		names := []string{"a", "b", "c"}
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
			for _, name := range h.Expired(now) {
				require.Contains(t, ends, name)
				require.False(t, now.Before(ends[name]))
				delete(ends, name)
			}
			name := rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				h.StoreAnswered(now)
				heard = now
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "until the first failure")) * time.Second)
				failed := now
				h.StoreFailed(now)
				for range rapid.IntRange(0, 8).Draw(t, "seconds of failing") {
					now = now.Add(time.Second)
					h.StoreFailed(now)
				}
				for _, name := range h.Expired(now) {
					require.False(t, now.Before(ends[name]))
					delete(ends, name)
				}
				h.StoreAnswered(now)
				if now.Sub(heard) >= 3*time.Second && now.Sub(failed) >= time.Second {
					until = now.Add(2 * time.Second)
				}
				heard = now
			case 2:
				end, known := ends[name]
				if !known {
					end = until
				}
				held := h.Hold(now, name)
				require.Equal(t, now.Before(end), held)
				if held {
					ends[name] = end
				}
			case 3:
				h.Cancel(name)
				delete(ends, name)
			}
		}
		now = now.Add(10 * time.Second)
		require.Len(t, h.Expired(now), len(ends))
		require.Empty(t, h.Expired(now))
	})
}

// TestRemovalHoldInherited checks that an instance that has seen no outage holds removals
// for as long as the instance that sent them, less the time that a message may take.
func TestRemovalHoldInherited(t *testing.T) {
	var h feed.RemovalHold
	now := time.Unix(1000, 0)
	require.False(t, h.Hold(now, "a"))
	h.Inherit(now, time.Second, 0)
	require.True(t, h.Hold(now, "a"))
	require.Empty(t, h.Expired(now.Add(799*time.Millisecond)))
	require.Equal(t, []string{"a"}, h.Expired(now.Add(800*time.Millisecond)))
	h.Inherit(now, time.Hour, 0)
	require.Equal(t, 2*time.Second, h.Remaining(now), "the hold is bounded")
	var late feed.RemovalHold
	late.Inherit(now, time.Hour, 1500*time.Millisecond)
	require.Equal(t, 500*time.Millisecond, late.Remaining(now))
	late.Inherit(now, time.Hour, 3*time.Second)
	require.Equal(t, 500*time.Millisecond, late.Remaining(now))
}

// TestHeldRemovalEndsInTime guards against a target that is used for as long as instances tell each other of
// outages: whatever is heard after a removal was observed, in any order, it is in force two seconds later.
func TestHeldRemovalEndsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h feed.RemovalHold
		now := time.Unix(1000, 0)
		h.StoreAnswered(now)
		heldAt := map[string]time.Time{}
		for range 80 {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			for _, name := range h.Expired(now) {
				delete(heldAt, name)
			}
			for name, at := range heldAt {
				require.Less(t, now.Sub(at), 2*time.Second, name)
			}
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				h.Inherit(now, time.Duration(rapid.IntRange(0, 10_000).Draw(t, "remaining"))*time.Millisecond, 0)
			case 1:
				h.StoreFailed(now)
			case 2:
				h.StoreAnswered(now)
			case 3:
				if h.Hold(now, name) && heldAt[name].IsZero() {
					heldAt[name] = now
				}
			case 4:
				h.Cancel(name)
				delete(heldAt, name)
			}
		}
	})
}

// TestHoldsPassedInCircleEnd guards against removals that are held for as long as instances tell each other of
// an outage that has long ended. However often they do, with messages that take up to 150 ms, nothing is held
// four seconds after it.
func TestHoldsPassedInCircleEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holds := make([]feed.RemovalHold, 3)
		now := time.Unix(1000, 0)
		holds[0].StoreAnswered(now)
		holds[0].StoreFailed(now)
		now = now.Add(5 * time.Second)
		holds[0].StoreAnswered(now)
		end := now.Add(4 * time.Second)
		for from := 0; now.Before(end); {
			to := (from + rapid.IntRange(1, 2).Draw(t, "to")) % len(holds)
			remaining := holds[from].Remaining(now)
			now = now.Add(time.Duration(rapid.IntRange(1, 150).Draw(t, "ms")) * time.Millisecond)
			holds[to].Inherit(now, remaining, 0)
			from = to
		}
		for i := range holds {
			require.Zero(t, holds[i].Remaining(now))
		}
	})
}

// TestRareFailuresAreNoOutage guards against an instance that calls the store rarely and takes a failure of long
// ago for the begin of an outage.
func TestRareFailuresAreNoOutage(t *testing.T) {
	var h feed.RemovalHold
	now := time.Unix(1000, 0)
	h.StoreAnswered(now)
	for range 3 {
		now = now.Add(time.Minute)
		h.StoreFailed(now)
	}
	now = now.Add(300 * time.Millisecond)
	h.StoreAnswered(now)
	require.Zero(t, h.Remaining(now))
	h.StoreFailed(now.Add(time.Second))
	now = now.Add(time.Minute)
	h.StoreAnswered(now)
	require.Zero(t, h.Remaining(now))
}
