package availability

import "time"

// Cause is what keeps requests from a target.
type Cause string

// The causes, the most lasting first. The last three are set by who counts the requests at the
// target: one request is finding out whether a target that was suspected is back, a cold target
// has had what it bears, and one that names a limit what it takes.
const (
	CauseNone      Cause = ""
	CauseReplaced  Cause = "replaced"
	CauseGone      Cause = "gone"
	CauseLeaving   Cause = "leaving"
	CauseEvacuated Cause = "evacuated"
	CauseResting   Cause = "resting"
	CauseSuspected Cause = "suspected"
	CausePaused    Cause = "paused"
	CauseTrying    Cause = "trying"
	CauseCold      Cause = "cold"
	CauseLimited   Cause = "limited"
)

// Source is who has said what keeps requests from a target.
type Source string

// The sources.
const (
	// SourceList is the list of targets, or of halls that are being emptied.
	SourceList Source = "list"
	// SourceOperator is the operators' table.
	SourceOperator Source = "operator"
	// SourceWord is the target itself, in an answer to this instance.
	SourceWord Source = "word"
	// SourcePeer is another instance.
	SourcePeer Source = "peer"
	// SourceOwn is what requests of this instance have met.
	SourceOwn Source = "own"
)

// Verdict says whether a target may be sent a request, and if not, what is in the way.
type Verdict struct {
	// Cause is CauseNone if the target may be sent one.
	Cause  Cause
	Source Source
	// Since is when the cause became known here.
	Since time.Time
	// Until is when it passes, zero if nobody can tell.
	Until time.Time
}

// OK tells whether the target may be sent a request.
func (v Verdict) OK() bool { return v.Cause == CauseNone }

// longestRest bounds what a target may ask for. One that asks for more is asked again after
// that time, by one request of each instance: a value that was written by mistake must not keep
// a target from all callers for good.
const longestRest = time.Hour

// mark is a fact that keeps requests from a target. The zero value is none.
type mark struct {
	set    bool
	source Source
	since  time.Time
}

// put sets the mark, unless it is, or clears it.
func (m *mark) put(now time.Time, source Source, set bool) {
	switch {
	case !set:
		*m = mark{}
	case !m.set:
		*m = mark{set: true, source: source, since: now}
	}
}

// span is a fact that keeps requests from a target until a time.
type span struct {
	source       Source
	since, until time.Time
}

// extend has the span last until a time, if that is later than it does.
func (s *span) extend(now time.Time, source Source, until time.Time) {
	if !until.After(s.until) {
		return
	}
	if !now.Before(s.until) {
		s.since = now
	}
	s.source, s.until = source, until
}

// State is what is known of one incarnation of a target. The zero value keeps nothing from
// it. It is not safe for concurrent use.
type State struct {
	// lasting says that one of the marks is set, and until is the latest end of the
	// spans: most targets are judged by these two alone, which come first to lie in one
	// cache line with what comes before them.
	lasting bool
	until   time.Time

	// facts is nil while there are none, as for nearly all of the thousands of targets of a large
	// fleet.
	facts *facts
}

// facts are what keeps requests from a target.
type facts struct {
	rest, suspicion, pause span

	replaced, gone, evacuated mark
	// The three ways to know that a target leaves.
	listed, word, drained mark
}

// noFacts is what is read where there are none. It is never written to.
var noFacts = new(facts)

// known returns what is known, to be read only.
func (s *State) known() *facts {
	if s.facts == nil {
		return noFacts
	}
	return s.facts
}

// own returns what is known, to be changed.
func (s *State) own() *facts {
	if s.facts == nil {
		s.facts = &facts{}
	}
	return s.facts
}

// put sets or clears the mark that a function returns.
func (s *State) put(now time.Time, source Source, set bool, of func(*facts) *mark) {
	if set || s.facts != nil {
		of(s.own()).put(now, source, set)
		s.review()
	}
}

func (s *State) review() {
	f := s.known()
	s.lasting = f.replaced.set || f.gone.set || f.evacuated.set || f.listed.set || f.word.set || f.drained.set
	s.until = f.rest.until
	if f.suspicion.until.After(s.until) {
		s.until = f.suspicion.until
	}
	if f.pause.until.After(s.until) {
		s.until = f.pause.until
	}
	if !s.lasting && s.until.IsZero() {
		s.facts = nil
	}
}

