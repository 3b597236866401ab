package upstream

import (
	"time"

	"github.com/rainford/rainford/availability"
)

// State is a target's state as far as it determines which requests the target gets.
type State string

// The states of a target.
const (
	// StateUsable targets get requests.
	StateUsable State = "usable"
	// StateCold targets get requests up to their warm-up quota.
	StateCold State = "cold"
	// StateSuspect targets get no requests for a while, or one request at a time.
	StateSuspect State = "suspect"
	// StateUnreachable targets are in a hall to which this instance has lost its links.
	StateUnreachable State = "unreachable"
	// StateBackoff targets have requested to get no requests for a while.
	StateBackoff State = "resting"
	// StateLeaving targets have announced that they leave, are drained, or are not listed any more.
	StateLeaving State = "leaving"
	// StateEvacuated targets are in a hall that gets no requests.
	StateEvacuated State = "evacuated"
	// StateReplaced targets have lost their address to another server.
	StateReplaced State = "replaced"
)

// HallState identifies the targets of one hall that are in one state.
type HallState struct {
	Hall  string
	State State
}

// StateCount holds the number of such targets and of the requests of this instance in flight there.
type StateCount struct {
	Targets, InFlight int
}

// TargetCounts returns the number of targets by hall and state.
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

// currentState returns the state of the target. Of several conditions the most persistent one
// counts.
func (t *target) currentState(now time.Time) State {
	switch t.state.Verdict(now).Cause {
	case availability.CauseReplaced:
		return StateReplaced
	case availability.CauseGone, availability.CauseLeaving:
		return StateLeaving
	case availability.CauseEvacuated:
		return StateEvacuated
	case availability.CauseUnreachable:
		return StateUnreachable
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
