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

// region is the last stage for requests of callers: it tries the rows of the
// table in the order drawn. When none takes the request at once it may wait for
// a slot at home; else it is given up with the nearest time to come back.
func (e *Entry) region(ex *Exchange) Result {
	rows := e.config.Chooser.Order(e.config.Fleet.Candidates(ex.Service.Name))
	best := Result{}
	for _, row := range rows {
		res, again := e.row(ex, row)
		if !again {
			return res
		}
		best = soonest(best, res)
	}
	for _, row := range rows {
		if row.To != e.config.Region || !e.config.Fleet.HallOpen() {
			continue
		}
		ex.rowTo = row.To
		res, again := e.local(ex, row, homeWait)
		if !again {
			return res
		}
		best = soonest(best, res)
	}
	if best.Status == 0 {
		return notRun(fullStatus, protocol.ReasonUnreachable, "no region takes the service now", e.jitter(time.Second))
	}
	return best
}

// row tries to have the request served on one row. Again is true when it
// certainly did not run and another row may be tried.
func (e *Entry) row(ex *Exchange, row table.Row) (res Result, again bool) {
	ex.rowTo = row.To
	best := Result{}
	if row.To == e.config.Region && e.config.Fleet.HallOpen() {
		res, again = e.local(ex, row, localPatience)
		if !again {
			return res, false
		}
		best = res
	}
	if best.Reason == protocol.ReasonCap {
		return best, true
	}
	res, again = e.remote(ex, row)
	if !again {
		return res, false
	}
	return soonest(best, res), true
}

// local serves the request at a target of the own hall.
func (e *Entry) local(ex *Exchange, row table.Row, patience time.Duration) (Result, bool) {
	slot, refused := e.slot(ex, patience, "")
	if slot == nil {
		return refused, true
	}
	if res, ok := e.admit(row); !ok {
		slot.Release(balance.Abandoned, 0)
		return res, true
	}
	return e.toTarget(ex, slot)
}

// admit asks for a unit of the row's cap.
func (e *Entry) admit(row table.Row) (Result, bool) {
	admission, wait := e.config.Caps.Admit(row)
	if admission == share.Admitted {
		return Result{}, true
	}
	detail := "the cap of " + row.Key().String() + " is used up"
	if admission == share.RampLimited {
		detail = "the shift on " + row.Key().String() + " is still ramping"
	}
	return notRun(fullStatus, protocol.ReasonCap, detail, e.jitter(max(wait, 50*time.Millisecond))), false
}

// remote serves the request through an instance that is near the row's
// targets.
func (e *Entry) remote(ex *Exchange, row table.Row) (Result, bool) {
	best := notRun(fullStatus, protocol.ReasonUnreachable, "no instance in "+row.To+" takes the service now", e.jitter(time.Second))
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
			return notRun(fullStatus, protocol.ReasonCapacity, "every instance in "+row.To+" is busy", e.jitter(200*time.Millisecond)), true
		}
		if i < 0 {
			break
		}
		if !admitted {
			// One request takes one unit, however many instances it is
			// offered to.
			if res, ok := e.admit(row); !ok {
				return res, true
			}
			admitted = true
		}
		tried[hops[i].ID] = true
		res, again := e.toHop(ex, row, hops[i])
		if !again {
			return res, false
		}
		best = soonest(Result{}, res)
		if !e.mayRetry(ex, res.Outcome) {
			return res, res.Outcome == retry.NotRun && ex.body.replayable()
		}
	}
	return best, true
}

// toHop sends the request to another instance. Again is true when the request
// may be tried elsewhere.
func (e *Entry) toHop(ex *Exchange, row table.Row, hop Hop) (Result, bool) {
	ex.tries++
	e.config.Fleet.RecordSent(hop.ID, ex.Service.Name)
	a := e.transports.send(ex, hop.Addr, ex.r.URL.EscapedPath(), func(h http.Header) {
		h.Set(protocol.HeaderFrom, e.config.Region)
		h.Set(protocol.HeaderConfig, strconv.FormatInt(ex.plan.Version, 10))
	}, e.config.StallTimeout)
	defer a.close()
	outcome := retry.Classify(a.evidence)
	if outcome == retry.Ran {
		// The other instance may say itself that it does not know.
		outcome = retry.ParseOutcome(a.resp.Header.Get(protocol.HeaderOutcome))
	}
	switch outcome {
	case retry.Ran:
		if a.latency > 0 {
			e.config.Fleet.RecordAnswered(ex.Service.Name, row.To, a.latency)
		}
		ex.target = a.resp.Header.Get(protocol.HeaderTarget)
		return e.pass(ex, a, func(http.Header) {}), false
	case retry.NotRun:
		res := e.declined(a, "instance "+hop.ID+" in "+row.To)
		e.config.Fleet.RecordDeclined(hop.ID, ex.Service.Name, res.RetryAfter)
		return res, true
	default:
		return e.lost(ex, a)
	}
}

