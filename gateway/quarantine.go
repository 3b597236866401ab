package gateway

import (
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/quarantine"
	"github.com/rainford/rainford/reach"
	"github.com/rainford/rainford/upstream"
)

// reasonCrashesTargets is the reason of requests that are held because targets have crashed under
// them.
const reasonCrashesTargets = "ends-targets"

// reasonAccountCrashesTargets is the reason of requests that are held because different requests of
// their account have crashed targets. Requests that were answered before are exempt.
const reasonAccountCrashesTargets = "account-ends-targets"

// quarantineState tracks which requests crash targets and are therefore held. It is safe for
// concurrent use.
type quarantineState struct {
	// nonEmpty is true if there is state on any request. While it is false, which is nearly always,
	// requests pass without the cost of a digest.
	nonEmpty atomic.Bool

	mu            sync.Mutex
	table         quarantine.Table
	correlator    quarantine.CrashCorrelator
	coordinator   quarantine.TrialCoordinator
	pendingTrials map[quarantine.Digest]pendingTrial
	// answered holds the accounts' requests that targets have answered recently, to this instance
	// or to another one that has sent them.
	answered answeredRequests
	// unresponsive holds the coordinators that did not reply, and the time until which each is
	// skipped.
	unresponsive map[string]time.Time
	// pendingWrites is the number of writes to the store that are in progress.
	pendingWrites atomic.Int64
	// flagCheckedAt is the time of the last check for accounts to flag.
	flagCheckedAt time.Time
}

// flagInterval is the shortest time between two checks. A check of a full table of a hundred
// accounts takes 1.6 ms (BenchmarkFlagAccounts).
const flagInterval = 250 * time.Millisecond

// flagAccounts returns the digests of accounts that are newly flagged. The caller holds mu.
func (h *quarantineState) flagAccounts(now time.Time) []quarantine.Digest {
	if now.Sub(h.flagCheckedAt) < flagInterval {
		return nil
	}
	h.flagCheckedAt = now
	return h.table.FlagAccounts(now, func(account uint32) bool { return h.answered.isTrusted(now, account) })
}

func newQuarantineState() *quarantineState {
	return &quarantineState{pendingTrials: make(map[quarantine.Digest]pendingTrial), unresponsive: make(map[string]time.Time)}
}

// updateNonEmpty recomputes nonEmpty. The caller holds mu.
func (h *quarantineState) updateNonEmpty() {
	h.nonEmpty.Store(h.table.Len() > 0 || h.correlator.Len() > 0)
}

// expire drops state that is past its retention.
func (h *quarantineState) expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Expire(now)
	h.correlator.Expire(now)
	h.coordinator.Expire(now)
	h.answered.expire(now)
	for name, until := range h.unresponsive {
		if !now.Before(until) {
			delete(h.unresponsive, name)
		}
	}
	h.updateNonEmpty()
}

// status returns the status of a request, and the number of further targets that may have crashed
// under it.
func (h *quarantineState) status(now time.Time, d quarantine.Digest) (quarantine.Status, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Status(now, d), h.correlator.PendingFor(d)
}

// isCrashPending reports whether a target may have crashed but this is not confirmed yet.
func (h *quarantineState) isCrashPending(target string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.correlator.IsPending(target)
}

// suspectCount returns the number of suspect requests.
func (h *quarantineState) suspectCount() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return int64(h.table.SuspectCount())
}

// contentDigest returns the digest of the request's content. It is computed on the first call.
func (ex *exchange) contentDigest() quarantine.Digest {
	if ex.digest == (quarantine.Digest{}) {
		ex.digest = ex.content().Digest()
	}
	return ex.digest
}

// maxCrashesPerExchange is the number of confirmed and possible crashes under a request from which
// it is not retried within its exchange. The request is retried after the first crash, since most
// requests that are in flight during a crash are innocent, and their callers should not bear its
// cost. After a second crash a further attempt gains little, and it costs another target if the
// request is the cause. Together with the gossip between instances, this bound limits the crashes
// under 100 such requests to 3, instead of 76 without both (TestCrashingRequestIsHeld).
const maxCrashesPerExchange = 2

