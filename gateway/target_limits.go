package gateway

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/upstream"
)

const (
	// limitGossipDelay is the longest time for which newly announced limits are collected before
	// they are sent to all instances. It is a twentieth of the time within which all instances have
	// to keep them.
	limitGossipDelay = 100 * time.Millisecond
	// maxGossipedLimits bounds the limits in a message to less than 1.2 kB.
	maxGossipedLimits = 64
)

// targetLimits holds the rate limits that targets announce for the requests of all instances
// together. It is safe for concurrent use.
type targetLimits struct {
	// nonEmpty is true if a limit is known or was withdrawn recently.
	nonEmpty atomic.Bool

	mu    sync.Mutex
	known availability.RateLimits
	// unsent are the targets whose limits have to be sent to the other instances.
	unsent []availability.ID
}

// updateNonEmpty recomputes nonEmpty. The caller holds mu.
func (l *targetLimits) updateNonEmpty() { l.nonEmpty.Store(l.known.Len() > 0) }

// observe records what a target's response to a request sent at sentAt shows about its limit. It
// returns the changed limit, and whether it is the first one that waits to be sent to the other
// instances.
func (l *targetLimits) observe(now, sentAt time.Time, id availability.ID, r upstream.Result) (changedLimits availability.RateLimitList, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.updateNonEmpty()
	var changed bool
	switch {
	case r.SelfReport.HasLimit:
		changed = l.known.Observe(now, sentAt, id, r.SelfReport.RateLimit)
	case announcesNoLimit(r):
		changed = l.known.ObserveNone(now, sentAt, id)
	}
	if !changed {
		return nil, false
	}
	first = len(l.unsent) == 0
	if !slices.Contains(l.unsent, id) {
		l.unsent = append(l.unsent, id)
	}
	return l.known.Update(now, id), first
}

// announcesNoLimit reports whether a response that announces no limit shows that its target has
// none. The response has to be complete. A malformed value neither announces nor withdraws a limit.
func announcesNoLimit(r upstream.Result) bool {
	complete := r.Outcome == upstream.Answered || r.Outcome == upstream.Rejected
	return complete && !r.SelfReport.IsMalformed(availability.FieldRateLimit)
}

// merge merges the limits that another instance has sent, and returns those that have changed.
func (l *targetLimits) merge(now time.Time, limits availability.RateLimitList) availability.RateLimitList {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.updateNonEmpty()
	return l.known.Merge(now, limits)
}

// takeUnsent returns the limits that have to be sent to the other instances, and marks them as
// sent.
func (l *targetLimits) takeUnsent(now time.Time) availability.RateLimitList {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out availability.RateLimitList
	for _, id := range l.unsent {
		out = append(out, l.known.Update(now, id)...)
	}
	l.unsent = nil
	return out
}

// get returns the limit of a target in requests per second, false if it has none.
func (l *targetLimits) get(id availability.ID) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, ok := l.known.Get(id)
	return limit.PerSecond, ok
}

// update returns the record of a target's limit for other instances.
func (l *targetLimits) update(now time.Time, id availability.ID) availability.RateLimitList {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Update(now, id)
}

// checksum returns a checksum by which instances detect that their limits differ.
func (l *targetLimits) checksum(now time.Time) uint32 {
	if !l.nonEmpty.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Checksum(now)
}

// missing returns limits for an instance whose checksum differs, nil if it does not or
// if this instance knows no limits.
func (l *targetLimits) missing(now time.Time, sum uint32, salt uint64) availability.RateLimitList {
	if !l.nonEmpty.Load() || l.checksum(now) == sum {
		return nil
	}
	return l.sample(now, maxGossipedLimits, salt)
}

// all returns all limits that are gossiped.
func (l *targetLimits) all(now time.Time) availability.RateLimitList {
	return l.sample(now, math.MaxInt, 0)
}

// sample returns a random sample of at most n of the limits that are gossiped. The salt determines
// the sample.
func (l *targetLimits) sample(now time.Time, n int, salt uint64) availability.RateLimitList {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Sample(now, n, salt)
}

// expire drops limits that are past their retention, and returns their removals.
func (l *targetLimits) expire(now time.Time) availability.RateLimitList {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.updateNonEmpty()
	var removals availability.RateLimitList
	for _, id := range l.known.Expire(now) {
		removals = append(removals, availability.RateLimit{ID: id, Removed: true})
	}
	return removals
}

// observeLimit records what a response shows about its target's limit, and schedules gossip if the
// limit has changed.
func (g *Gateway) observeLimit(d upstream.Decision, a forward.Attempt) {
	if !a.TargetResult.SelfReport.HasLimit && !g.targetLimits.nonEmpty.Load() {
		return
	}
	now := g.clock.Now()
	changedLimits, first := g.targetLimits.observe(now, d.SendState.GrantedAt, availability.IDOf(d.Target.ID), a.TargetResult)
	g.applyLimits(now, changedLimits, availability.SourceTarget)
	if first {
		time.AfterFunc(rand.N(limitGossipDelay), g.gossipLimits)
	}
}

// gossipLimits sends the changed limits that this instance has observed to all instances.
func (g *Gateway) gossipLimits() {
	now := g.clock.Now()
	for limits := range slices.Chunk(g.targetLimits.takeUnsent(now), maxGossipedLimits) {
		g.broadcast(now, peer.Gossip{Limits: limits})
	}
}

// receiveLimits applies the limits that another instance has sent.
func (g *Gateway) receiveLimits(now time.Time, limits availability.RateLimitList) {
	if len(limits) == 0 {
		return
	}
	g.applyLimits(now, g.targetLimits.merge(now, limits), availability.SourcePeer)
}

// applyLimits applies changed limits to the pools.
func (g *Gateway) applyLimits(now time.Time, changedLimits availability.RateLimitList, source availability.Source) {
	if len(changedLimits) == 0 {
		return
	}
	g.logLimits(g.pools.applyRateLimits(now, changedLimits, source), source)
}

// logLimits logs the targets whose limits have changed. Many changes are logged in one line.
func (g *Gateway) logLimits(changed []string, source availability.Source) {
	limited := 0
	for _, target := range changed {
		perSecond, hasLimit := g.targetLimits.get(availability.IDOf(target))
		if hasLimit {
			limited++
		}
		if len(changed) <= maxTargetEventLines {
			g.log.Info(logTargetLimit, "target", target, "limited", hasLimit, "limit_per_s", perSecond, "source", source)
		}
	}
	if len(changed) > maxTargetEventLines {
		g.log.Info(logTargetLimits, "changes", len(changed), "limited", limited, "source", source)
	}
}

// expireLimits removes the limits that are past their retention.
func (g *Gateway) expireLimits(now time.Time) {
	if g.targetLimits.nonEmpty.Load() {
		g.applyLimits(now, g.targetLimits.expire(now), availability.SourceLocal)
	}
}
