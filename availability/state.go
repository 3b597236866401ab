package availability

import "time"

// Cause is the reason why a target gets no requests.
type Cause string

// The causes of a Verdict, the most persistent first. A State does not return the last three. They
// are set by the code that counts the requests at the target. CauseUnreachable: this instance has lost its
// links to the target's hall, which says nothing of the target. CauseProbing: one request probes
// whether a suspected target has recovered. CauseCold: a cold target has received its admissible
// rate. CauseRateLimited: the rate limit that the target announced is used up.
const (
	CauseNone        Cause = ""
	CauseReplaced    Cause = "replaced"
	CauseGone        Cause = "gone"
	CauseLeaving     Cause = "leaving"
	CauseEvacuated   Cause = "evacuated"
	CauseUnreachable Cause = "unreachable"
	CauseBackoff     Cause = "resting"
	CauseSuspected   Cause = "suspected"
	CausePaused      Cause = "paused"
	CauseProbing     Cause = "trying"
	CauseCold        Cause = "cold"
	CauseRateLimited Cause = "limited"
)

// Source is the origin of the information that a target gets no requests.
type Source string

// The sources of a Verdict.
const (
	// SourceList is the list of targets, or the list of halls that are being evacuated.
	SourceList Source = "list"
	// SourceOperator is the table that operators maintain.
	SourceOperator Source = "operator"
	// SourceTarget is the target itself, by a SelfReport to this instance.
	SourceTarget Source = "word"
	// SourcePeer is another instance.
	SourcePeer Source = "peer"
	// SourceLocal is the outcome of requests of this instance.
	SourceLocal Source = "own"
)

// Verdict states whether a target may be sent a request, and the cause if not.
type Verdict struct {
	// Cause is CauseNone if the target may be sent a request.
	Cause  Cause
	Source Source
	// Since is the time at which this instance learned of the cause.
	Since time.Time
	// Until is the time at which the cause ends, zero if that is not known.
	Until time.Time
}

// OK reports whether the target may be sent a request.
func (v Verdict) OK() bool { return v.Cause == CauseNone }

// maxBackoff bounds the back-off that a target may request. After that time one request of each
// instance is sent to the target and may return another back-off. An erroneous value thus cannot
// exclude a target forever.
const maxBackoff = time.Hour

// condition is a persistent condition that excludes a target. The zero value is inactive.
type condition struct {
	active bool
	source Source
	since  time.Time
}

// update activates or clears the condition. An active condition keeps its source and start.
func (c *condition) update(now time.Time, source Source, set bool) {
	switch {
	case !set:
		*c = condition{}
	case !c.active:
		*c = condition{active: true, source: source, since: now}
	}
}

// timedCondition is a condition that excludes a target until a certain time.
type timedCondition struct {
	source       Source
	since, until time.Time
}

// extend prolongs the condition to the given time. It does nothing if the condition lasts as long
// already.
func (c *timedCondition) extend(now time.Time, source Source, until time.Time) {
	if !until.After(c.until) {
		return
	}
	if !now.Before(c.until) {
		c.since = now
	}
	c.source, c.until = source, until
}

// State holds the conditions of one incarnation of a target. The zero value has no conditions. A
// State is not safe for concurrent use.
type State struct {
	// persistent reports whether a persistent condition is active, unreachable whether this instance
	// has lost its links to the target's hall, and until is the latest end of the timed conditions. For most targets
	// only these fields are read. They come first, so that they share a cache line with the field that
	// precedes a State.
	persistent, unreachable bool
	until                   time.Time

	// conditions is nil as long as no condition has been set, and after the last persistent one is
	// cleared if there was never a timed one. This saves memory, since nearly all of the
	// thousands of targets of a large fleet have none.
	conditions *conditions
}

// conditions holds all conditions of a target.
type conditions struct {
	backoff, suspicion, pause timedCondition

	replaced, gone, evacuated condition
	// unreachable excludes the target without taking it out of service.
	unreachable condition
	// The three sources for a target being about to leave.
	listedLeaving, announcedLeaving, drained condition
}

// noConditions is read in place of a nil pointer. It must not be modified.
var noConditions = new(conditions)

// current returns the conditions for reading only.
func (s *State) current() *conditions {
	if s.conditions == nil {
		return noConditions
	}
	return s.conditions
}

// mutable returns the conditions for modification.
func (s *State) mutable() *conditions {
	if s.conditions == nil {
		s.conditions = &conditions{}
	}
	return s.conditions
}

// setCondition activates or clears the condition that selectFrom returns.
func (s *State) setCondition(now time.Time, source Source, set bool, selectFrom func(*conditions) *condition) {
	if set || s.conditions != nil {
		selectFrom(s.mutable()).update(now, source, set)
		s.recompute()
	}
}

func (s *State) recompute() {
	conds := s.current()
	s.persistent = conds.replaced.active || conds.gone.active || conds.evacuated.active || conds.listedLeaving.active || conds.announcedLeaving.active || conds.drained.active
	s.unreachable = conds.unreachable.active
	s.until = conds.backoff.until
	if conds.suspicion.until.After(s.until) {
		s.until = conds.suspicion.until
	}
	if conds.pause.until.After(s.until) {
		s.until = conds.pause.until
	}
	if !s.persistent && !s.unreachable && s.until.IsZero() {
		s.conditions = nil
	}
}