// checkQuarantine reports whether a request may be sent now, and returns a refusal if not. A
// suspect request is sent as a trial if its coordinator grants one. unknown is true if the outcome
// of an earlier attempt is unknown.
func (g *Gateway) checkQuarantine(ex *exchange, unknown bool) (requestResult, bool) {
	if ex.isTrial() || !g.quarantine.nonEmpty.Load() {
		return requestResult{}, true
	}
	now := g.clock.Now()
	status, pending := g.quarantine.status(now, ex.contentDigest())
	if unknown && status.Crashes+pending >= maxCrashesPerExchange {
		return failedResult(true, reasonCrashesTargets, 0), false
	}
	if status.Verdict != quarantine.Allowed {
		return g.startTrial(ex, ex.contentDigest(), status, reasonCrashesTargets)
	}
	if ex.account == nil || g.quarantine.answered.has(answeredRequestOf(ex.account.Name, ex.contentDigest())) {
		return requestResult{}, true
	}
	account := quarantine.AccountDigest(ex.account.Name)
	status, _ = g.quarantine.status(now, account)
	if status.Verdict == quarantine.Allowed || g.quarantine.answered.isTrusted(now, quarantine.AccountHash(ex.account.Name)) {
		return requestResult{}, true
	}
	ex.heldForAccount = true
	if unknown {
		return failedResult(true, reasonAccountCrashesTargets, 0), false
	}
	result, ok := g.startTrial(ex, account, status, reasonAccountCrashesTargets)
	ex.heldForAccount = !ok
	return result, ok
}

// startTrial makes the request a trial for a digest if a trial may start now, and returns a refusal
// if not.
func (g *Gateway) startTrial(ex *exchange, d quarantine.Digest, status quarantine.Status, reason string) (requestResult, bool) {
	if status.Verdict == quarantine.Held {
		return notRunResult(reason, g.clock.Until(status.Until)), false
	}
	granted, retryAt := g.acquireTrial(ex, d)
	if !granted {
		return notRunResult(reason, max(g.clock.Until(retryAt), defaultRetryAfter)), false
	}
	ex.trial = d
	return requestResult{}, true
}

// isStillAllowed reports whether a request may still be sent after it has waited for its target.
func (g *Gateway) isStillAllowed(ex *exchange) bool {
	if ex.isTrial() || !g.quarantine.nonEmpty.Load() {
		return true
	}
	now := g.clock.Now()
	status, _ := g.quarantine.status(now, ex.contentDigest())
	if status.Verdict != quarantine.Allowed || ex.account == nil || g.quarantine.answered.has(answeredRequestOf(ex.account.Name, ex.contentDigest())) {
		return status.Verdict == quarantine.Allowed
	}
	status, _ = g.quarantine.status(now, quarantine.AccountDigest(ex.account.Name))
	return status.Verdict == quarantine.Allowed || g.quarantine.answered.isTrusted(now, quarantine.AccountHash(ex.account.Name))
}

// observeAttempt records what an attempt shows about whether its target has crashed.
func (g *Gateway) observeAttempt(ex *exchange, target upstream.Choice, a forward.Attempt) {
	now := g.clock.Now()
	switch {
	case a.Response != nil:
		g.requestAnswered(now, ex, target, a)
	case a.TargetResult.Outcome == upstream.Rejected:
		g.targetAnswered(now.Add(-a.TargetResult.Latency), target.ID)
	case a.TargetResult.Outcome == upstream.Replaced:
		g.targetCrashed(now, target.ID)
	case a.TargetResult.Outcome == upstream.Unreachable && errors.Is(a.Err, syscall.ECONNREFUSED):
		g.targetRefused(now, target)
	case a.TargetResult.Outcome == upstream.Broken && a.Sent:
		g.requestInterrupted(now, ex, target)
	}
}

// targetAnswered records that a target has answered a request that was sent at a time, so that it
// had not crashed before.
func (g *Gateway) targetAnswered(sent time.Time, target string) {
	if !g.quarantine.nonEmpty.Load() {
		return
	}
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	g.quarantine.correlator.TargetAnswered(sent, target)
}

