package reach

import (
	"maps"
	"slices"
	"time"
)

const (
	// minHallFailed is the number of different targets of a hall that must have failed, without a
	// success in the hall since, before the hall is checked. A hall with fewer targets is checked once
	// all of them have failed.
	minHallFailed = 3
	// hallFailureWindow is how long a failure counts. It is long because an instance of a large fleet
	// seldom sends requests to a small hall.
	hallFailureWindow = 10 * time.Second
)

// Failure is what a request shows of a target that fails.
type Failure int

// The failures.
const (
	// Unconnected means that no connection could be opened, or that opening it takes long.
	Unconnected Failure = iota
	// Unanswered means that a request was sent and no response has arrived.
	Unanswered
)

// hallTarget is what the requests to one target show.
type hallTarget struct {
	running int
	// waitingSince is when the target last responded, or when running last rose from 0.
	waitingSince time.Time
	// failedAt is the time of the last failure without a success in the hall since, or zero.
	failedAt time.Time
	failure  Failure
}

// hall is the state of one hall.
type hall struct {
	size    int
	targets map[string]hallTarget
	// running is the number of requests at the targets, and failing that of targets with failedAt.
	running, failing int
	// waitingSince is when running last rose from 0. respondedAt is when a target of the hall last
	// responded, and connectedAt the time at which the last successful connection was begun.
	waitingSince, respondedAt, connectedAt time.Time

	loss Loss
	// checking is true during a check. checkedAt is the time of the last check, and respondingAt that
	// of the last one by response.
	checking                bool
	checkedAt, respondingAt time.Time
	// unproven is true after a check by connection that succeeded although requests remain without a
	// response. A check by response has to follow.
	unproven bool
	// repeat is true after a check during which the process did not run.
	repeat bool
	// inspecting is true if the hall is to be checked without evidence.
	inspecting bool
	// confirming is true after a successful check of a lost hall.
	confirming bool
	// abandoned is true once the requests at the targets of the lost hall have been abandoned.
	abandoned bool
}

// Loss describes a lost hall and the evidence that decided.
type Loss struct {
	// At is when the hall was found to be lost. It is zero if the hall is not lost.
	At time.Time
	// Since is when the first of the failures was seen.
	Since time.Time
	// ByResponse is true if connections could be opened but no response arrived.
	ByResponse bool
	// Unconnected, Unanswered and Stalled are the numbers of different targets to which no connection
	// could be opened, which ended a request without a response, and at which requests are waiting for
	// a response.
	Unconnected, Unanswered, Stalled int
	// Checked is the number of targets of the check that confirmed the loss.
	Checked int
}

// Halls tracks the halls to whose targets an instance has lost its links. In the zero value none is
// lost. It is not safe for concurrent use.
type Halls struct {
	halls map[string]*hall
	// probedUntil is the time until which the connections of the last probe use up the rate of probes.
	probedUntil time.Time
	// usualTime is how long requests usually take, or 0 if it is not known.
	usualTime time.Duration
}

func (h *Halls) hall(name string) *hall {
	s := h.halls[name]
	if s == nil {
		if h.halls == nil {
			h.halls = make(map[string]*hall)
		}
		s = &hall{targets: make(map[string]hallTarget)}
		h.halls[name] = s
	}
	return s
}

// SetSizes sets the number of targets that each hall has.
func (h *Halls) SetSizes(sizes map[string]int) {
	for _, s := range h.halls {
		s.size = 0
	}
	for name, n := range sizes {
		h.hall(name).size = n
	}
}

// Size returns the number of targets of a hall.
func (h *Halls) Size(name string) int { return h.hall(name).size }

// IsLost reports whether a hall is lost.
func (h *Halls) IsLost(name string) bool {
	s := h.halls[name]
	return s != nil && s.isLost()
}

