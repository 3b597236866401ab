package gateway

import (
	"slices"
	"time"

	"github.com/rainford/rainford/reach"
	"github.com/rainford/rainford/upstream"
)

// hallVerdictTime is how long verifyIn waits for a verdict about a hall of whose targets none could be
// connected to. A loss is noticed within about that time.
const hallVerdictTime = 300 * time.Millisecond

// minProvingHall is the number of targets from which on the loss of a hall tells that the links to it, and not
// its targets, may have failed.
const minProvingHall = 3

// mayBeCutOff reports whether this instance may have lost its links to a hall.
func (r *reachability) mayBeCutOff(hall string) bool {
	return r.isLost() || r.isHallLost(hall) && r.halls.size(hall) >= minProvingHall
}

// verifyIn calls a function with true if the failure of a target is its own, since others of its hall can be
// connected to, and with false if this instance has lost its links to all targets or to the hall. If neither is
// found, a connection to any target since the failure decides. Any of these may take the given delay.
func (r *reachability) verifyIn(target upstream.Choice, delay time.Duration, call func(reached bool)) {
	r.verify(delay, func(reached bool) {
		if !reached || r.mayBeCutOff(target.Hall) || r.proveHall(target) {
			call(reached && !r.mayBeCutOff(target.Hall))
			return
		}
		time.AfterFunc(hallVerdictTime, func() { call(!r.mayBeCutOff(target.Hall)) })
	})
}

// proveHall reports whether other targets of a target's hall can be connected to.
func (r *reachability) proveHall(target upstream.Choice) bool {
	others := slices.DeleteFunc(r.halls.sample(target.Hall, reach.ProbeTargets+1), func(t reach.Target) bool { return t.ID == target.ID })
	at := r.clock.Now()
	if !r.halls.prove(others[:min(len(others), reach.ProbeTargets)]) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Connected(at)
	r.call(r.proofs.Resolve(&r.tracker))
	return true
}

// proveSoon finds out whether the failure of a target is due to the links of this instance: others are told
// that the target is down only if it is not.
func (r *reachability) proveSoon(target upstream.Choice) {
	if !r.halls.startProving(target.Hall) {
		return
	}
	time.AfterFunc(reach.Soon, func() {
		proven := r.isHallLost(target.Hall) || r.proveHall(target)
		r.halls.endProving(target.Hall)
		if !proven {
			r.requestCheck()
		}
	})
}

// provenIn returns the latest time at which this instance is known to have reached a target of a hall, or any
// target if the hall has only one.
func (r *reachability) provenIn(hall string) time.Time {
	if r.halls.size(hall) > 1 {
		return r.halls.connectedAt(hall)
	}
	return r.provenAt()
}

// startProving reports whether a connection to a hall should be opened for a proof.
func (h *hallLinks) startProving(hall string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.proving[hall] || h.tracker.IsLost(hall) {
		return false
	}
	h.proving[hall] = true
	return true
}

func (h *hallLinks) endProving(hall string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.proving, hall)
}

// size returns the number of targets of a hall.
func (h *hallLinks) size(hall string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.Size(hall)
}

// prove reports whether one of some targets can be connected to.
func (h *hallLinks) prove(targets []reach.Target) bool {
	at := h.clock.Now()
	t, err := tryAny(targets, h.connect)
	if err != nil || len(targets) == 0 {
		return false
	}
	h.connected(at, t)
	return true
}