// requestAnswered records that a request was answered and therefore does not crash targets.
func (g *Gateway) requestAnswered(now time.Time, ex *exchange, target upstream.Choice, a forward.Attempt) {
	g.rememberAnswer(now, ex)
	if !g.quarantine.nonEmpty.Load() {
		return
	}
	g.targetAnswered(now.Add(-a.TargetResult.Latency), target.ID)
	d := ex.contentDigest()
	g.quarantine.mu.Lock()
	hasRecord := g.quarantine.table.Status(now, d).FailedTrials > 0
	released := g.quarantine.table.RecordAnswer(now, d)
	g.quarantine.mu.Unlock()
	if !released {
		return
	}
	g.log.Info(logRequestReleased, "content", d.String(), "target", target.ID)
	g.broadcastQuarantine(now, d)
	if hasRecord {
		g.storeRelease(d)
	}
}

// rememberAnswer remembers that a request of an account was answered. A request with a body longer
// than maxRememberedBody is at most counted.
func (g *Gateway) rememberAnswer(now time.Time, ex *exchange) {
	if ex.account == nil {
		return
	}
	if len(ex.body) > maxRememberedBody {
		if g.quarantine.nonEmpty.Load() {
			g.quarantine.answered.recordAnswer(now, quarantine.AccountHash(ex.account.Name))
		}
		return
	}
	r := answeredRequestOf(ex.account.Name, ex.contentDigest())
	if g.quarantine.nonEmpty.Load() && !g.quarantine.answered.has(r) {
		g.quarantine.answered.recordAnswer(now, r.account)
	}
	g.quarantine.answered.add(r)
}

// requestInterrupted records that a request's connection to a target broke, unless the target is
// leaving. It probes whether the target has crashed if the correlator asks for that.
func (g *Gateway) requestInterrupted(now time.Time, ex *exchange, target upstream.Choice) {
	ex.interrupted = true
	if g.isLeaving(target) {
		return
	}
	ofAccount := ex.trial.IsAccount()
	interrupted := quarantine.InterruptedRequest{Digest: ex.contentDigest(), Account: accountName(ex.account), Trial: ex.isTrial() && !ofAccount, AccountTrial: ofAccount}
	g.quarantine.mu.Lock()
	confirmed, probe := g.quarantine.correlator.RequestInterrupted(now, target.ID, interrupted)
	g.quarantine.updateNonEmpty()
	g.quarantine.mu.Unlock()
	g.recordCrashes(now, target.ID, confirmed)
	if probe {
		g.startGoroutine(func() { g.probeTarget(target) })
	}
}

// isLeaving reports whether a target has announced that it leaves, in its entry or in a response,
// or is no longer listed. Connections that break at such a target stem from its planned shutdown.
func (g *Gateway) isLeaving(target upstream.Choice) bool {
	if g.departures.has(target.ID) {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	spec, ok := g.targetList.specs[target.Name]
	return !ok || (spec.ID == target.ID && spec.Leaving)
}

// crashProbeTimeout is how long probeTarget waits for a connection.
const crashProbeTimeout = 800 * time.Millisecond

// probeTarget connects to a target at which a connection broke. If the connection is refused, the
// target has crashed. A successful connection proves nothing, and is kept for the next request.
func (g *Gateway) probeTarget(target upstream.Choice) {
	err := g.targets.Preconnect(target.ID, target.Addr, crashProbeTimeout)
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.targetRefused(g.clock.Now(), target)
	}
}

// targetRefused records that a target has refused a connection. It has crashed, unless the links of this
// instance are what failed: then other instances still reach targets.
func (g *Gateway) targetRefused(now time.Time, target upstream.Choice) {
	if !g.quarantine.nonEmpty.Load() {
		return
	}
	g.reach.verifyIn(target, reach.AtOnce, func(reached bool) {
		if reached || !g.othersReachTargets() {
			g.targetCrashed(now, target.ID)
		}
	})
}

