package gateway

import (
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/quarantine"
	"github.com/rainford/rainford/upstream"
)

// reasonEndsTargets is the reason of requests that are held back because targets have ended
// under them.
const reasonEndsTargets = "ends-targets"

// reasonAccountEndsTargets is the reason of requests that were not answered before, of an account
// under whose different requests targets have ended.
const reasonAccountEndsTargets = "account-ends-targets"

// holds keeps which requests are held back because targets end under them. It is safe for
// concurrent use.
type holds struct {
	// known says that anything is known of any request. While it is not, which is nearly
	// always, requests pass without a digest.
	known atomic.Bool

	mu      sync.Mutex
	table   quarantine.Table
	witness quarantine.CrashCorrelator
	warden  quarantine.TrialCoordinator
	trials  map[quarantine.Digest]chan trialAnswer
	// answers are the requests of accounts that were answered here of late.
	answers answeredRequests
	// silent are the wardens that have not answered, until when they are passed over.
	silent map[string]time.Time
	// keeping is the number of writes to the store under way.
	keeping atomic.Int64
	// flaggedAt is when it was last looked whether accounts are to be flagged.
	flaggedAt time.Time
}

// flagEvery is the least time between two looks: one at a full table of a hundred accounts takes
// 1.6 ms (BenchmarkFlag).
const flagEvery = 250 * time.Millisecond

// flag returns the digests of accounts that are newly flagged. The caller holds mu.
func (h *holds) flag(now time.Time) []quarantine.Digest {
	if now.Sub(h.flaggedAt) < flagEvery {
		return nil
	}
	h.flaggedAt = now
	return h.table.FlagAccounts(now, func(account uint32) bool { return h.answers.isSound(now, account) })
}

func newHolds() *holds {
	return &holds{trials: make(map[quarantine.Digest]chan trialAnswer), silent: make(map[string]time.Time)}
}

// note keeps known up to date. The caller holds mu.
func (h *holds) note() { h.known.Store(h.table.Len() > 0 || h.witness.Len() > 0) }

// expire forgets what is no longer remembered.
func (h *holds) expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Expire(now)
	h.witness.Expire(now)
	h.warden.Expire(now)
	h.answers.expire(now)
	for name, until := range h.silent {
		if !now.Before(until) {
			delete(h.silent, name)
		}
	}
	h.note()
}

// standing returns what the table says of a request, and how many targets may have ended
// under it besides.
func (h *holds) standing(now time.Time, d quarantine.Digest) (quarantine.Status, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Status(now, d), h.witness.PendingFor(d)
}

// doubts tells whether it is not known if a target has ended.
func (h *holds) doubts(target string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.witness.IsPending(target)
}

// suspects returns the number of requests that are not free.
func (h *holds) suspects() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return int64(h.table.SuspectCount())
}

// digestOf returns the digest of a request.
func (ex *exchange) digestOf() quarantine.Digest {
	if ex.digest == (quarantine.Digest{}) {
		ex.digest = ex.content().Digest()
	}
	return ex.digest
}

// maxDoubtful is the number of targets that end under a request, or may have, from which on
// it is not sent to another one within its exchange. The first end is repeated: most requests
// that it hits are innocent, and it is what crashes of targets cost callers. After a second
// one another attempt gains little, and each costs a target if the request is to blame. With
// what instances tell each other it keeps the targets that end under 100 such requests to 3,
// of 76 without either (TestEndingRequestIsHeld).
const maxDoubtful = 2

// pass tells whether a request may be sent now, or what it is answered. A suspect one is sent
// as a trial if its warden grants that. Unknown says that an attempt of it was broken off.
func (g *Gateway) pass(ex *exchange, unknown bool) (verdict, bool) {
	if ex.isTrial() || !g.holds.known.Load() {
		return verdict{}, true
	}
	now := g.clock.Now()
	standing, doubts := g.holds.standing(now, ex.digestOf())
	if unknown && standing.Crashes+doubts >= maxDoubtful {
		return given(true, reasonEndsTargets, 0), false
	}
	if standing.Verdict != quarantine.Allowed {
		return g.try(ex, ex.digestOf(), standing, reasonEndsTargets)
	}
	if ex.account == nil || g.holds.answers.has(answeredOf(ex.account.Name, ex.digestOf())) {
		return verdict{}, true
	}
	account := quarantine.AccountDigest(ex.account.Name)
	standing, _ = g.holds.standing(now, account)
	if standing.Verdict == quarantine.Allowed || g.holds.answers.isSound(now, quarantine.AccountHash(ex.account.Name)) {
		return verdict{}, true
	}
	ex.heldAsAccount = true
	if unknown {
		return given(true, reasonAccountEndsTargets, 0), false
	}
	v, ok := g.try(ex, account, standing, reasonAccountEndsTargets)
	ex.heldAsAccount = !ok
	return v, ok
}

