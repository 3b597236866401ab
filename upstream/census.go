package upstream

import "time"

// State is whether a target may get requests, and why not.
type State string

// The states.
const (
	// StateUsable targets get requests.
	StateUsable State = "usable"
	// StateCold targets get a few requests.
	StateCold State = "cold"
	// StateSuspect targets get nothing for a while, or single requests.
	StateSuspect State = "suspect"
	// StateLeaving targets state that they leave, or are gone from the list.
	StateLeaving State = "leaving"
	// StateEvacuated targets are in a hall that is to get nothing.
	StateEvacuated State = "evacuated"
	// StateReplaced targets' addresses belong to others now.
	StateReplaced State = "replaced"
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
		return StateReplaced
	case t.spec.Leaves || t.unlisted:
		return StateLeaving
	case t.evacuated:
		return StateEvacuated
	case t.suspicion > 0 || now.Before(t.pausedUntil):
		return StateSuspect
	case t.cold(now):
		return StateCold
	default:
		return StateUsable
	}
}