// ownHall is the last stage for requests of other instances.
func (e *Entry) ownHall(ex *Exchange) Result {
	if !e.config.Fleet.HallOpen() {
		return notRun(fullStatus, protocol.ReasonUnreachable, "hall is drained", e.jitter(time.Second))
	}
	ex.rowTo = e.config.Region
	slot, refused := e.slot(ex, hopPatience, "")
	if slot == nil {
		return refused
	}
	res, _ := e.toTarget(ex, slot)
	return res
}

// slot takes a slot of a target of the own hall.
func (e *Entry) slot(ex *Exchange, patience time.Duration, avoid string) (*Slot, Result) {
	slot, wait := e.config.Hall.Acquire(ex.r.Context(), ex.Service.Name, balance.Request{
		Deadline:        ex.Deadline,
		QueueTimeout:    patience,
		FromOtherRegion: ex.OriginRegion != e.config.Region,
		Tried:           avoid,
	})
	if slot == nil {
		return nil, notRun(fullStatus, protocol.ReasonCapacity, "every target in reach is busy", wait)
	}
	return slot, Result{}
}

// toTarget sends the request to the slot's target, and to others of the hall
// while it is refused. Again is true when it certainly did not run and its
// body can be sent again.
func (e *Entry) toTarget(ex *Exchange, slot *Slot) (Result, bool) {
	for {
		res, again := e.tryTarget(ex, slot)
		if !again {
			return res, false
		}
		if !e.mayRetry(ex, res.Outcome) {
			return res, res.Outcome == retry.NotRun && ex.body.replayable()
		}
		next, refused := e.slot(ex, localPatience, slot.Target.ID)
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
	ex.tries++
	ex.target = slot.Target.ID
	a := e.transports.send(ex, slot.Target.Addr, ex.Path, stripOwn, e.config.StallTimeout)
	defer a.close()
	outcome := retry.Classify(a.evidence)
	slot.ApplySelfReport(a.word(outcome))
	switch outcome {
	case retry.Ran:
		res := e.pass(ex, a, func(h http.Header) {
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
		return e.declined(a, "target "+slot.Target.ID), true
	default:
		e.releaseBroken(ex, slot)
		return e.lost(ex, a)
	}
}

// word returns what a target said of itself in its answer. The time after which to come back
// counts for the target only in a refusal: else it is for the caller.
func (a *attempt) word(outcome retry.Outcome) availability.SelfReport {
	if a.resp == nil {
		return availability.SelfReport{}
	}
	word := availability.SelfReport{Leaving: a.resp.Header.Get(protocol.HeaderDraining) == protocol.HeaderSet}
	if outcome == retry.NotRun {
		word.Backoff = protocol.RetryAfter(a.resp.Header)
	}
	return word
}

// releaseBroken gives back the slot of an exchange that broke. When the
// caller's side broke it the target is not to blame.
func (e *Entry) releaseBroken(ex *Exchange, slot *Slot) {
	if ex.r.Context().Err() != nil || ex.body.failed() != nil || !time.Now().Before(ex.Deadline) {
		slot.Release(balance.Abandoned, 0)
		return
	}
	slot.Release(balance.Broken, 0)
}

// stripOwn removes the headers that only instances use.
func stripOwn(h http.Header) {
	h.Del(protocol.HeaderFrom)
	h.Del(protocol.HeaderConfig)
}

// pass relays an answer.
func (e *Entry) pass(ex *Exchange, a *attempt, mark func(http.Header)) Result {
	whole := relay(ex, a, func(h http.Header) {
		h.Set(protocol.HeaderInstance, e.config.Instance)
		h.Set(protocol.HeaderRequestID, ex.ID)
		mark(h)
	})
	e.succeeded()
	return Result{Outcome: retry.Ran, Status: a.resp.StatusCode, ResponseSent: true, Incomplete: !whole}
}

// declined is the result of an attempt that did not run.
func (e *Entry) declined(a *attempt, who string) Result {
	if a.resp == nil {
		detail := who + " can't be reached"
		if a.err != nil {
			detail += ": " + a.err.Error()
		}
		return notRun(fullStatus, protocol.ReasonUnreachable, detail, e.jitter(500*time.Millisecond))
	}
	wait := protocol.RetryAfter(a.resp.Header)
	if wait == 0 {
		wait = e.jitter(200 * time.Millisecond)
	}
	return notRun(fullStatus, protocol.ReasonCapacity, who+" refused", wait)
}

// lost is the result of an attempt whose end is not known.
func (e *Entry) lost(ex *Exchange, a *attempt) (Result, bool) {
	detail := "the answer was lost"
	if a.err != nil {
		detail += ": " + a.err.Error()
	}
	reason := protocol.ReasonLost
	if !time.Now().Before(ex.Deadline) {
		reason = protocol.ReasonDeadline
	}
	return unknown(reason, detail, e.jitter(time.Second)), !ex.Service.NonIdempotent
}
