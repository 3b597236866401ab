package quarantine

import (
	"time"

	"github.com/rainford/rainford/internal/mix"
)

// TrialCoordinator grants the trials of the digests that one instance coordinates, by leases: at
// most one trial of a digest runs at a time. The zero value is ready to use. A TrialCoordinator is
// not safe for concurrent use.
type TrialCoordinator struct {
	leases map[Digest]trialLease
	// streaks counts the consecutive answered trials of accounts.
	streaks map[Digest]answerStreak
}

// answerStreak counts the answered trials of an account since its last failed trial.
type answerStreak struct {
	count        int
	failedTrials int
	last         time.Time
}

// trialLease is the right to run a trial.
type trialLease struct {
	// holder identifies the trial.
	holder string
	// expiresAt is the time by which the trial has ended at the latest.
	expiresAt time.Time
	// failedTrials is the number of failed trials before this one. If there are more by now, this
	// trial has failed and its lease has ended.
	failedTrials int
}

// leaseRetryDelay is the time after which an instance is to ask again if another one holds the
// lease. Most trials are answered within that time.
const leaseRetryDelay = 500 * time.Millisecond

// Acquire decides whether a request may be sent as a trial, under a lease that lasts until the given
// time. If not, it returns the time at which the instance may ask again. The holder identifies the
// trial, and differs for each trial of an instance. Acquire grants requests that are Allowed without
// regard to other leases.
func (c *TrialCoordinator) Acquire(now time.Time, t *Table, d Digest, holder string, until time.Time) (granted bool, next time.Time) {
	status := t.Status(now, d)
	if status.Verdict == Held {
		return false, status.Until
	}
	if lease, ok := c.leases[d]; ok && status.Verdict == Suspect && now.Before(lease.expiresAt) && status.FailedTrials == lease.failedTrials {
		return false, now.Add(leaseRetryDelay)
	}
	if c.leases == nil {
		c.leases = make(map[Digest]trialLease)
	}
	c.leases[d] = trialLease{holder: holder, expiresAt: until, failedTrials: status.FailedTrials}
	return true, time.Time{}
}

// Release ends the lease of a trial during which the target did not crash. The argument answered
// states whether the trial was answered. Release reports whether an account becomes Allowed by
// that.
func (c *TrialCoordinator) Release(t *Table, now time.Time, d Digest, holder string, answered bool) bool {
	if c.leases[d].holder != holder {
		return false
	}
	failed := c.leases[d].failedTrials
	delete(c.leases, d)
	if !answered || !d.IsAccount() {
		return false
	}
	if c.streaks == nil {
		c.streaks = make(map[Digest]answerStreak)
	}
	streak := c.streaks[d]
	if streak.failedTrials != failed {
		streak = answerStreak{failedTrials: failed}
	}
	streak.count, streak.last = streak.count+1, now
	c.streaks[d] = streak
	if streak.count < answersToClear {
		return false
	}
	delete(c.streaks, d)
	return t.RecordAnswer(now, d)
}

// Expire removes expired leases, and streaks that have not grown for flagTTL.
func (c *TrialCoordinator) Expire(now time.Time) {
	for d, lease := range c.leases {
		if !now.Before(lease.expiresAt) {
			delete(c.leases, d)
		}
	}
	for d, streak := range c.streaks {
		if now.Sub(streak.last) >= flagTTL {
			delete(c.streaks, d)
		}
	}
}

// CoordinatorFor returns the instance that coordinates the trials of a digest, "" if there are no
// instances. It chooses by rendezvous hashing: all callers with the same set of instances get the
// same result.
func CoordinatorFor(d Digest, instances []string) string {
	best, bestHash := "", uint64(0)
	for _, name := range instances {
		if hash := mix.Pair(string(d[:]), name); best == "" || hash > bestHash || (hash == bestHash && name < best) {
			best, bestHash = name, hash
		}
	}
	return best
}
