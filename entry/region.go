package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/balance"
	"github.com/rainford/rainford/protocol"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/route"
	"github.com/rainford/rainford/share"
	"github.com/rainford/rainford/table"
)

// serveCaller is the last stage for requests of callers. It tries the candidate rows in random
// order. If no row accepts the request at once, the request waits for a slot in the own hall,
// if a row leads there. Otherwise it is refused with the shortest retry time of all refusals.
func (e *Entry) serveCaller(ex *Exchange) Result {
	rows := e.config.Chooser.Order(e.config.Fleet.Candidates(ex.Service.Name))
	best := Result{}
	for _, row := range rows {
		res, tryNext := e.tryRow(ex, row)
		if !tryNext {
			return res
		}
		best = earliestRetry(best, res)
	}
	for _, row := range rows {
		if row.To != e.config.Region || !e.config.Fleet.HallOpen() {
			continue
		}
		ex.destination = row.To
		res, tryNext := e.tryLocal(ex, row, homeQueueTimeout)
		if !tryNext {
			return res
		}
		best = earliestRetry(best, res)
	}
	if best.Status == 0 {
		return notRun(statusRefused, protocol.ReasonUnreachable, "no region takes the service now", e.jitter(time.Second))
	}
	return best
}

// tryRow tries to serve the request through one row. The result tryNext is true if another row
// may be tried.
func (e *Entry) tryRow(ex *Exchange, row table.Row) (res Result, tryNext bool) {
	ex.destination = row.To
	best := Result{}
	if row.To == e.config.Region && e.config.Fleet.HallOpen() {
		res, tryNext = e.tryLocal(ex, row, localQueueTimeout)
		if !tryNext {
			return res, false
		}
		best = res
	}
	if best.Reason == protocol.ReasonCap {
		return best, true
	}
	res, tryNext = e.tryRemote(ex, row)
	if !tryNext {
		return res, false
	}
	return earliestRetry(best, res), true
}

// tryLocal tries to serve the request at a target of the own hall. The second result is true if
// the request may be tried elsewhere.
func (e *Entry) tryLocal(ex *Exchange, row table.Row, queueTimeout time.Duration) (Result, bool) {
	slot, refused := e.acquireSlot(ex, queueTimeout, "")
	if slot == nil {
		return refused, true
	}
	if res, ok := e.admit(row); !ok {
		slot.Release(balance.Abandoned, 0)
		return res, true
	}
	return e.tryTargets(ex, slot)
}

// admit takes a unit of the row's cap. It returns false and a refusal if none is available.
func (e *Entry) admit(row table.Row) (Result, bool) {
	admission, wait := e.config.Caps.Admit(row)
	if admission == share.Admitted {
		return Result{}, true
	}
	detail := "the cap of " + row.Key().String() + " is used up"
	if admission == share.RampLimited {
		detail = "the shift on " + row.Key().String() + " is still ramping"
	}
	return notRun(statusRefused, protocol.ReasonCap, detail, e.jitter(max(wait, 50*time.Millisecond))), false
}

// tryRemote tries to serve the request through another instance in the row's destination
// region. The second result is true if the request may be tried elsewhere.
func (e *Entry) tryRemote(ex *Exchange, row table.Row) (Result, bool) {
	best := notRun(statusRefused, protocol.ReasonUnreachable, "no instance in "+row.To+" takes the service now", e.jitter(time.Second))
	tried := make(map[string]bool)
	admitted := false
	for range maxHops {
		hops, busy := e.config.Fleet.Hops(row.To, ex.Service.Name, tried)
		peers := make([]route.Peer, len(hops))
		for i := range hops {
			peers[i] = hops[i].Peer
		}
		i := e.config.Chooser.Pick(peers)
		if i < 0 && busy {
			return notRun(statusRefused, protocol.ReasonCapacity, "every instance in "+row.To+" is busy", e.jitter(200*time.Millisecond)), true
		}
		if i < 0 {
			break
		}
		if !admitted {
			// A request takes one unit, regardless of the number of instances to which it is
			// sent.
			if res, ok := e.admit(row); !ok {
				return res, true
			}
			admitted = true
		}
		tried[hops[i].ID] = true
		res, tryNext := e.tryHop(ex, row, hops[i])
		if !tryNext {
			return res, false
		}
		best = earliestRetry(Result{}, res)
		if !e.mayRetry(ex, res.Outcome) {
			return res, res.Outcome == retry.NotRun && ex.body.replayable()
		}
	}
	return best, true
}

