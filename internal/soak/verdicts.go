package soak

import (
	"encoding/json"
	"time"

	"github.com/rainford/rainford/internal/standin/objects"
)

// States of a rollout, as the store holds them. The first two are verdicts.
const (
	stateSucceeded  = "succeeded"
	stateRolledBack = "rolled_back"
	stateRunning    = "running"
)

func isVerdict(state string) bool { return state == stateSucceeded || state == stateRolledBack }

// rolloutState returns the state that the store holds for the order of a version, or the empty string if
// there is none. A restored store may hold the state of an earlier order of the service.
func (s *site) rolloutState(check *versionCheck) string {
	var status objects.RolloutStatus
	raw := s.store.Status("rollouts", check.service)
	if raw == nil || json.Unmarshal(raw, &status) != nil || status.TargetVersion != check.version {
		return ""
	}
	return status.State
}

// watchVerdict reads the state of a rollout at each verdictPoll. It judges the rollout when its time is
// over, or later if the store has lost the verdict and the instances still have time to write it again.
func (r *runner) watchVerdict(check *versionCheck) {
	s := r.site
	state := s.rolloutState(check)
	mayReturn := s.oracle.observeVerdict(check, state, s.store.AcceptsWrites(), verdictPoll)
	if !mayReturn && time.Now().After(check.until.Add(rollbackWithin)) {
		s.oracle.judgeVersion(check, state)
		s.rolling.Store(false)
		return
	}
	r.later(verdictPoll, func() { r.watchVerdict(check) })
}

// noteVerdict records the verdict of a rollout.
func (o *oracle) noteVerdict(check *versionCheck, verdict string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	check.verdict, check.verdictAt = verdict, time.Now()
	if verdict == stateSucceeded && !check.isBad() {
		o.checks["SUCCEEDED"]++
	}
}

// observeVerdict checks the state of a rollout after its verdict. It reports whether the store has lost the
// verdict by a restore and the instances may still write it again. They have verdictTime in which the store
// accepts writes. The argument interval is the time since the last call.
func (o *oracle) observeVerdict(check *versionCheck, state string, acceptsWrites bool, interval time.Duration) (mayReturn bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case check.stateLost || !isVerdict(check.verdict):
		return false
	case state == check.verdict:
		check.verdictAt, check.lostFor = time.Now(), 0
		return false
	case isVerdict(state) || !o.restoredAt.After(check.verdictAt):
		return false
	}
	if acceptsWrites {
		check.lostFor += interval
	}
	if check.lostFor <= verdictTime {
		return true
	}
	if !check.lossReported {
		check.lossReported = true
		o.violated("VERDICT", "the verdict %q of the rollout of %s of %s is missing from the store for %v after a restore, state %q", check.verdict, check.version, check.service, check.lostFor, state)
	}
	return false
}
