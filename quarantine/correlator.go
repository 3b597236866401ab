package quarantine

import (
	"slices"
	"time"
)

// InterruptedRequest is a request that was unanswered at a target when its connection broke.
type InterruptedRequest struct {
	Digest  Digest
	Account string
	// Trial reports whether the request was a trial of its content, and AccountTrial whether it was
	// a trial of its account.
	Trial, AccountTrial bool
}

const (
	// correlationWindow is the time after the first broken connection within which the crash of the
	// target counts for its interrupted requests. The list drops the entry of a crashed target 5 s
	// after the crash, when three heartbeats are missing.
	correlationWindow = 10 * time.Second
	// maxInterrupted bounds the interrupted requests that are kept for one target.
	maxInterrupted = 64
)

// CrashCorrelator finds out which requests were at a target when it crashed. A broken connection
// alone is weak evidence of a crash: it may have been reset, timed out or partitioned. An
// interrupted request counts once the target is known to have crashed, and does not count if the
// target answers again. The zero value is ready to use. A CrashCorrelator is not safe for
// concurrent use.
type CrashCorrelator struct {
	pending map[string]*pendingTarget
}

// pendingTarget holds the requests interrupted at one target within correlationWindow from since
// on.
type pendingTarget struct {
	since          time.Time
	interrupted    []InterruptedRequest
	crashed        bool
	checkRequested bool
}

// RequestInterrupted records that the connection of a request to a target broke. If the target is
// known to have crashed, RequestInterrupted returns the request as one that was there. Otherwise,
// check reports whether the caller has to find out whether the target has crashed; it is true only
// for the first request interrupted at the target within correlationWindow.
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

// TargetCrashed records that a target has crashed. It returns the requests that were at the target.
func (c *CrashCorrelator) TargetCrashed(now time.Time, target string) []InterruptedRequest {
	p := c.pending[target]
	if p == nil || p.crashed || now.Sub(p.since) >= correlationWindow {
		return nil
	}
	interrupted := p.interrupted
	p.crashed, p.interrupted = true, nil
	return interrupted
}

// TargetAnswered records that a target has answered a request that was sent at the given time. A
// request sent after the first interruption shows that the target has not crashed.
func (c *CrashCorrelator) TargetAnswered(sent time.Time, target string) {
	if p := c.pending[target]; p != nil && !p.crashed && p.since.Before(sent) {
		delete(c.pending, target)
	}
}

// TargetLeaving records that a target shuts down as planned: the requests that it interrupts do not
// count.
func (c *CrashCorrelator) TargetLeaving(target string) { delete(c.pending, target) }

// PendingFor returns the number of targets at which a request with the digest was interrupted and
// that may have crashed.
func (c *CrashCorrelator) PendingFor(digest Digest) int {
	n := 0
	for _, p := range c.pending {
		if slices.ContainsFunc(p.interrupted, func(r InterruptedRequest) bool { return r.Digest == digest }) {
			n++
		}
	}
	return n
}

// IsPending reports whether requests were interrupted at a target that is not known to have
// crashed.
func (c *CrashCorrelator) IsPending(target string) bool {
	p := c.pending[target]
	return p != nil && !p.crashed
}

// Len returns the number of targets at which requests were interrupted and that have not been
// removed since, by Expire or otherwise.
func (c *CrashCorrelator) Len() int { return len(c.pending) }

// Expire removes targets whose correlationWindow has passed.
func (c *CrashCorrelator) Expire(now time.Time) {
	for target, p := range c.pending {
		if now.Sub(p.since) >= correlationWindow {
			delete(c.pending, target)
		}
	}
}