// Lost returns the names of the lost halls in order.
func (h *Halls) Lost() []string {
	var out []string
	for name, s := range h.halls {
		if s.isLost() {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// AllLostBut reports whether all halls with targets except for the given one are lost, and at least
// one hall is.
func (h *Halls) AllLostBut(except string) bool {
	any := false
	for name, s := range h.halls {
		if name == except || s.size == 0 {
			continue
		}
		if !s.isLost() {
			return false
		}
		any = true
	}
	return any
}

// Loss returns the loss of a hall, which is the zero value if the hall is not lost.
func (h *Halls) Loss(name string) Loss { return h.hall(name).loss }

// ConnectedAt returns the time at which the last connection to a target of the hall that succeeded
// was begun.
func (h *Halls) ConnectedAt(name string) time.Time { return h.hall(name).connectedAt }

// Reset forgets the failures and ends all losses. It is called when the tracker of all targets decides
// for all halls together.
func (h *Halls) Reset() {
	for _, s := range h.halls {
		s.loss = Loss{}
		s.clearFailures(func(hallTarget) bool { return true })
		s.unproven, s.repeat, s.inspecting, s.confirming, s.abandoned = false, false, false, false, false
	}
}

func (s *hall) isLost() bool { return !s.loss.At.IsZero() }

// Start records that a request is sent to a target.
func (h *Halls) Start(now time.Time, name, target string) {
	s := h.hall(name)
	t := s.targets[target]
	if t.running == 0 {
		t.waitingSince = now
	}
	if s.running == 0 {
		s.waitingSince = now
	}
	t.running++
	s.running++
	s.targets[target] = t
}

// End records that a request at a target has ended, with or without a response.
func (h *Halls) End(now time.Time, name, target string, answered bool) {
	s := h.hall(name)
	t := s.targets[target]
	t.running--
	s.running--
	if answered {
		t.waitingSince, s.respondedAt = now, now
	}
	s.put(target, t)
	if answered {
		s.clearFailures(func(t hallTarget) bool { return t.failure == Unanswered })
	}
}

// put stores the state of a target, or drops it if there is nothing to keep.
func (s *hall) put(target string, t hallTarget) {
	if t.running <= 0 && t.failedAt.IsZero() {
		delete(s.targets, target)
		return
	}
	s.targets[target] = t
}

// othersReachedAt returns when a target of another hall last responded, or was last connected to.
func (h *Halls) othersReachedAt(name string) time.Time {
	var at time.Time
	for other, s := range h.halls {
		if other != name {
			at = later(at, later(s.respondedAt, s.connectedAt))
		}
	}
	return at
}

// Failed records a failure of a target.
func (h *Halls) Failed(now time.Time, name, target string, failure Failure) {
	s := h.hall(name)
	t := s.targets[target]
	if t.failedAt.IsZero() {
		s.failing++
	}
	t.failedAt, t.failure = now, failure
	s.targets[target] = t
}

// Connected records that a connection to a target, which was begun at the given time, was opened.
func (h *Halls) Connected(at time.Time, name, target string) {
	s := h.hall(name)
	t, ok := s.targets[target]
	if ok && !t.failedAt.IsZero() && t.failure == Unconnected {
		s.clearFailure(target, t)
	}
	s.connect(at)
}

// connect records that a connection that was begun at the given time was opened.
func (s *hall) connect(at time.Time) {
	if !at.After(s.connectedAt) {
		return
	}
	s.connectedAt = at
	s.clearFailures(func(t hallTarget) bool { return t.failure == Unconnected && !t.failedAt.After(at) })
}

func (s *hall) clearFailures(cleared func(hallTarget) bool) {
	if s.failing == 0 {
		return
	}
	for target, t := range s.targets {
		if !t.failedAt.IsZero() && cleared(t) {
			s.clearFailure(target, t)
		}
	}
}

// clearFailure forgets the failure of a target.
func (s *hall) clearFailure(target string, t hallTarget) {
	s.failing--
	t.failedAt = time.Time{}
	s.put(target, t)
}

// evidence returns the failures of a hall's targets that count at a time, as a Loss without At.
func (h *Halls) evidence(now time.Time, name string, s *hall) Loss {
	var e Loss
	s.clearFailures(func(t hallTarget) bool { return now.Sub(t.failedAt) >= hallFailureWindow })
	others := h.othersReachedAt(name)
	for _, t := range s.targets {
		at := t.failedAt
		stalledSince := later(t.waitingSince, s.respondedAt)
		switch {
		case !t.failedAt.IsZero() && t.failure == Unconnected:
			e.Unconnected++
		case !t.failedAt.IsZero():
			e.Unanswered++
		case t.running > 0 && now.Sub(stalledSince) >= h.stallTime() && others.After(stalledSince):
			e.Stalled++
			at = stalledSince
		default:
			continue
		}
		if e.Since.IsZero() || at.Before(e.Since) {
			e.Since = at
		}
	}
	return e
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// suffices reports whether so many targets of a hall fail that it may be lost.
func (s *hall) suffices(e Loss) bool {
	return e.Unconnected+e.Unanswered+e.Stalled >= min(minHallFailed, max(s.size, 1))
}

// isSuspicious reports whether so many targets of a hall fail that the hall may be lost.
func (h *Halls) isSuspicious(now time.Time, name string, s *hall) bool {
	return s.suffices(h.evidence(now, name, s))
}

// MayBeLost reports whether connections to any hall have failed, or take long to open, and none has been opened
// there since. That may be due to the targets or to the links of the instance.
func (h *Halls) MayBeLost(now time.Time) bool {
	for _, s := range h.halls {
		if s.hasUnconnected(now) {
			return true
		}
	}
	return false
}

// hasUnconnected reports whether a target of the hall has an unrefuted failure of the kind Unconnected.
func (s *hall) hasUnconnected(now time.Time) bool {
	if s.failing == 0 {
		return false
	}
	for _, t := range s.targets {
		if !t.failedAt.IsZero() && t.failure == Unconnected && now.Sub(t.failedAt) < hallFailureWindow {
			return true
		}
	}
	return false
}

// NeedsAttention reports whether a check of a hall may become due without a further event.
func (h *Halls) NeedsAttention(now time.Time, name string) bool {
	return h.needsAttention(now, h.hall(name))
}

func (h *Halls) needsAttention(now time.Time, s *hall) bool {
	return s.isLost() || s.inspecting || s.failing > 0 || s.running > 0 && now.Sub(later(s.waitingSince, s.respondedAt)) >= h.stallTime()/2
}

// SetUsualTime sets how long requests usually take. A target at which a request has run for twice as long,
// and for stallTime at least, without a response from its hall, counts as failed.
func (h *Halls) SetUsualTime(usual time.Duration) { h.usualTime = usual }

// maxStallTime is the longest time after which a target without a response counts as failed.
const maxStallTime = 2 * time.Second

// stallTime returns the time without a response from a hall after which its targets count as failed.
func (h *Halls) stallTime() time.Duration { return min(max(stallTime, 2*h.usualTime), maxStallTime) }

// IsIdle reports whether no check of any hall becomes due without a further event.
func (h *Halls) IsIdle(now time.Time) bool {
	for _, s := range h.halls {
		if h.needsAttention(now, s) {
			return false
		}
	}
	return true
}

// Inspect requests a check of a hall to which no requests are sent, unless a target there has been reached
// since the given time. If it finds none, another one has to confirm that.
func (h *Halls) Inspect(name string, since time.Time) {
	s := h.hall(name)
	if !s.isLost() && !s.checking && !s.repeat && s.size > 0 && !later(s.respondedAt, s.connectedAt).After(since) {
		s.inspecting = true
	}
}

// Abandon returns the lost halls at whose targets requests are running that will not be answered: none
// was for stallTime. Each loss is returned once.
func (h *Halls) Abandon(now time.Time) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(h.halls)) {
		s := h.halls[name]
		if s.isLost() && !s.abandoned && s.running > 0 && now.Sub(later(s.respondedAt, s.loss.Since)) >= stallTime {
			s.abandoned = true
			out = append(out, name)
		}
	}
	return out
}
