package upstream

import (
	"time"

	"github.com/rainford/rainford/availability"
)

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
	// StateBackoff targets have asked to get nothing for a while.
	StateBackoff State = "resting"
	// StateLeaving targets state that they leave, are drained, or are gone from the list.
	StateLeaving State = "leaving"
	// StateEvacuated targets are in a hall that is to get nothing.
	StateEvacuated State = "evacuated"
	// StateReplaced targets' addresses belong to others now.
	StateReplaced State = "replaced"
)

// HallState is a hall's targets in one state.
type HallState struct {
	Hall  string
	State State
}

// StateCount is the number of targets of a group and of the requests of this instance
// in flight there.
type StateCount struct {
	Targets, InFlight int
}

// TargetCounts counts the targets by hall and state.
func (p *Pool) TargetCounts(now time.Time) map[HallState]StateCount {
	census := make(map[HallState]StateCount)
	for _, t := range p.byID {
		group := HallState{Hall: t.spec.Hall, State: t.currentState(now)}
		n := census[group]
		n.Targets++
		n.InFlight += t.inFlight
		census[group] = n
	}
	return census
}

// currentState returns what keeps requests from the target, the most lasting first.
func (t *target) currentState(now time.Time) State {
	switch t.state.Verdict(now).Cause {
	case availability.CauseReplaced:
		return StateReplaced
	case availability.CauseGone, availability.CauseLeaving:
		return StateLeaving
	case availability.CauseEvacuated:
		return StateEvacuated
	case availability.CauseBackoff:
		return StateBackoff
	case availability.CauseSuspected, availability.CausePaused:
		return StateSuspect
	}
	switch {
	case t.stats.suspectBackoff > 0:
		return StateSuspect
	case t.cold(now):
		return StateCold
	default:
		return StateUsable
	}
}