// SetListed records the target's entry in the list, which states whether the target is leaving. It
// ends the condition of SetUnlisted.
func (s *State) SetListed(now time.Time, leaving bool) {
	s.setCondition(now, SourceList, false, func(conds *conditions) *condition { return &conds.gone })
	s.setCondition(now, SourceList, leaving, func(conds *conditions) *condition { return &conds.listedLeaving })
}

// SetUnlisted records that the target is no longer in the list.
func (s *State) SetUnlisted(now time.Time) {
	s.setCondition(now, SourceList, true, func(conds *conditions) *condition { return &conds.gone })
}

// SetDrained records whether operators are draining the target.
func (s *State) SetDrained(now time.Time, drained bool) {
	s.setCondition(now, SourceOperator, drained, func(conds *conditions) *condition { return &conds.drained })
}

// SetEvacuated records whether the target's hall is being evacuated.
func (s *State) SetEvacuated(now time.Time, evacuated bool) {
	s.setCondition(now, SourceList, evacuated, func(conds *conditions) *condition { return &conds.evacuated })
}

// SetUnreachable records whether this instance has lost its links to the target's hall. The target remains
// in service.
func (s *State) SetUnreachable(now time.Time, unreachable bool) {
	s.setCondition(now, SourceLocal, unreachable, func(conds *conditions) *condition { return &conds.unreachable })
}

// SetReplaced records that another target has answered at the address.
func (s *State) SetReplaced(now time.Time) {
	s.setCondition(now, SourceLocal, true, func(conds *conditions) *condition { return &conds.replaced })
}

// SetLeaving records that the target announced, at the given time and to this or another instance,
// that it is leaving. It reports whether this is new. The condition is never cleared.
func (s *State) SetLeaving(at time.Time, source Source) bool {
	if s.current().announcedLeaving.active {
		return false
	}
	s.setCondition(at, source, true, func(conds *conditions) *condition { return &conds.announcedLeaving })
	return true
}

// BackOff records that the target requests a back-off of the given length from now on. It does not
// shorten an earlier back-off.
func (s *State) BackOff(now time.Time, length time.Duration) {
	s.mutable().backoff.extend(now, SourceTarget, now.Add(min(length, maxBackoff)))
	s.recompute()
}

// Suspect excludes the target until the given time because it did not answer. It does not shorten
// an earlier suspicion.
func (s *State) Suspect(now, until time.Time) {
	s.mutable().suspicion.extend(now, SourceLocal, until)
	s.recompute()
}

// EndSuspicion ends the suspicion because the target did not answer.
func (s *State) EndSuspicion() {
	if s.conditions != nil {
		s.conditions.suspicion = timedCondition{}
		s.recompute()
	}
}

// Pause excludes the target until the given time. It does not shorten an earlier pause.
func (s *State) Pause(now, until time.Time, source Source) {
	s.mutable().pause.extend(now, source, until)
	s.recompute()
}

// InService reports whether no persistent condition excludes the target. Timed conditions do not
// count, nor do lost links to its hall.
func (s *State) InService() bool { return !s.persistent }

// Available reports whether the target may be sent a request now. It is a faster form of
// Verdict(now).OK().
func (s *State) Available(now time.Time) bool {
	return !s.persistent && !s.unreachable && !now.Before(s.until)
}

// Verdict returns whether the target may be sent a request now. If not, it returns the first
// persistent cause in the order of the causes, or if there is none the timed cause that ends last.
func (s *State) Verdict(now time.Time) Verdict {
	if s.persistent {
		return s.persistentVerdict()
	}
	if s.unreachable {
		return Verdict{Cause: CauseUnreachable, Source: SourceLocal, Since: s.current().unreachable.since}
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

// SuspectedUntil returns the end of the suspicion because the target did not answer.
func (s *State) SuspectedUntil() time.Time { return s.current().suspicion.until }

// SuspectedSince returns the time from which the target has been suspected without interruption until
// SuspectedUntil.
func (s *State) SuspectedSince() time.Time { return s.current().suspicion.since }

// Unreachable reports whether this instance has lost its links to the target's hall.
func (s *State) Unreachable() bool { return s.unreachable }

// PausedUntil returns the end of the pause.
func (s *State) PausedUntil() time.Time { return s.current().pause.until }

// BackoffUntil returns the end of the back-off that the target requested.
func (s *State) BackoffUntil() time.Time { return s.current().backoff.until }

// Replaced reports whether another target has answered at the address.
func (s *State) Replaced() bool { return s.current().replaced.active }

// Gone reports whether the target is no longer in the list.
func (s *State) Gone() bool { return s.current().gone.active }

// Evacuated reports whether the target's hall is being evacuated.
func (s *State) Evacuated() bool { return s.current().evacuated.active }

// AnnouncedLeaving reports whether the target itself announced that it is leaving.
func (s *State) AnnouncedLeaving() bool { return s.current().announcedLeaving.active }
