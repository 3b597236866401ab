package availability

import "time"

// Cause is what keeps requests from a target.
type Cause string

// The causes, the most lasting first. The last three are set by who counts the requests at the
// target: one request is finding out whether a target that was suspected is back, a cold target
// has had what it bears, and one that names a limit what it takes.
const (
	CauseNone        Cause = ""
	CauseReplaced    Cause = "replaced"
	CauseGone        Cause = "gone"
	CauseLeaving     Cause = "leaving"
	CauseEvacuated   Cause = "evacuated"
	CauseBackoff     Cause = "resting"
	CauseSuspected   Cause = "suspected"
	CausePaused      Cause = "paused"
	CauseProbing     Cause = "trying"
	CauseCold        Cause = "cold"
	CauseRateLimited Cause = "limited"
)

// Source is who has said what keeps requests from a target.
type Source string

// The sources.
const (
	// SourceList is the list of targets, or of halls that are being emptied.
	SourceList Source = "list"
	// SourceOperator is the operators' table.
	SourceOperator Source = "operator"
	// SourceTarget is the target itself, in an answer to this instance.
	SourceTarget Source = "word"
	// SourcePeer is another instance.
	SourcePeer Source = "peer"
	// SourceLocal is what requests of this instance have met.
	SourceLocal Source = "own"
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

// maxBackoff bounds what a target may ask for. One that asks for more is asked again after
// that time, by one request of each instance: a value that was written by mistake must not keep
// a target from all callers for good.
const maxBackoff = time.Hour

// condition is a fact that keeps requests from a target. The zero value is none.
type condition struct {
	active bool
	source Source
	since  time.Time
}

// update sets the mark, unless it is, or clears it.
func (c *condition) update(now time.Time, source Source, set bool) {
	switch {
	case !set:
		*c = condition{}
	case !c.active:
		*c = condition{active: true, source: source, since: now}
	}
}

// timedCondition is a fact that keeps requests from a target until a time.
type timedCondition struct {
	source       Source
	since, until time.Time
}

// extend has the span last until a time, if that is later than it does.
func (c *timedCondition) extend(now time.Time, source Source, until time.Time) {
	if !until.After(c.until) {
		return
	}
	if !now.Before(c.until) {
		c.since = now
	}
	c.source, c.until = source, until
}

// State is what is known of one incarnation of a target. The zero value keeps nothing from
// it. It is not safe for concurrent use.
type State struct {
	// persistent says that one of the marks is set, and until is the latest end of the
	// spans: most targets are judged by these two alone, which come first to lie in one
	// cache line with what comes before them.
	persistent bool
	until      time.Time

	// conditions is nil while there are none, as for nearly all of the thousands of targets of a large
	// fleet.
	conditions *conditions
}

// conditions are what keeps requests from a target.
type conditions struct {
	backoff, suspicion, pause timedCondition

	replaced, gone, evacuated condition
	// The three ways to know that a target leaves.
	listedLeaving, announcedLeaving, drained condition
}

// noConditions is what is read where there are none. It is never written to.
var noConditions = new(conditions)

// current returns what is current, to be read only.
func (s *State) current() *conditions {
	if s.conditions == nil {
		return noConditions
	}
	return s.conditions
}

// mutable returns what is known, to be changed.
func (s *State) mutable() *conditions {
	if s.conditions == nil {
		s.conditions = &conditions{}
	}
	return s.conditions
}

// setCondition sets or clears the mark that a function returns.
func (s *State) setCondition(now time.Time, source Source, set bool, selectFrom func(*conditions) *condition) {
	if set || s.conditions != nil {
		selectFrom(s.mutable()).update(now, source, set)
		s.recompute()
	}
}

func (s *State) recompute() {
	conds := s.current()
	s.persistent = conds.replaced.active || conds.gone.active || conds.evacuated.active || conds.listedLeaving.active || conds.announcedLeaving.active || conds.drained.active
	s.until = conds.backoff.until
	if conds.suspicion.until.After(s.until) {
		s.until = conds.suspicion.until
	}
	if conds.pause.until.After(s.until) {
		s.until = conds.pause.until
	}
	if !s.persistent && s.until.IsZero() {
		s.conditions = nil
	}
}

// SetListed takes in the target's entry in the list, which says whether it leaves. A target with an
// entry is not gone.
func (s *State) SetListed(now time.Time, leaving bool) {
	s.setCondition(now, SourceList, false, func(conds *conditions) *condition { return &conds.gone })
	s.setCondition(now, SourceList, leaving, func(conds *conditions) *condition { return &conds.listedLeaving })
}

// SetUnlisted takes in that the target is no longer in the list.
func (s *State) SetUnlisted(now time.Time) {
	s.setCondition(now, SourceList, true, func(conds *conditions) *condition { return &conds.gone })
}

// SetDrained takes in whether operators drain the target.
func (s *State) SetDrained(now time.Time, drained bool) {
	s.setCondition(now, SourceOperator, drained, func(conds *conditions) *condition { return &conds.drained })
}

// SetEvacuated takes in whether the target's hall is being emptied.
func (s *State) SetEvacuated(now time.Time, evacuated bool) {
	s.setCondition(now, SourceList, evacuated, func(conds *conditions) *condition { return &conds.evacuated })
}

// SetReplaced takes in that another target has answered at the address.
func (s *State) SetReplaced(now time.Time) {
	s.setCondition(now, SourceLocal, true, func(conds *conditions) *condition { return &conds.replaced })
}

// SetLeaving takes in that the target said at a time, to this or to another instance, that it
// leaves. It reports whether that is new. Nothing takes it back.
func (s *State) SetLeaving(at time.Time, source Source) bool {
	if s.current().announcedLeaving.active {
		return false
	}
	s.setCondition(at, source, true, func(conds *conditions) *condition { return &conds.announcedLeaving })
	return true
}

// BackOff takes in that the target asks for a rest from now on. A shorter one than it has asked for
// before changes nothing.
func (s *State) BackOff(now time.Time, length time.Duration) {
	s.mutable().backoff.extend(now, SourceTarget, now.Add(min(length, maxBackoff)))
	s.recompute()
}

// Suspect keeps requests from the target until a time because it did not answer.
func (s *State) Suspect(now, until time.Time) {
	s.mutable().suspicion.extend(now, SourceLocal, until)
	s.recompute()
}

// Pause keeps requests from the target until a time.
func (s *State) Pause(now, until time.Time, source Source) {
	s.mutable().pause.extend(now, source, until)
	s.recompute()
}

// InService tells whether nothing lasting keeps requests from the target: spans pass.
func (s *State) InService() bool { return !s.persistent }

// Available tells whether the target may be sent a request now. It is Judge(now).OK() at less cost.
func (s *State) Available(now time.Time) bool { return !s.persistent && !now.Before(s.until) }

// Verdict tells whether the target may be sent a request now, and what lasts longest if not.
func (s *State) Verdict(now time.Time) Verdict {
	if s.persistent {
		return s.persistentVerdict()
	}
	if !now.Before(s.until) {
		return Verdict{}
	}
	conds := s.current()
	for _, c := range []struct {
		cause Cause
		cond  timedCondition
	}{{CauseBackoff, conds.backoff}, {CauseSuspected, conds.suspicion}, {CausePaused, conds.pause}} {
		if c.cond.until.Equal(s.until) {
			return Verdict{Cause: c.cause, Source: c.cond.source, Since: c.cond.since, Until: c.cond.until}
		}
	}
	return Verdict{}
}

func (s *State) persistentVerdict() Verdict {
	conds := s.current()
	for _, c := range []struct {
		cause Cause
		cond  condition
	}{
		{CauseReplaced, conds.replaced}, {CauseGone, conds.gone},
		{CauseLeaving, conds.announcedLeaving}, {CauseLeaving, conds.listedLeaving}, {CauseLeaving, conds.drained},
		{CauseEvacuated, conds.evacuated},
	} {
		if c.cond.active {
			return Verdict{Cause: c.cause, Source: c.cond.source, Since: c.cond.since}
		}
	}
	return Verdict{}
}

// SuspectedUntil returns until when the target gets nothing because it did not answer.
func (s *State) SuspectedUntil() time.Time { return s.current().suspicion.until }

// PausedUntil returns until when the target gets nothing because it was paused.
func (s *State) PausedUntil() time.Time { return s.current().pause.until }

// BackoffUntil returns until when the target gets nothing because it asked for that.
func (s *State) BackoffUntil() time.Time { return s.current().backoff.until }

// Replaced tells whether another target has answered at the address.
func (s *State) Replaced() bool { return s.current().replaced.active }

// Gone tells whether the target is no longer listed.
func (s *State) Gone() bool { return s.current().gone.active }

// Evacuated tells whether the target's hall is being emptied.
func (s *State) Evacuated() bool { return s.current().evacuated.active }

// AnnouncedLeaving tells whether the target said itself that it leaves.
func (s *State) AnnouncedLeaving() bool { return s.current().announcedLeaving.active }