// try has a request sent as a trial of what a digest stands for if that may be tried now.
func (g *Gateway) try(ex *exchange, d quarantine.Digest, standing quarantine.Status, reason string) (verdict, bool) {
	if standing.Verdict == quarantine.Held {
		return notRun(reason, g.clock.Until(standing.Until)), false
	}
	granted, next := g.askTrial(ex, d)
	if !granted {
		return notRun(reason, max(g.clock.Until(next), defaultRetryAfter)), false
	}
	ex.trial = d
	return verdict{}, true
}

// stillPasses tells whether a request that had to wait for its target may still be sent.
func (g *Gateway) stillPasses(ex *exchange) bool {
	if ex.isTrial() || !g.holds.known.Load() {
		return true
	}
	now := g.clock.Now()
	standing, _ := g.holds.standing(now, ex.digestOf())
	if standing.Verdict != quarantine.Allowed || ex.account == nil || g.holds.answers.has(answeredOf(ex.account.Name, ex.digestOf())) {
		return standing.Verdict == quarantine.Allowed
	}
	standing, _ = g.holds.standing(now, quarantine.AccountDigest(ex.account.Name))
	return standing.Verdict == quarantine.Allowed || g.holds.answers.isSound(now, quarantine.AccountHash(ex.account.Name))
}

// witness takes in what an attempt says of its target's life.
func (g *Gateway) witness(ex *exchange, target upstream.Choice, a forward.Attempt) {
	now := g.clock.Now()
	switch {
	case a.Response != nil:
		g.answered(now, ex, target, a)
	case a.TargetResult.Outcome == upstream.Rejected:
		g.lives(now.Add(-a.TargetResult.Latency), target.ID)
	case a.TargetResult.Outcome == upstream.Replaced, a.TargetResult.Outcome == upstream.Unreachable && errors.Is(a.Err, syscall.ECONNREFUSED):
		g.targetEnded(now, target.ID)
	case a.TargetResult.Outcome == upstream.Broken && a.Sent:
		g.broke(now, ex, target)
	}
}

// lives takes in that a target has answered a request that was sent at a time.
func (g *Gateway) lives(sent time.Time, target string) {
	if !g.holds.known.Load() {
		return
	}
	g.holds.mu.Lock()
	defer g.holds.mu.Unlock()
	g.holds.witness.TargetAnswered(sent, target)
}

// answered takes in that a request was answered: targets do not end under it.
func (g *Gateway) answered(now time.Time, ex *exchange, target upstream.Choice, a forward.Attempt) {
	g.noteAnswer(now, ex)
	if !g.holds.known.Load() {
		return
	}
	g.lives(now.Add(-a.TargetResult.Latency), target.ID)
	d := ex.digestOf()
	g.holds.mu.Lock()
	kept := g.holds.table.Status(now, d).FailedTrials > 0
	freed := g.holds.table.RecordAnswer(now, d)
	g.holds.mu.Unlock()
	if !freed {
		return
	}
	g.log.Info(logRequestFreed, "content", d.String(), "target", target.ID)
	g.tell(now, d)
	if kept {
		g.keepRelease(d)
	}
}

// noteAnswer remembers that a request of an account was answered.
func (g *Gateway) noteAnswer(now time.Time, ex *exchange) {
	if ex.account == nil {
		return
	}
	if len(ex.body) > maxAnsweredBody {
		if g.holds.known.Load() {
			g.holds.answers.answered(now, quarantine.AccountHash(ex.account.Name))
		}
		return
	}
	r := answeredOf(ex.account.Name, ex.digestOf())
	if g.holds.known.Load() && !g.holds.answers.has(r) {
		g.holds.answers.answered(now, r.account)
	}
	g.holds.answers.add(r)
}