// tryHop sends the request to another instance. The second result is true if the request may be
// tried elsewhere.
func (e *Entry) tryHop(ex *Exchange, row table.Row, hop Hop) (Result, bool) {
	ex.attempts++
	e.config.Fleet.RecordSent(hop.ID, ex.Service.Name)
	a := e.transports.send(ex, hop.Addr, ex.r.URL.EscapedPath(), func(h http.Header) {
		h.Set(protocol.HeaderOriginRegion, e.config.Region)
		h.Set(protocol.HeaderConfig, strconv.FormatInt(ex.plan.Version, 10))
	}, e.config.StallTimeout)
	defer a.close()
	outcome := retry.Classify(a.evidence)
	if outcome == retry.Ran {
		// The response of the other instance may itself state that the outcome is unknown.
		outcome = retry.ParseOutcome(a.resp.Header.Get(protocol.HeaderOutcome))
	}
	switch outcome {
	case retry.Ran:
		if a.latency > 0 {
			e.config.Fleet.RecordAnswered(ex.Service.Name, row.To, a.latency)
		}
		ex.target = a.resp.Header.Get(protocol.HeaderTarget)
		return e.relayResponse(ex, a, func(http.Header) {}), false
	case retry.NotRun:
		res := e.refusalResult(a, "instance "+hop.ID+" in "+row.To)
		e.config.Fleet.RecordDeclined(hop.ID, ex.Service.Name, res.RetryAfter)
		return res, true
	default:
		return e.unknownResult(ex, a)
	}
}

// serveHop is the last stage for requests that other instances forward.
func (e *Entry) serveHop(ex *Exchange) Result {
	if !e.config.Fleet.HallOpen() {
		return notRun(statusRefused, protocol.ReasonUnreachable, "hall is drained", e.jitter(time.Second))
	}
	ex.destination = e.config.Region
	slot, refused := e.acquireSlot(ex, hopQueueTimeout, "")
	if slot == nil {
		return refused
	}
	res, _ := e.tryTargets(ex, slot)
	return res
}

// acquireSlot acquires a slot of a target in the own hall. It returns nil and a refusal if no
// slot becomes free in time.
func (e *Entry) acquireSlot(ex *Exchange, queueTimeout time.Duration, tried string) (*Slot, Result) {
	slot, wait := e.config.Hall.Acquire(ex.r.Context(), ex.Service.Name, balance.Request{
		Deadline:        ex.Deadline,
		QueueTimeout:    queueTimeout,
		FromOtherRegion: ex.OriginRegion != e.config.Region,
		Tried:           tried,
	})
	if slot == nil {
		return nil, notRun(statusRefused, protocol.ReasonCapacity, "every target in reach is busy", wait)
	}
	return slot, Result{}
}

// tryTargets sends the request to the slot's target and, as long as retries are allowed, to
// other targets of the hall. The second result is true if the request may be tried elsewhere,
// because its last attempt certainly did not run and its body can be sent again.
func (e *Entry) tryTargets(ex *Exchange, slot *Slot) (Result, bool) {
	for {
		res, tryNext := e.tryTarget(ex, slot)
		if !tryNext {
			return res, false
		}
		if !e.mayRetry(ex, res.Outcome) {
			return res, res.Outcome == retry.NotRun && ex.body.replayable()
		}
		next, refused := e.acquireSlot(ex, localQueueTimeout, slot.Target.ID)
		if next == nil {
			if res.Outcome == retry.Unknown {
				return res, false
			}
			return refused, true
		}
		slot = next
	}
}

