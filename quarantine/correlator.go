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
func (w *CrashCorrelator) RequestInterrupted(now time.Time, target string, b InterruptedRequest) (ended []InterruptedRequest, ask bool) {
	d := w.pending[target]
	if d == nil || now.Sub(d.since) >= correlationWindow {
		if w.pending == nil {
			w.pending = make(map[string]*pendingTarget)
		}
		d = &pendingTarget{since: now}
		w.pending[target] = d
	}
	if d.crashed {
		return []InterruptedRequest{b}, false
	}
	ask, d.checkRequested = !d.checkRequested, true
	if len(d.interrupted) < maxInterrupted && !slices.Contains(d.interrupted, b) {
		d.interrupted = append(d.interrupted, b)
	}
	return nil, ask
}

// TargetCrashed takes in that a target has ended. It returns the requests that were there.
func (w *CrashCorrelator) TargetCrashed(now time.Time, target string) []InterruptedRequest {
	d := w.pending[target]
	if d == nil || d.crashed || now.Sub(d.since) >= correlationWindow {
		return nil
	}
	broken := d.interrupted
	d.crashed, d.interrupted = true, nil
	return broken
}

// TargetAnswered takes in that a target has answered a request that was sent at a time.
func (w *CrashCorrelator) TargetAnswered(sent time.Time, target string) {
	if d := w.pending[target]; d != nil && !d.crashed && d.since.Before(sent) {
		delete(w.pending, target)
	}
}

// TargetLeaving takes in that a target leaves: what it breaks off is its planned end.
func (w *CrashCorrelator) TargetLeaving(target string) { delete(w.pending, target) }

// PendingFor returns the number of targets that may have ended under a request, of which nothing
// is known for certain.
func (w *CrashCorrelator) PendingFor(digest Digest) int {
	n := 0
	for _, d := range w.pending {
		if slices.ContainsFunc(d.interrupted, func(b InterruptedRequest) bool { return b.Digest == digest }) {
			n++
		}
	}
	return n
}

// IsPending tells whether requests have broken at a target of which nothing is known.
func (w *CrashCorrelator) IsPending(target string) bool {
	d := w.pending[target]
	return d != nil && !d.crashed
}

// Len returns the number of targets in doubt.
func (w *CrashCorrelator) Len() int { return len(w.pending) }

// Expire forgets what counts no more.
func (w *CrashCorrelator) Expire(now time.Time) {
	for target, d := range w.pending {
		if now.Sub(d.since) >= correlationWindow {
			delete(w.pending, target)
		}
	}
}
