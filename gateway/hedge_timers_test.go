package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHedgeTimers checks that an attempt that ends in time is not hedged, that one that is due is hedged once and
// can't end in time any more, and that the search for due hedges ends.
func TestHedgeTimers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := &hedgeTimers{}
		g := &Gateway{}
		newAttempt := func(delay time.Duration) *hedgedAttempt {
			return &hedgedAttempt{g: g, firstEnded: true, dueAt: time.Now().Add(delay)}
		}
		ended, due, later := newAttempt(100*time.Millisecond), newAttempt(100*time.Millisecond), newAttempt(time.Second)
		states := []uint32{ts.start(ended), ts.start(due), ts.start(later)}
		require.True(t, ended.state.end(states[0]))
		require.False(t, ended.state.end(states[0]))
		again := ts.start(ended)
		time.Sleep(90 * time.Millisecond)
		require.Equal(t, states[1], due.state.Load())
		time.Sleep(30 * time.Millisecond)
		require.False(t, due.state.end(states[1]), "it was hedged")
		require.False(t, ended.state.end(again), "the attempt that was started later was hedged")
		require.True(t, later.state.end(states[2]))
		time.Sleep(hedgeIdleTime + 2*maxHedgeTick)
		ts.mu.Lock()
		defer ts.mu.Unlock()
		require.Empty(t, ts.pending)
		require.False(t, ts.running)
	})
}