func (e *Entry) tryTarget(ex *Exchange, slot *Slot) (Result, bool) {
	ex.attempts++
	ex.target = slot.Target.ID
	a := e.transports.send(ex, slot.Target.Addr, ex.Path, stripInstanceHeaders, e.config.StallTimeout)
	defer a.close()
	outcome := retry.Classify(a.evidence)
	slot.ApplySelfReport(a.selfReport(outcome))
	switch outcome {
	case retry.Ran:
		res := e.relayResponse(ex, a, func(h http.Header) {
			h.Set(protocol.HeaderOutcome, retry.Ran.String())
			h.Set(protocol.HeaderRegion, e.config.Region)
			h.Set(protocol.HeaderTarget, slot.Target.ID)
		})
		slot.Release(balance.Answered, a.latency)
		return res, false
	case retry.NotRun:
		if a.unreachable() && ex.r.Context().Err() == nil {
			slot.Release(balance.Unreachable, 0)
		} else if a.unreachable() {
			slot.Release(balance.Abandoned, 0)
		} else {
			slot.Release(balance.Refused, a.latency)
		}
		return e.refusalResult(a, "target "+slot.Target.ID), true
	default:
		e.releaseBroken(ex, slot)
		return e.unknownResult(ex, a)
	}
}

// selfReport returns the self-report in a target's response. A retry time in a refusal applies
// to the target. In any other response it is meant for the caller.
func (a *attempt) selfReport(outcome retry.Outcome) availability.SelfReport {
	if a.resp == nil {
		return availability.SelfReport{}
	}
	word := availability.SelfReport{Leaving: a.resp.Header.Get(protocol.HeaderDraining) == protocol.FlagSet}
	if outcome == retry.NotRun {
		word.Backoff = protocol.RetryAfter(a.resp.Header)
	}
	return word
}

// releaseBroken releases the slot of an exchange that broke off. If the caller's side or the
// deadline ended it, the target is not at fault.
func (e *Entry) releaseBroken(ex *Exchange, slot *Slot) {
	if ex.r.Context().Err() != nil || ex.body.readError() != nil || !time.Now().Before(ex.Deadline) {
		slot.Release(balance.Abandoned, 0)
		return
	}
	slot.Release(balance.Broken, 0)
}

// stripInstanceHeaders removes the headers that only instances use.
func stripInstanceHeaders(h http.Header) {
	h.Del(protocol.HeaderOriginRegion)
	h.Del(protocol.HeaderConfig)
}

// relayResponse relays a response to the caller and returns the result.
func (e *Entry) relayResponse(ex *Exchange, a *attempt, setHeaders func(http.Header)) Result {
	complete := relay(ex, a, func(h http.Header) {
		h.Set(protocol.HeaderInstance, e.config.Instance)
		h.Set(protocol.HeaderRequestID, ex.ID)
		setHeaders(h)
	})
	e.recordSuccess()
	return Result{Outcome: retry.Ran, Status: a.resp.StatusCode, ResponseSent: true, Incomplete: !complete}
}

// refusalResult returns the result of an attempt that did not run.
func (e *Entry) refusalResult(a *attempt, peer string) Result {
	if a.resp == nil {
		detail := peer + " can't be reached"
		if a.err != nil {
			detail += ": " + a.err.Error()
		}
		return notRun(statusRefused, protocol.ReasonUnreachable, detail, e.jitter(500*time.Millisecond))
	}
	wait := protocol.RetryAfter(a.resp.Header)
	if wait == 0 {
		wait = e.jitter(200 * time.Millisecond)
	}
	return notRun(statusRefused, protocol.ReasonCapacity, peer+" refused", wait)
}

// unknownResult returns the result of an attempt whose outcome is unknown. The second result is
// true if the request may be retried nevertheless.
func (e *Entry) unknownResult(ex *Exchange, a *attempt) (Result, bool) {
	detail := "the answer was lost"
	if a.err != nil {
		detail += ": " + a.err.Error()
	}
	reason := protocol.ReasonResponseLost
	if !time.Now().Before(ex.Deadline) {
		reason = protocol.ReasonDeadline
	}
	return unknown(reason, detail, e.jitter(time.Second)), !ex.Service.NonIdempotent
}
