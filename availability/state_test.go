package availability_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/availability"
)

var start = time.Unix(1000, 0)

// at is a time some seconds after the start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func TestOwnWordOutlivesTheList(t *testing.T) {
	var s availability.State
	s.List(at(0), false)
	require.True(t, s.May(at(0)))
	require.True(t, s.Leave(at(1), availability.SourceWord))
	require.False(t, s.Leave(at(2), availability.SourcePeer), "known")
	s.List(at(3), false)
	s.Unlist(at(4))
	s.List(at(5), false)
	s.Drain(at(5), false)
	s.Evacuate(at(5), false)
	require.Equal(t, availability.Verdict{Cause: availability.CauseLeaving, Source: availability.SourceWord, Since: at(1)}, s.Judge(at(3600)))
}

func TestListTakesBackItsOwn(t *testing.T) {
	var s availability.State
	s.List(at(0), true)
	require.Equal(t, availability.SourceList, s.Judge(at(0)).Source)
	s.Drain(at(1), true)
	s.List(at(2), false)
	require.Equal(t, availability.Verdict{Cause: availability.CauseLeaving, Source: availability.SourceOperator, Since: at(1)}, s.Judge(at(2)))
	s.Drain(at(3), false)
	require.True(t, s.Judge(at(3)).OK())
}

// TestLongestRest checks that rests are kept to their end, that a shorter one changes nothing,
// and that none is longer than an hour.
func TestLongestRest(t *testing.T) {
	var s availability.State
	s.Rest(at(0), 3*time.Second)
	s.Rest(at(1), time.Second)
	require.Equal(t, availability.Verdict{Cause: availability.CauseResting, Source: availability.SourceWord, Since: at(0), Until: at(3)}, s.Judge(at(2.9)))
	require.True(t, s.May(at(3)))
	s.Rest(at(10), 1<<62)
	require.Equal(t, at(3610), s.Judge(at(10)).Until)
	require.Equal(t, at(10), s.Judge(at(10)).Since, "another rest")
	require.True(t, s.May(at(3610)))
}

// naive is a State by its definition: all that was ever said, looked through for each question.
type naive struct {
	replaced, gone, evacuated, listed, drained, word bool
	spans                                            []naiveSpan
}

type naiveSpan struct {
	cause availability.Cause
	until time.Time
}

// causes returns what is in the way at a time.
func (n *naive) causes(now time.Time) map[availability.Cause]bool {
	out := make(map[availability.Cause]bool)
	for cause, set := range map[availability.Cause]bool{
		availability.CauseReplaced: n.replaced, availability.CauseGone: n.gone, availability.CauseEvacuated: n.evacuated,
		availability.CauseLeaving: n.listed || n.drained || n.word,
	} {
		if set {
			out[cause] = true
		}
	}
	for _, s := range n.spans {
		if now.Before(s.until) {
			out[s.cause] = true
		}
	}
	return out
}

// TestStateFollowsItsDefinition checks any sequence of facts against the naive reference.
func TestStateFollowsItsDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s availability.State
		var n naive
		now := start
		span := func(cause availability.Cause, set func(until time.Time)) {
			until := now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			set(until)
			n.spans = append(n.spans, naiveSpan{cause, until})
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pass")) * time.Millisecond)
			set := rapid.Bool().Draw(t, "set")
			switch rapid.IntRange(0, 8).Draw(t, "fact") {
			case 0:
				s.List(now, set)
				n.listed, n.gone = set, false
			case 1:
				s.Unlist(now)
				n.gone = true
			case 2:
				s.Drain(now, set)
				n.drained = set
			case 3:
				s.Evacuate(now, set)
				n.evacuated = set
			case 4:
				s.Replace(now)
				n.replaced = true
			case 5:
				require.Equal(t, !n.word, s.Leave(now, availability.SourcePeer))
				n.word = true
			case 6:
				span(availability.CauseResting, func(until time.Time) { s.Rest(now, until.Sub(now)) })
			case 7:
				span(availability.CauseSuspected, func(until time.Time) { s.Suspect(now, until) })
			case 8:
				span(availability.CausePaused, func(until time.Time) { s.Pause(now, until, availability.SourceOwn) })
			}
			causes := n.causes(now)
			verdict := s.Judge(now)
			require.Equal(t, len(causes) == 0, verdict.OK())
			require.Equal(t, verdict.OK(), s.May(now))
			if !verdict.OK() {
				require.True(t, causes[verdict.Cause], "%v of %v", verdict.Cause, causes)
				require.False(t, verdict.Since.After(now))
			}
			require.Equal(t, verdict.OK() || !verdict.Until.IsZero(), s.Serves())
			if !verdict.Until.IsZero() {
				require.True(t, len(n.causes(verdict.Until)) == 0, "the last of the spans decides")
			}
		}
	})
}