// List takes in the target's entry in the list, which says whether it leaves. A target with an
// entry is not gone.
func (s *State) List(now time.Time, leaves bool) {
	s.put(now, SourceList, false, func(f *facts) *mark { return &f.gone })
	s.put(now, SourceList, leaves, func(f *facts) *mark { return &f.listed })
}

// Unlist takes in that the target is no longer in the list.
func (s *State) Unlist(now time.Time) {
	s.put(now, SourceList, true, func(f *facts) *mark { return &f.gone })
}

// Drain takes in whether operators drain the target.
func (s *State) Drain(now time.Time, drained bool) {
	s.put(now, SourceOperator, drained, func(f *facts) *mark { return &f.drained })
}

// Evacuate takes in whether the target's hall is being emptied.
func (s *State) Evacuate(now time.Time, evacuated bool) {
	s.put(now, SourceList, evacuated, func(f *facts) *mark { return &f.evacuated })
}

// Replace takes in that another target has answered at the address.
func (s *State) Replace(now time.Time) {
	s.put(now, SourceOwn, true, func(f *facts) *mark { return &f.replaced })
}

// Leave takes in that the target said at a time, to this or to another instance, that it
// leaves. It reports whether that is new. Nothing takes it back.
func (s *State) Leave(at time.Time, source Source) bool {
	if s.known().word.set {
		return false
	}
	s.put(at, source, true, func(f *facts) *mark { return &f.word })
	return true
}

// Rest takes in that the target asks for a rest from now on. A shorter one than it has asked for
// before changes nothing.
func (s *State) Rest(now time.Time, length time.Duration) {
	s.own().rest.extend(now, SourceWord, now.Add(min(length, longestRest)))
	s.review()
}

// Suspect keeps requests from the target until a time because it did not answer.
func (s *State) Suspect(now, until time.Time) {
	s.own().suspicion.extend(now, SourceOwn, until)
	s.review()
}

// Pause keeps requests from the target until a time.
func (s *State) Pause(now, until time.Time, source Source) {
	s.own().pause.extend(now, source, until)
	s.review()
}

// Serves tells whether nothing lasting keeps requests from the target: spans pass.
func (s *State) Serves() bool { return !s.lasting }

// May tells whether the target may be sent a request now. It is Judge(now).OK() at less cost.
func (s *State) May(now time.Time) bool { return !s.lasting && !now.Before(s.until) }

// Judge tells whether the target may be sent a request now, and what lasts longest if not.
func (s *State) Judge(now time.Time) Verdict {
	if s.lasting {
		return s.lastingVerdict()
	}
	if !now.Before(s.until) {
		return Verdict{}
	}
	f := s.known()
	for _, c := range []struct {
		cause Cause
		span  span
	}{{CauseResting, f.rest}, {CauseSuspected, f.suspicion}, {CausePaused, f.pause}} {
		if c.span.until.Equal(s.until) {
			return Verdict{Cause: c.cause, Source: c.span.source, Since: c.span.since, Until: c.span.until}
		}
	}
	return Verdict{}
}

func (s *State) lastingVerdict() Verdict {
	f := s.known()
	for _, c := range []struct {
		cause Cause
		mark  mark
	}{
		{CauseReplaced, f.replaced}, {CauseGone, f.gone},
		{CauseLeaving, f.word}, {CauseLeaving, f.listed}, {CauseLeaving, f.drained},
		{CauseEvacuated, f.evacuated},
	} {
		if c.mark.set {
			return Verdict{Cause: c.cause, Source: c.mark.source, Since: c.mark.since}
		}
	}
	return Verdict{}
}

// SuspectedUntil returns until when the target gets nothing because it did not answer.
func (s *State) SuspectedUntil() time.Time { return s.known().suspicion.until }

// PausedUntil returns until when the target gets nothing because it was paused.
func (s *State) PausedUntil() time.Time { return s.known().pause.until }

// RestsUntil returns until when the target gets nothing because it asked for that.
func (s *State) RestsUntil() time.Time { return s.known().rest.until }

// Replaced tells whether another target has answered at the address.
func (s *State) Replaced() bool { return s.known().replaced.set }

// Gone tells whether the target is no longer listed.
func (s *State) Gone() bool { return s.known().gone.set }

// Evacuated tells whether the target's hall is being emptied.
func (s *State) Evacuated() bool { return s.known().evacuated.set }

// Leaves tells whether the target said itself that it leaves.
func (s *State) Leaves() bool { return s.known().word.set }
