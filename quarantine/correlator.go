package quarantine

import (
	"slices"
	"time"
)

// InterruptedRequest is a request that was at a target, unanswered, when its connection ended.
type InterruptedRequest struct {
	Digest  Digest
	Account string
	// Trial says that it was a trial of its content, and AccountTrial that it was one of the
	// unknown requests of its account.
	Trial, AccountTrial bool
}

const (
	// correlationWindow is how long after a broken connection news of the target's end count for
	// the requests that it had: an entry is gone five seconds after the target, when
	// three heartbeats are missing.
	correlationWindow = 10 * time.Second
	// maxInterrupted bounds the broken requests kept for one target.
	maxInterrupted = 64
)

// CrashCorrelator finds out under which requests targets have ended. A connection that ends says
// little: it may have been reset, cut off or forgotten. What was broken off counts once it
// is known that the target has ended, and not at all if it answers again. The zero value is
// ready. It is not safe for concurrent use.
type CrashCorrelator struct {
	pending map[string]*pendingTarget
}

// pendingTarget is what is known of one target at which requests have broken.
type pendingTarget struct {
	since          time.Time
	interrupted    []InterruptedRequest
	crashed        bool
	checkRequested bool
}

// RequestInterrupted notes that a request was broken off at a target. It returns those that are known to
// have been there when the target ended, and whether it has to be found out if it has.
func (c *CrashCorrelator) RequestInterrupted(now time.Time, target string, r InterruptedRequest) (crashed []InterruptedRequest, check bool) {
	p := c.pending[target]
	if p == nil || now.Sub(p.since) >= correlationWindow {
		if c.pending == nil {
			c.pending = make(map[string]*pendingTarget)
		}
		p = &pendingTarget{since: now}
		c.pending[target] = p
	}
	if p.crashed {
		return []InterruptedRequest{r}, false
	}
	check, p.checkRequested = !p.checkRequested, true
	if len(p.interrupted) < maxInterrupted && !slices.Contains(p.interrupted, r) {
		p.interrupted = append(p.interrupted, r)
	}
	return nil, check
}

// TargetCrashed takes in that a target has ended. It returns the requests that were there.
func (c *CrashCorrelator) TargetCrashed(now time.Time, target string) []InterruptedRequest {
	p := c.pending[target]
	if p == nil || p.crashed || now.Sub(p.since) >= correlationWindow {
		return nil
	}
	interrupted := p.interrupted
	p.crashed, p.interrupted = true, nil
	return interrupted
}

// TargetAnswered takes in that a target has answered a request that was sent at a time.
func (c *CrashCorrelator) TargetAnswered(sent time.Time, target string) {
	if p := c.pending[target]; p != nil && !p.crashed && p.since.Before(sent) {
		delete(c.pending, target)
	}
}

// TargetLeaving takes in that a target leaves: what it breaks off is its planned end.
func (c *CrashCorrelator) TargetLeaving(target string) { delete(c.pending, target) }

// PendingFor returns the number of targets that may have ended under a request, of which nothing
// is known for certain.
func (c *CrashCorrelator) PendingFor(digest Digest) int {
	n := 0
	for _, p := range c.pending {
		if slices.ContainsFunc(p.interrupted, func(r InterruptedRequest) bool { return r.Digest == digest }) {
			n++
		}
	}
	return n
}

// IsPending tells whether requests have broken at a target of which nothing is known.
func (c *CrashCorrelator) IsPending(target string) bool {
	p := c.pending[target]
	return p != nil && !p.crashed
}

// Len returns the number of targets in doubt.
func (c *CrashCorrelator) Len() int { return len(c.pending) }

// Expire forgets what counts no more.
func (c *CrashCorrelator) Expire(now time.Time) {
	for target, p := range c.pending {
		if now.Sub(p.since) >= correlationWindow {
			delete(c.pending, target)
		}
	}
}
