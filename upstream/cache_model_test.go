package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWarmthIsLearned checks that objects that are not known are taken for cold until
// answers show that others have made them warm, at first targets and at others apart.
func TestWarmthIsLearned(t *testing.T) {
	var w warmth
	require.Zero(t, w.expects(false, true))
	require.Equal(t, 1.0, w.expects(true, true))
	first, other := SendState{FirstChoice: true}, SendState{}
	require.Zero(t, w.learn(first, time.Second), "nothing to compare it with")
	require.InDelta(t, 1, w.learn(SendState{KeyKnown: true, Load: 2}, 200*time.Millisecond), 1e-9, "the wait is taken off")
	for range 200 {
		w.learn(first, 120*time.Millisecond)
		w.learn(other, 300*time.Millisecond)
	}
	require.Greater(t, w.expects(false, true), 0.95)
	require.Less(t, w.expects(false, false), 0.05)
	for range 100 {
		w.learn(first, 300*time.Millisecond)
	}
	require.Less(t, w.expects(false, true), 0.05, "after a loss of power all is cold again")
}

// TestSlownessIsLearned checks that a target that answers slowly for objects that it has
// counts as loaded, that one cold run does not, and that it is forgotten.
func TestSlownessIsLearned(t *testing.T) {
	var s slowness
	require.Equal(t, 1.0, s.factor())
	s.take(1.3)
	require.Equal(t, 1.0, s.factor(), "times spread")
	for range 3 {
		s.take(6)
	}
	require.Greater(t, s.factor(), 4.0)
	for range 4 {
		s.take(0.9)
	}
	require.Equal(t, 1.0, s.factor())
}

// TestOneSlowTargetIsNotUsual checks that slow answers hardly change what is usual.
func TestOneSlowTargetIsNotUsual(t *testing.T) {
	var w warmth
	known := SendState{KeyKnown: true}
	w.learn(known, 100*time.Millisecond)
	for i := range 200 {
		took := 100 * time.Millisecond
		if i%10 == 0 {
			took = time.Second
		}
		w.learn(known, took)
	}
	require.InDelta(t, 0.1, w.usual, 0.025)
}

// TestFastTargetIsNotTakenForSlow checks that a target that answers within milliseconds is
// not taken for slow, and so for full, since one answer was held up for a moment.
func TestFastTargetIsNotTakenForSlow(t *testing.T) {
	var w warmth
	sent := SendState{KeyKnown: true, Load: 1}
	w.learn(sent, 300*time.Microsecond)
	var s slowness
	for range 3 {
		s.take(w.learn(sent, 15*time.Millisecond))
	}
	require.InDelta(t, 1, s.factor(), 1e-9)
	s.take(w.learn(sent, time.Second))
	require.Greater(t, s.factor(), 2.0, "a second is slow")
}
