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
func (c *TrialCoordinator) Acquire(now time.Time, t *Table, d Digest, instance string, until time.Time) (granted bool, next time.Time) {
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
	c.leases[d] = trialLease{holder: instance, expiresAt: until, failedTrials: status.FailedTrials}
	return true, time.Time{}
}

// Release ends a trial that did not end its target, and tells whether it was answered. It reports
// whether that frees an account.
func (c *TrialCoordinator) Release(t *Table, now time.Time, d Digest, instance string, answered bool) bool {
	if c.leases[d].holder != instance {
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

// Expire forgets trials that have ended.
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