// othersReachTargets reports whether another instance says that it reaches targets.
func (g *Gateway) othersReachTargets() bool {
	return slices.ContainsFunc(g.otherMembers(), fleet.Status.ReachesTargets)
}

// targetCrashed records that a target has crashed.
func (g *Gateway) targetCrashed(now time.Time, target string) {
	if !g.quarantine.nonEmpty.Load() {
		return
	}
	g.quarantine.mu.Lock()
	interrupted := g.quarantine.correlator.TargetCrashed(now, target)
	g.quarantine.mu.Unlock()
	g.recordCrashes(now, target, interrupted)
}

// applyListChanges excludes targets that announce in their entry that they leave from the crash
// correlation, and records that a removed target has crashed if a crash of it is pending. The caller holds mu of the gateway.
func (g *Gateway) applyListChanges(now time.Time, changed []*catalog.Target, removed []string) {
	if !g.quarantine.nonEmpty.Load() {
		return
	}
	for _, spec := range changed {
		if spec.Leaving {
			g.quarantine.mu.Lock()
			g.quarantine.correlator.TargetLeaving(spec.ID)
			g.quarantine.mu.Unlock()
		}
	}
	for _, id := range removed {
		if g.quarantine.isCrashPending(id) {
			// It runs in a goroutine, because targetCrashed needs locks that the caller holds.
			g.startGoroutine(func() { g.targetCrashed(now, id) })
		}
	}
}

// recordCrashes records that a target crashed under some requests, and sends this to the other
// instances.
func (g *Gateway) recordCrashes(now time.Time, target string, interrupted []quarantine.InterruptedRequest) {
	if len(interrupted) == 0 {
		return
	}
	digests := make([]quarantine.Digest, 0, len(interrupted))
	contents := make([]string, 0, len(interrupted))
	g.quarantine.mu.Lock()
	for _, b := range interrupted {
		if g.quarantine.table.RecordCrash(now, b.Digest, b.Account, quarantine.TargetIDOf(target), b.Trial) {
			digests = append(digests, b.Digest)
			contents = append(contents, b.Digest.String())
		}
		g.quarantine.answered.recordCrash(now, quarantine.AccountHash(b.Account))
		account := quarantine.AccountDigest(b.Account)
		if b.AccountTrial && g.quarantine.table.RecordCrash(now, account, b.Account, quarantine.TargetIDOf(target), true) {
			digests = append(digests, account)
		}
	}
	digests = append(digests, g.quarantine.flagAccounts(now)...)
	g.quarantine.updateNonEmpty()
	g.quarantine.mu.Unlock()
	if len(digests) == 0 {
		return
	}
	g.metrics.targetCrashes.Add(1)
	g.log.Warn(logTargetCrashed, "target", target, "contents", contents[:min(len(contents), maxLoggedContents)], "requests", len(contents))
	g.logSuspects(now, digests, "own")
	g.broadcastQuarantine(now, digests...)
	g.storeRecords(now, digests)
}

// maxLoggedContents bounds the requests that the log line on a crash names.
const maxLoggedContents = 8

// logSuspects logs those of the given requests and accounts that are suspect, and sends the answered
// requests of these accounts to other instances.
func (g *Gateway) logSuspects(now time.Time, digests []quarantine.Digest, source string) {
	for _, d := range digests {
		status, _ := g.quarantine.status(now, d)
		if status.Verdict == quarantine.Allowed {
			continue
		}
		message := logRequestHeld
		if d.IsAccount() {
			message = logAccountHeld
			// It runs in a goroutine, because sendAnsweredRequests needs a lock that some callers
			// hold.
			g.startGoroutine(func() { g.sendAnsweredRequests(now, d) })
		}
		attrs := []any{"content", d.String(), "ends", status.Crashes, "failed_trials", status.FailedTrials, "source", source}
		if status.Verdict == quarantine.Held {
			attrs = append(attrs, slog.Int64("for_ms", status.Until.Sub(now).Milliseconds()))
		}
		g.log.Warn(message, attrs...)
	}
}
