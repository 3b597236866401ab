package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCacheModelLearnsHitRate checks that objects that are not known are taken for cold until
// answers show that others have made them warm, at first targets and at others apart.
func TestCacheModelLearnsHitRate(t *testing.T) {
	var w cacheModel
	require.Zero(t, w.hitProbability(false, true))
	require.Equal(t, 1.0, w.hitProbability(true, true))
	first, other := SendState{FirstChoice: true}, SendState{}
	require.Zero(t, w.observe(first, time.Second), "nothing to compare it with")
	require.InDelta(t, 1, w.observe(SendState{KeyKnown: true, Load: 2}, 200*time.Millisecond), 1e-9, "the wait is taken off")
	for range 200 {
		w.observe(first, 120*time.Millisecond)
		w.observe(other, 300*time.Millisecond)
	}
	require.Greater(t, w.hitProbability(false, true), 0.95)
	require.Less(t, w.hitProbability(false, false), 0.05)
	for range 100 {
		w.observe(first, 300*time.Millisecond)
	}
	require.Less(t, w.hitProbability(false, true), 0.05, "after a loss of power all is cold again")
}

// TestSlownessIsLearned checks that a target that answers slowly for objects that it has
// counts as loaded, that one cold run does not, and that it is forgotten.
func TestSlownessIsLearned(t *testing.T) {
	var s slowness
	require.Equal(t, 1.0, s.factor())
	s.observe(1.3)
	require.Equal(t, 1.0, s.factor(), "times spread")
	for range 3 {
		s.observe(6)
	}
	require.Greater(t, s.factor(), 4.0)
	for range 4 {
		s.observe(0.9)
	}
	require.Equal(t, 1.0, s.factor())
}

// TestSlowAnswersHardlyRaiseWarmLatency checks that slow answers hardly change what is usual.
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

// TestFastTargetIsNotMarkedSlow checks that a target that answers within milliseconds is
// not taken for slow, and so for full, since one answer was held up for a moment.
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
	require.Greater(t, s.factor(), 2.0, "a second is slow")
}
