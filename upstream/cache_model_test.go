package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCacheModelLearnsHitRate checks that unknown objects count as not cached until responses show
// cache hits, and that first and other targets are learned separately.
func TestCacheModelLearnsHitRate(t *testing.T) {
	var w cacheModel
	require.Zero(t, w.hitProbability(false, true))
	require.Equal(t, 1.0, w.hitProbability(true, true))
	first, other := SendState{FirstChoice: true}, SendState{}
	require.Zero(t, w.observe(first, time.Second), "no warm latency is known yet")
	require.InDelta(t, 1, w.observe(SendState{KeyKnown: true, Load: 2}, 200*time.Millisecond), 1e-9, "the waiting time is subtracted")
	for range 200 {
		w.observe(first, 120*time.Millisecond)
		w.observe(other, 300*time.Millisecond)
	}
	require.Greater(t, w.hitProbability(false, true), 0.95)
	require.Less(t, w.hitProbability(false, false), 0.05)
	for range 100 {
		w.observe(first, 300*time.Millisecond)
	}
	require.Less(t, w.hitProbability(false, true), 0.05, "after a power failure nothing is cached")
}

// TestSlownessIsLearned checks that slow cache hits raise the load factor of a target, that normal
// variation does not, and that the factor falls again.
func TestSlownessIsLearned(t *testing.T) {
	var s slowness
	require.Equal(t, 1.0, s.factor())
	s.observe(1.3)
	require.Equal(t, 1.0, s.factor(), "normal variation")
	for range 3 {
		s.observe(6)
	}
	require.Greater(t, s.factor(), 4.0)
	for range 4 {
		s.observe(0.9)
	}
	require.Equal(t, 1.0, s.factor())
}

// TestSlowAnswersHardlyRaiseWarmLatency checks that the warm latency changes by at most a quarter if
// one in ten responses takes ten times as long as the others.
func TestSlowAnswersHardlyRaiseWarmLatency(t *testing.T) {
	var w cacheModel
	known := SendState{KeyKnown: true}
	w.observe(known, 100*time.Millisecond)
	for i := range 200 {
		took := 100 * time.Millisecond
		if i%10 == 0 {
			took = time.Second
		}
		w.observe(known, took)
	}
	require.InDelta(t, 0.1, w.warmLatency, 0.025)
}

// TestFastTargetIsNotMarkedSlow checks that a target that responds within a millisecond does not
// count as slow, and therefore as full, because a few responses were delayed by the scheduler.
func TestFastTargetIsNotMarkedSlow(t *testing.T) {
	var w cacheModel
	sent := SendState{KeyKnown: true, Load: 1}
	w.observe(sent, 300*time.Microsecond)
	var s slowness
	for range 3 {
		s.observe(w.observe(sent, 15*time.Millisecond))
	}
	require.InDelta(t, 1, s.factor(), 1e-9)
	s.observe(w.observe(sent, time.Second))
	require.Greater(t, s.factor(), 2.0, "a latency of one second is slow")
}