// broke takes in that a request was broken off at a target, and finds out whether the target
// has ended.
func (g *Gateway) broke(now time.Time, ex *exchange, target upstream.Choice) {
	ex.broken = true
	if g.hasLeft(target) {
		return
	}
	ofAccount := ex.trial.IsAccount()
	broken := quarantine.InterruptedRequest{Digest: ex.digestOf(), Account: accountName(ex.account), Trial: ex.isTrial() && !ofAccount, AccountTrial: ofAccount}
	g.holds.mu.Lock()
	ended, ask := g.holds.witness.RequestInterrupted(now, target.ID, broken)
	g.holds.note()
	g.holds.mu.Unlock()
	g.noteEnds(now, target.ID, ended)
	if ask {
		g.start(func() { g.findOut(target) })
	}
}

// hasLeft tells whether a target has said that it leaves, in the list or by its own word, or is
// no longer listed: what it breaks off then is its planned end.
func (g *Gateway) hasLeft(target upstream.Choice) bool {
	if g.departures.has(target.ID) {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	spec, ok := g.listed.specs[target.Name]
	return !ok || (spec.ID == target.ID && spec.Leaves)
}

// findOut connects to a target at which a request was broken off. One that refuses has ended.
// A connection says nothing for certain, and is kept for the next request.
func (g *Gateway) findOut(target upstream.Choice) {
	err := g.targets.Preconnect(target.ID, target.Addr)
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.targetEnded(g.clock.Now(), target.ID)
	}
}

// targetEnded takes in that a target has ended.
func (g *Gateway) targetEnded(now time.Time, target string) {
	if !g.holds.known.Load() {
		return
	}
	g.holds.mu.Lock()
	broken := g.holds.witness.TargetCrashed(now, target)
	g.holds.mu.Unlock()
	g.noteEnds(now, target, broken)
}

// listedEnds takes in which entries of targets have gone or say that they leave. The caller
// holds mu of the gateway.
func (g *Gateway) listedEnds(now time.Time, changed []*catalog.Target, gone []string) {
	if !g.holds.known.Load() {
		return
	}
	for _, spec := range changed {
		if spec.Leaves {
			g.holds.mu.Lock()
			g.holds.witness.TargetLeaving(spec.ID)
			g.holds.mu.Unlock()
		}
	}
	for _, id := range gone {
		if g.holds.doubts(id) {
			// What targetEnded locks is held by the caller.
			g.start(func() { g.targetEnded(now, id) })
		}
	}
}

// noteEnds notes that a target has ended under some requests, and tells the other instances.
func (g *Gateway) noteEnds(now time.Time, target string, broken []quarantine.InterruptedRequest) {
	if len(broken) == 0 {
		return
	}
	digests := make([]quarantine.Digest, 0, len(broken))
	contents := make([]string, 0, len(broken))
	g.holds.mu.Lock()
	for _, b := range broken {
		if g.holds.table.RecordCrash(now, b.Digest, b.Account, quarantine.TargetIDOf(target), b.Trial) {
			digests = append(digests, b.Digest)
			contents = append(contents, b.Digest.String())
		}
		g.holds.answers.ended(now, quarantine.AccountHash(b.Account))
		account := quarantine.AccountDigest(b.Account)
		if b.AccountTrial && g.holds.table.RecordCrash(now, account, b.Account, quarantine.TargetIDOf(target), true) {
			digests = append(digests, account)
		}
	}
	digests = append(digests, g.holds.flag(now)...)
	g.holds.note()
	g.holds.mu.Unlock()
	if len(digests) == 0 {
		return
	}
	g.metrics.ends.Add(1)
	g.log.Warn(logTargetEnded, "target", target, "contents", contents[:min(len(contents), maxContents)], "requests", len(contents))
	g.reportHolds(now, digests, "own")
	g.tell(now, digests...)
	g.keep(now, digests)
}

// maxContents bounds the requests that a line on a target's end names.
const maxContents = 8

// reportHolds tells which of some requests are no longer free.
func (g *Gateway) reportHolds(now time.Time, digests []quarantine.Digest, source string) {
	for _, d := range digests {
		standing, _ := g.holds.standing(now, d)
		if standing.Verdict == quarantine.Allowed {
			continue
		}
		message := logRequestHeld
		if d.IsAccount() {
			message = logAccountHeld
			// What this locks is held by some callers.
			g.start(func() { g.tellAnswers(now, d) })
		}
		attrs := []any{"content", d.String(), "ends", standing.Crashes, "failed_trials", standing.FailedTrials, "source", source}
		if standing.Verdict == quarantine.Held {
			attrs = append(attrs, slog.Int64("for_ms", standing.Until.Sub(now).Milliseconds()))
		}
		g.log.Warn(message, attrs...)
	}
}
