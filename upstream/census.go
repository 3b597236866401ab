package upstream

import "time"

// State is whether a target may get requests, and why not.
type State string

// The states.
const (
	// Usable targets get requests.
	Usable State = "usable"
	// Cold targets get a few requests.
	Cold State = "cold"
	// Suspect targets get nothing for a while, or single requests.
	Suspect State = "suspect"
	// Leaving targets state that they leave, or are gone from the list.
	Leaving State = "leaving"
	// Evacuated targets are in a hall that is to get nothing.
	Evacuated State = "evacuated"
	// ReplacedState targets' addresses belong to others now.
	ReplacedState State = "replaced"
)

// Group is a hall's targets in one state.
type Group struct {
	Hall  string
	State State
}

// Count is the number of targets of a group and of the requests of this instance
// in flight there.
type Count struct {
	Targets, InFlight int
}

// Census counts the targets by hall and state.
func (p *Pool) Census(now time.Time) map[Group]Count {
	census := make(map[Group]Count)
	for _, t := range p.targets {
		group := Group{Hall: t.spec.Hall, State: t.state(now)}
		n := census[group]
		n.Targets++
		n.InFlight += t.inFlight
		census[group] = n
	}
	return census
}

// state returns what keeps requests from the target, the most lasting first.
func (t *target) state(now time.Time) State {
	switch {
	case t.replaced:
		return ReplacedState
	case t.spec.Leaves || t.unlisted:
		return Leaving
	case t.evacuated:
		return Evacuated
	case t.suspicion > 0 || now.Before(t.pausedUntil):
		return Suspect
	case t.cold(now):
		return Cold
	default:
		return Usable
	}
}
