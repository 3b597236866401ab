package upstream

import "time"

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events. The values appear in logs.
const (
	// EventSuspected means that the target gets no requests until a time, and then one request that
	// probes it.
	EventSuspected EventKind = "suspected"
	// EventRecovered means that the target has responded after a suspicion.
	EventRecovered EventKind = "trusted"
	// EventReplaced means that another server has responded at the target's address.
	EventReplaced EventKind = "replaced"
	// EventCold means that the target is cold until a time.
	EventCold EventKind = "cold"
	// EventPaused means that the target has rejected a request and gets none for a moment.
	EventPaused EventKind = "paused"
	// EventBackoff means that the target has requested to get no requests until a time.
	EventBackoff EventKind = "resting"
	// EventLeaving means that the target itself has announced that it leaves.
	EventLeaving EventKind = "leaving"
)

// Event is a change of the pool's state of a target, with the outcome that caused it.
type Event struct {
	Kind     EventKind
	Target   string
	Cause    Outcome
	InFlight int
	// Failures is the number of consecutive failures.
	Failures int
	Until    time.Time
}

// maxEvents bounds the events that wait for TakeEvents. It exceeds the number of targets of any
// service.
const maxEvents = 4096

// TakeEvents returns the events since the last call.
func (p *Pool) TakeEvents() []Event {
	events := p.events
	p.events = nil
	return events
}

// recordEvent records an event if the state of t has changed since before.
func (p *Pool) recordEvent(t *target, before eventState, cause Outcome) {
	after := t.eventState()
	event := Event{Target: t.spec.ID, Cause: cause, InFlight: t.inFlight, Failures: t.stats.failures}
	switch {
	case after.replaced && !before.replaced:
		event.Kind = EventReplaced
	case after.leaving && !before.leaving:
		event.Kind = EventLeaving
	case after.backoffUntil.After(before.backoffUntil):
		event.Kind, event.Until = EventBackoff, after.backoffUntil
	case after.suspectUntil.After(before.suspectUntil):
		event.Kind, event.Until = EventSuspected, after.suspectUntil
	case before.suspected && !after.suspected:
		event.Kind = EventRecovered
	case after.coldUntil.After(before.coldUntil):
		event.Kind, event.Until = EventCold, after.coldUntil
	case after.pausedUntil.After(before.pausedUntil):
		event.Kind, event.Until = EventPaused, after.pausedUntil
	default:
		return
	}
	if len(p.events) < maxEvents {
		p.events = append(p.events, event)
	}
}

// eventState is the part of a target's state whose changes are events.
type eventState struct {
	replaced, leaving, suspected                       bool
	backoffUntil, suspectUntil, coldUntil, pausedUntil time.Time
}

func (t *target) eventState() eventState {
	return eventState{
		replaced:     t.state.Replaced(),
		leaving:      t.state.AnnouncedLeaving(),
		suspected:    t.stats.suspectBackoff > 0,
		backoffUntil: t.state.BackoffUntil(),
		suspectUntil: t.state.SuspectedUntil(),
		coldUntil:    t.coldUntil,
		pausedUntil:  t.state.PausedUntil(),
	}
}

var outcomeNames = map[Outcome]string{
	Answered: "answered", Rejected: "rejected", Replaced: "replaced", Unreachable: "unreachable",
	Broken: "broken", TimedOut: "silent", Abandoned: "abandoned",
}

// String returns the name of the outcome as it appears in logs.
func (o Outcome) String() string { return outcomeNames[o] }
