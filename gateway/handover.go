package gateway

import (
	"strconv"
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/protocol"
	"github.com/rainford/rainford/retry"
)

// Headers of a request that is handed over, and of its response, in addition to those of package
// protocol. A helper is the instance that a request is handed over to.
const (
	// headerAttempts is, in a request, the number of times that it may be sent to targets, and in a
	// response the number of times that it was.
	headerAttempts = "Rainford-Attempts"
	// headerReason is why the helper has no response of a target, and headerRetryAfter the time after
	// which the client should retry, in seconds with a fraction.
	headerReason     = "Rainford-Reason"
	headerRetryAfter = "Rainford-Retry-After"
	// headerHandedOverBy is the name of the instance that hands a request over.
	headerHandedOverBy = "Rainford-Handed-Over-By"
)

// handoverRequestHeaders are the headers of a request that is handed over that are not part of the
// client's request.
var handoverRequestHeaders = []string{headerAttempts, headerHandedOverBy, protocol.HeaderConfig, peer.HeaderSecret}

// handoverHeaders are the headers of the response to a request that was handed over that are not part
// of the target's response.
var handoverHeaders = []string{protocol.HeaderOutcome, protocol.HeaderTarget, protocol.HeaderRegion, headerAttempts, headerReason}

const (
	// maxHelpers is the number of helpers that are tried for a request.
	maxHelpers = 3
	// helperMargin is how much longer than a target a helper may take to respond, for its own
	// margins and the way back.
	helperMargin = 40 * time.Millisecond
	// reasonHandedOver is the reason for the choice of a helper, in the log of attempts.
	reasonHandedOver = "handed-over"
)

// Reasons of helpers that do not send a request to a target. Another helper may do so.
const (
	reasonStopping       = "stopping"
	reasonTargetsLost    = "targets-lost"
	reasonUnreachable    = "targets-unreachable"
	reasonHelperFull     = "helper-full"
	reasonConfigOutdated = "configuration-outdated"
)

// helperPause returns how long a helper gets no requests after it did not send a request to a target
// for the given reason. The result is false if other helpers would not send it either.
func helperPause(reason string) (time.Duration, bool) {
	switch reason {
	case reasonHelperFull:
		return fullHelperPause, true
	case reasonStopping, reasonTargetsLost, reasonConfigOutdated:
		return unreachableHelperPause, true
	case reasonUnreachable:
		return 0, true
	default:
		return 0, false
	}
}

// mayHandOver reports whether a request may be handed over to another instance. One that was handed
// over to this instance is not handed over again. A trial is sent by the instance that it was granted.
func (ex *exchange) mayHandOver() bool { return ex.handover == nil && ex.id != "" && !ex.isTrial() }

// handOver hands the request over to other instances, one after the other, until one has sent it to a
// target or knows that none can run it. The result is false if no instance takes it.
func (g *Gateway) handOver(ex *exchange, p *pool, state *progress) (finalResult, bool) {
	tried := make(map[string]bool)
	// If no other instance reaches a lost hall either, the hall itself is down, and nothing is gained.
	onlyWhole := g.reach.hasLostHalls() && !g.reach.isLost()
	unreachable := false
	for len(tried) < maxHelpers && state.sent < ex.maxAttempts() {
		helper, ok := g.helpers.acquire(g.clock.Now(), ex.homeRegions, tried, onlyWhole)
		if !ok {
			break
		}
		tried[helper.Name] = true
		if state.sent > 0 && !p.spendRetry() {
			g.helpers.release(g.clock.Now(), helper.Name, 0)
			return withoutResponse(failedResult(state.unknown, "no-budget", state.backoff)), true
		}
		r, final, done := g.tryHelper(ex, helper, state)
		if done {
			return final, true
		}
		unreachable = unreachable || r.reason == reasonUnreachable
	}
	if unreachable {
		p.setUnreachableElsewhere()
	}
	return finalResult{}, false
}

// tryHelper hands the request over to one instance. The result is true if the request ends with it.
func (g *Gateway) tryHelper(ex *exchange, helper fleet.Member, state *progress) (handoverResult, finalResult, bool) {
	a := g.sendToHelper(ex, helper, ex.maxAttempts()-state.sent)
	r := parseHandover(a)
	a.Outcome = r.outcome
	pause, otherMay := helperPause(r.reason)
	if a.Response == nil && r.outcome == retry.NotRun {
		pause, otherMay = unreachableHelperPause, true
		if !a.Sent && g.reach.isHallLost(helper.Hall) {
			// The whole hall is cut off, rather than its targets.
			g.helpers.pauseHall(g.clock.Now(), helper.Hall)
		}
	}
	g.helpers.release(g.clock.Now(), helper.Name, pause)
	g.metrics.handover(handoverOut, r.outcome)
	ex.recordHandover(helper.Name, a, r)
	state.sent += r.attempts
	state.unknown = state.unknown || r.outcome == retry.Unknown
	if r.response != nil {
		ex.answered = true
		return r, finalResult{requestResult{reason: reasonAnswered}, r.response}, true
	}
	if stop, result := g.afterAttempt(ex, a, state.unknown); stop {
		return r, withoutResponse(result), true
	}
	if r.outcome == retry.NotRun && !otherMay {
		return r, withoutResponse(failedResult(state.unknown, r.reason, r.retryAfter)), true
	}
	return r, finalResult{}, false
}

// sendToHelper sends the request to a helper and reads the response.
func (g *Gateway) sendToHelper(ex *exchange, helper fleet.Member, attempts int) forward.Attempt {
	header := forward.EndToEndHeaders(ex.r.Header)
	header[headerAttempts] = []string{strconv.Itoa(attempts)}
	header[protocol.HeaderConfig] = []string{strconv.FormatInt(int64(ex.version), 10)}
	header[headerHandedOverBy] = []string{g.config.Name}
	g.mesh.SetSecret(header)
	return g.helperClient.Do(ex.ctx, &forward.Request{
		Method:        ex.r.Method,
		URI:           ex.uri,
		Host:          ex.r.Host,
		Header:        header,
		Body:          ex.body,
		ID:            ex.id,
		Account:       accountName(ex.account),
		Target:        helper.Name,
		TargetName:    helper.Name,
		Addr:          helper.PeerAddr,
		Timeout:       g.clock.Until(ex.deadline) - targetMargin,
		Deadline:      ex.deadline.Add(lateResponseMargin + helperMargin),
		NonIdempotent: ex.route.Kind != catalog.Idempotent,
		Memory:        ex.memory,
	})
}

// recordHandover records an attempt to hand over the request, for its log line.
func (ex *exchange) recordHandover(helper string, a forward.Attempt, r handoverResult) {
	h := attemptRecord{Helper: helper, Target: r.target, Region: r.region, Reason: reasonHandedOver, Outcome: r.outcome.String(),
		Reused: a.Reused, TookMs: a.TargetResult.Latency.Milliseconds(), ConnectMs: a.ConnectTime.Milliseconds(), HelperReason: r.reason}
	if a.Err != nil {
		h.Error = a.Err.Error()
	}
	ex.attempts = append(ex.attempts, h)
}
