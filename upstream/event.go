package upstream

import "time"

// EventKind is the kind of a change in what a pool believes of a target.
type EventKind string

// The kinds.
const (
	// EventSuspected targets get nothing until a time, then one request that
	// tries them.
	EventSuspected EventKind = "suspected"
	// EventRecovered targets have answered after a suspicion.
	EventRecovered EventKind = "trusted"
	// EventReplaced means that another server has answered at the address.
	EventReplaced EventKind = "replaced"
	// EventCold targets are cold until a time.
	EventCold EventKind = "cold"
	// EventPaused targets have rejected a request and get none for a moment.
	EventPaused EventKind = "paused"
	// EventBackoff targets have asked to get nothing until a time.
	EventBackoff EventKind = "resting"
	// EventLeaving targets have said themselves that they leave.
	EventLeaving EventKind = "leaving"
)

// Event is a change in what a pool believes of a target, with what decided it.
type Event struct {
	Kind     EventKind
	Target   string
	Cause    Outcome
	InFlight int
	// Failures is the number of failures in a row.
	Failures int
	Until    time.Time
}

// maxEvents bounds the events that wait to be taken: more than a service of the sites has
// targets.
const maxEvents = 4096

// TakeEvents returns the events since the last call.
func (p *Pool) TakeEvents() []Event {
	events := p.events
	p.events = nil
	return events
}

// recordEvent keeps what has changed in the belief on t since before.
func (p *Pool) recordEvent(t *target, before eventState, cause Outcome) {
	after := t.eventState()
	event := Event{Target: t.spec.ID, Cause: cause, InFlight: t.inFlight, Failures: t.stats.failures}
	switch {
	case after.replaced && !before.replaced:
		event.Kind = EventReplaced
	case after.leaves && !before.leaves:
		event.Kind = EventLeaving
	case after.restUntil.After(before.restUntil):
		event.Kind, event.Until = EventBackoff, after.restUntil
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

// eventState is the part of a target's state that events tell of.
type eventState struct {
	replaced, leaves, suspected                     bool
	restUntil, suspectUntil, coldUntil, pausedUntil time.Time
}

func (t *target) eventState() eventState {
	return eventState{
		replaced:     t.state.Replaced(),
		leaves:       t.state.AnnouncedLeaving(),
		suspected:    t.stats.suspectBackoff > 0,
		restUntil:    t.state.BackoffUntil(),
		suspectUntil: t.state.SuspectedUntil(),
		coldUntil:    t.coldUntil,
		pausedUntil:  t.state.PausedUntil(),
	}
}

var outcomeNames = map[Outcome]string{
	Answered: "answered", Rejected: "rejected", Replaced: "replaced", Unreachable: "unreachable",
	Broken: "broken", TimedOut: "silent", Abandoned: "abandoned",
}

// String returns the name of the outcome in logs.
func (o Outcome) String() string { return outcomeNames[o] }
