package availability_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/availability"
)

var start = time.Unix(1000, 0)

// at returns the time some seconds after the start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func TestAnnouncedLeavingOverridesList(t *testing.T) {
	var s availability.State
	s.SetListed(at(0), false)
	require.True(t, s.Available(at(0)))
	require.True(t, s.SetLeaving(at(1), availability.SourceTarget))
	require.False(t, s.SetLeaving(at(2), availability.SourcePeer), "already announced")
	s.SetListed(at(3), false)
	s.SetUnlisted(at(4))
	s.SetListed(at(5), false)
	s.SetDrained(at(5), false)
	s.SetEvacuated(at(5), false)
	require.Equal(t, availability.Verdict{Cause: availability.CauseLeaving, Source: availability.SourceTarget, Since: at(1)}, s.Verdict(at(3600)))
}

func TestListClearsOnlyItsOwnCondition(t *testing.T) {
	var s availability.State
	s.SetListed(at(0), true)
	require.Equal(t, availability.SourceList, s.Verdict(at(0)).Source)
	s.SetDrained(at(1), true)
	s.SetListed(at(2), false)
	require.Equal(t, availability.Verdict{Cause: availability.CauseLeaving, Source: availability.SourceOperator, Since: at(1)}, s.Verdict(at(2)))
	s.SetDrained(at(3), false)
	require.True(t, s.Verdict(at(3)).OK())
}

// TestBackoffIsBounded checks that a back-off lasts until its end, that a shorter one does not
// change it, and that none is longer than maxBackoff.
func TestBackoffIsBounded(t *testing.T) {
	var s availability.State
	s.BackOff(at(0), 3*time.Second)
	s.BackOff(at(1), time.Second)
	require.Equal(t, availability.Verdict{Cause: availability.CauseBackoff, Source: availability.SourceTarget, Since: at(0), Until: at(3)}, s.Verdict(at(2.9)))
	require.True(t, s.Available(at(3)))
	s.BackOff(at(10), 1<<62)
	require.Equal(t, at(3610), s.Verdict(at(10)).Until)
	require.Equal(t, at(10), s.Verdict(at(10)).Since, "another back-off")
	require.True(t, s.Available(at(3610)))
}

// referenceState is a reference implementation of State that stores all conditions and evaluates
// them for each question.
type referenceState struct {
	replaced, gone, evacuated, listed, drained, announced bool
	timed                                                 []referenceTimed
}

type referenceTimed struct {
	cause availability.Cause
	until time.Time
}

// causes returns the causes that hold at the given time.
func (ref *referenceState) causes(now time.Time) map[availability.Cause]bool {
	out := make(map[availability.Cause]bool)
	for cause, set := range map[availability.Cause]bool{
		availability.CauseReplaced: ref.replaced, availability.CauseGone: ref.gone, availability.CauseEvacuated: ref.evacuated,
		availability.CauseLeaving: ref.listed || ref.drained || ref.announced,
	} {
		if set {
			out[cause] = true
		}
	}
	for _, s := range ref.timed {
		if now.Before(s.until) {
			out[s.cause] = true
		}
	}
	return out
}

// TestStateMatchesReference applies random sequences of conditions to a State and compares it with
// the reference.
func TestStateMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s availability.State
		var ref referenceState
		now := start
		timed := func(cause availability.Cause, set func(until time.Time)) {
			until := now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			set(until)
			ref.timed = append(ref.timed, referenceTimed{cause, until})
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pass")) * time.Millisecond)
			set := rapid.Bool().Draw(t, "set")
			switch rapid.IntRange(0, 8).Draw(t, "fact") {
			case 0:
				s.SetListed(now, set)
				ref.listed, ref.gone = set, false
			case 1:
				s.SetUnlisted(now)
				ref.gone = true
			case 2:
				s.SetDrained(now, set)
				ref.drained = set
			case 3:
				s.SetEvacuated(now, set)
				ref.evacuated = set
			case 4:
				s.SetReplaced(now)
				ref.replaced = true
			case 5:
				require.Equal(t, !ref.announced, s.SetLeaving(now, availability.SourcePeer))
				ref.announced = true
			case 6:
				timed(availability.CauseBackoff, func(until time.Time) { s.BackOff(now, until.Sub(now)) })
			case 7:
				timed(availability.CauseSuspected, func(until time.Time) { s.Suspect(now, until) })
			case 8:
				timed(availability.CausePaused, func(until time.Time) { s.Pause(now, until, availability.SourceLocal) })
			}
			causes := ref.causes(now)
			verdict := s.Verdict(now)
			require.Equal(t, len(causes) == 0, verdict.OK())
			require.Equal(t, verdict.OK(), s.Available(now))
			if !verdict.OK() {
				require.True(t, causes[verdict.Cause], "cause %v, want one of %v", verdict.Cause, causes)
				require.False(t, verdict.Since.After(now))
			}
			require.Equal(t, verdict.OK() || !verdict.Until.IsZero(), s.InService())
			if !verdict.Until.IsZero() {
				require.True(t, len(ref.causes(verdict.Until)) == 0, "the last timed condition decides")
			}
		}
	})
}
