package quarantine

import (
	"time"

	"github.com/rainford/rainford/internal/mix"
)

// TrialCoordinator grants the trials of the requests that one instance looks after, one at a time for
// each. It is not safe for concurrent use.
type TrialCoordinator struct {
	leases map[Digest]trialLease
	// streaks are the trials of accounts that were answered one after the other.
	streaks map[Digest]answerStreak
}

// answerStreak are answered trials since the last failed one.
type answerStreak struct {
	count        int
	failedTrials int
	last         time.Time
}

// trialLease is a trial that is under way.
type trialLease struct {
	holder string
	// expiresAt is when it has ended at the latest.
	expiresAt time.Time
	// failedTrials is the number of failedTrials trials before it.
	failedTrials int
}

// leaseRetryDelay is when another instance is told to ask again while a trial is under way: an
// answer mostly comes within that time.
const leaseRetryDelay = 500 * time.Millisecond

// Acquire decides whether an instance may send a request as a trial, which takes at most until
// a time. If not, it returns when there may be another one.
func (w *TrialCoordinator) Acquire(now time.Time, t *Table, d Digest, from string, until time.Time) (granted bool, next time.Time) {
	s := t.Status(now, d)
	if s.Verdict == Held {
		return false, s.Until
	}
	if g, ok := w.leases[d]; ok && s.Verdict == Suspect && now.Before(g.expiresAt) && s.FailedTrials == g.failedTrials {
		return false, now.Add(leaseRetryDelay)
	}
	if w.leases == nil {
		w.leases = make(map[Digest]trialLease)
	}
	w.leases[d] = trialLease{holder: from, expiresAt: until, failedTrials: s.FailedTrials}
	return true, time.Time{}
}

// Release ends a trial that did not end its target, and tells whether it was answered. It reports
// whether that frees an account.
func (w *TrialCoordinator) Release(t *Table, now time.Time, d Digest, from string, answered bool) bool {
	if w.leases[d].holder != from {
		return false
	}
	failed := w.leases[d].failedTrials
	delete(w.leases, d)
	if !answered || !d.IsAccount() {
		return false
	}
	if w.streaks == nil {
		w.streaks = make(map[Digest]answerStreak)
	}
	a := w.streaks[d]
	if a.failedTrials != failed {
		a = answerStreak{failedTrials: failed}
	}
	a.count, a.last = a.count+1, now
	w.streaks[d] = a
	if a.count < answersToClear {
		return false
	}
	delete(w.streaks, d)
	return t.RecordAnswer(now, d)
}

// Expire forgets trials that have ended.
func (w *TrialCoordinator) Expire(now time.Time) {
	for d, g := range w.leases {
		if !now.Before(g.expiresAt) {
			delete(w.leases, d)
		}
	}
	for d, a := range w.streaks {
		if now.Sub(a.last) >= flagTTL {
			delete(w.streaks, d)
		}
	}
}

// CoordinatorFor returns the warden of a request among the instances that can be asked, "" if there
// are none. All that know the same instances choose the same one.
func CoordinatorFor(d Digest, instances []string) string {
	best, bestHash := "", uint64(0)
	for _, name := range instances {
		if hash := mix.Pair(string(d[:]), name); best == "" || hash > bestHash || (hash == bestHash && name < best) {
			best, bestHash = name, hash
		}
	}
	return best
}
