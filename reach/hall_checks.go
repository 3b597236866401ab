package reach

import "time"

const (
	// maxProbeRate is the number of connections per second that probe lost halls, at most. Several lost
	// halls take turns.
	maxProbeRate = 16
	// responseCheckInterval is the time between two checks of a hall by response.
	responseCheckInterval = time.Second
	// lateCheckTime is how much longer than its time-out a failed check may take. A check that takes
	// longer shows that the process did not run meanwhile, and nothing of the targets.
	lateCheckTime = 100 * time.Millisecond
	// responseCheckTargets is the number of targets that a check by response asks before a hall is taken
	// for lost. A target that stands still may accept connections without responding.
	responseCheckTargets = 3
)

// HallCheck is a check of one hall that should be made.
type HallCheck struct {
	Hall string
	// ByResponse means that a target has to respond to a health request. Otherwise it is enough to
	// connect to one.
	ByResponse bool
	// Confirming means that the check before has reached a target of the lost hall. The same target is
	// tried first, since few of the hall may be reachable.
	Confirming bool
	// Size is the number of targets to try, at most.
	Size int
}

// HallResult is the result of a HallCheck.
type HallResult struct {
	HallCheck
	StartedAt, EndedAt time.Time
	// Timeout is the time after which the check gave up.
	Timeout time.Duration
	// Tried is the number of targets that were tried, and Succeeded the number of those that could be
	// connected to or responded.
	Tried, Succeeded int
}

// IsLate reports whether the check failed and took so long that the process did not run meanwhile. It then
// shows nothing of the targets.
func (r HallResult) IsLate() bool {
	return r.Succeeded == 0 && r.Tried > 0 && isLate(r.StartedAt, r.EndedAt, r.Timeout)
}

// NextCheck returns the next check that is due. Until Checked is called with its result, no other check
// of the same hall is due. The result is false if none is due.
func (h *Halls) NextCheck(now time.Time) (HallCheck, bool) {
	name, ok := h.mostUrgent(now)
	if !ok {
		return HallCheck{}, false
	}
	s := h.halls[name]
	c := HallCheck{Hall: name, ByResponse: s.unproven || s.loss.ByResponse, Confirming: s.confirming, Size: CheckTargets}
	switch {
	case c.ByResponse && s.isLost() && !c.Confirming:
		c.Size = 1
	case c.ByResponse && !s.isLost():
		c.Size = responseCheckTargets
	case s.isLost():
		c.Size = ProbeTargets
	}
	s.checking = true
	if s.isLost() && !c.ByResponse {
		h.probedUntil = now.Add(time.Duration(c.Size) * time.Second / maxProbeRate)
	}
	return c, true
}

// mostUrgent returns the hall whose check is due. Of several it is one that is confirmed to be back, or
// else the one whose last check was the earliest.
func (h *Halls) mostUrgent(now time.Time) (string, bool) {
	best := ""
	for name, s := range h.halls {
		if s.checking || !h.isDue(now, name, s) {
			continue
		}
		if best == "" || s.precedes(h.halls[best]) {
			best = name
		}
	}
	return best, best != ""
}

func (s *hall) precedes(other *hall) bool {
	if s.confirming != other.confirming {
		return s.confirming
	}
	return s.checkedAt.Before(other.checkedAt)
}

// isDue reports whether a check of a hall is due.
func (h *Halls) isDue(now time.Time, name string, s *hall) bool {
	switch since := now.Sub(s.checkedAt); {
	case s.isLost() && s.loss.ByResponse:
		return now.Sub(s.respondingAt) >= responseCheckInterval
	case s.isLost():
		return !now.Before(h.probedUntil) && (s.confirming || since >= probeInterval)
	case s.inspecting:
		return true
	case s.unproven:
		// Once responses arrive, the next suspicion is checked by connections first.
		s.unproven = h.isSuspicious(now, name, s)
		return s.unproven && now.Sub(s.respondingAt) >= responseCheckInterval
	case s.repeat || since >= minCheckInterval:
		suspicious := h.isSuspicious(now, name, s)
		s.repeat = s.repeat && suspicious
		return suspicious
	default:
		return false
	}
}

// Checked records the result of a check. It reports whether the hall has been lost or regained by it.
func (h *Halls) Checked(r HallResult) (changed bool) {
	s := h.hall(r.Hall)
	inspected := s.inspecting
	s.checking, s.repeat, s.inspecting = false, false, false
	s.checkedAt = r.EndedAt
	if r.ByResponse {
		s.respondingAt = r.EndedAt
	}
	switch {
	case r.Tried == 0:
		// Without targets nothing can be lost.
		changed = s.isLost()
		s.regain()
	case r.IsLate():
		s.repeat, s.inspecting = true, inspected
		if r.ByResponse {
			s.respondingAt = time.Time{}
		}
	case s.isLost():
		changed = s.probed(r.Succeeded > 0)
	case r.Succeeded == 0 && inspected:
		s.repeat = true
	case r.Succeeded == 0:
		changed = s.lose(h.evidence(r.EndedAt, r.Hall, s), r)
	default:
		h.succeeded(r, s)
	}
	return changed
}

// probed records the result of a probe of a lost hall, and reports whether the loss has ended.
func (s *hall) probed(succeeded bool) (ended bool) {
	if !succeeded || !s.confirming {
		s.confirming = succeeded
		return false
	}
	s.regain()
	return true
}

func (s *hall) regain() {
	s.loss = Loss{}
	s.unproven, s.confirming, s.abandoned = false, false, false
	s.clearFailures(func(hallTarget) bool { return true })
}

// lose records that a check has confirmed the evidence. It reports false if a target has succeeded during
// the check, so that the evidence does not suffice any more.
func (s *hall) lose(evidence Loss, r HallResult) bool {
	if !s.suffices(evidence) {
		s.unproven = false
		return false
	}
	evidence.At, evidence.ByResponse, evidence.Checked = r.EndedAt, r.ByResponse, r.Tried
	s.loss = evidence
	s.unproven, s.confirming, s.abandoned = false, false, false
	return true
}

// succeeded records a successful check of a hall that is not lost. A connection does not show that
// targets respond.
func (h *Halls) succeeded(r HallResult, s *hall) {
	s.connect(r.StartedAt)
	if !r.ByResponse {
		s.unproven = h.isSuspicious(r.EndedAt, r.Hall, s)
		return
	}
	s.unproven = false
	s.respondedAt = r.EndedAt
	s.clearFailures(func(hallTarget) bool { return true })
}
