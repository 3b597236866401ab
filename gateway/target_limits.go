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
	// limitGossipDelay is the longest time for which limits that targets name are collected before
	// all instances are told: a twentieth of the time within which all are to keep them.
	limitGossipDelay = 100 * time.Millisecond
	// maxGossipedLimits bounds the limits in a message: less than 1.2 kB.
	maxGossipedLimits = 64
)

// targetLimits keep how much targets take from all instances together, by their own words. It is safe
// for concurrent use.
type targetLimits struct {
	// nonEmpty says that a limit is known, or one that ended a moment ago.
	nonEmpty atomic.Bool

	mu    sync.Mutex
	known availability.RateLimits
	// unsent are the targets of which the others are to be told.
	unsent []availability.ID
}

// updateNonEmpty notes that something may have changed. The caller holds mu.
func (l *targetLimits) updateNonEmpty() { l.nonEmpty.Store(l.known.Len() > 0) }

// observe takes in what a target said in an answer to a request that was sent at a time. It returns
// what is new, and whether that is the first of which the others have to be told.
func (l *targetLimits) observe(now, sentAt time.Time, id availability.ID, r upstream.Result) (fresh availability.RateLimitList, first bool) {
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

// announcesNoLimit tells whether an answer shows that its target names no limit: a whole one without a
// word of it. A value that can't be read is neither a limit nor its end.
func announcesNoLimit(r upstream.Result) bool {
	whole := r.Outcome == upstream.Answered || r.Outcome == upstream.Rejected
	return whole && !r.SelfReport.IsMalformed(availability.FieldRateLimit)
}

// merge takes in what another instance has told, and returns what is new.
func (l *targetLimits) merge(now time.Time, told availability.RateLimitList) availability.RateLimitList {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.updateNonEmpty()
	return l.known.Merge(now, told)
}

// takeUnsent returns what the others are to be told.
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

// get returns the limit of a target in requests a second, false if it has none.
func (l *targetLimits) get(id availability.ID) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, ok := l.known.Get(id)
	return limit.PerSecond, ok
}

// update returns what is known of a target's limit for others.
func (l *targetLimits) update(now time.Time, id availability.ID) availability.RateLimitList {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Update(now, id)
}

// checksum returns a number by which instances see that they do not know the same.
func (l *targetLimits) checksum(now time.Time) uint32 {
	if !l.nonEmpty.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Checksum(now)
}

// missing returns what to tell an instance that does not know the same.
func (l *targetLimits) missing(now time.Time, sum uint32, salt uint64) availability.RateLimitList {
	if !l.nonEmpty.Load() || l.checksum(now) == sum {
		return nil
	}
	return l.sample(now, maxGossipedLimits, salt)
}

// all returns all limits that are told to others.
func (l *targetLimits) all(now time.Time) availability.RateLimitList {
	return l.sample(now, math.MaxInt, 0)
}

// sample returns at most n of the limits that are told to others, drawn by a salt.
func (l *targetLimits) sample(now time.Time, n int, salt uint64) availability.RateLimitList {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Sample(now, n, salt)
}

// expire forgets what is no longer remembered, and returns the limits that ended by that.
func (l *targetLimits) expire(now time.Time) availability.RateLimitList {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.updateNonEmpty()
	var ended availability.RateLimitList
	for _, id := range l.known.Expire(now) {
		ended = append(ended, availability.RateLimit{ID: id, Removed: true})
	}
	return ended
}

// observeLimit takes in what a target said in an answer of how much it takes, and has all instances
// know.
func (g *Gateway) observeLimit(d upstream.Decision, a forward.Attempt) {
	if !a.TargetResult.SelfReport.HasLimit && !g.targetLimits.nonEmpty.Load() {
		return
	}
	now := g.clock.Now()
	fresh, first := g.targetLimits.observe(now, d.SendState.GrantedAt, availability.IDOf(d.Target.ID), a.TargetResult)
	g.applyLimits(now, fresh, availability.SourceTarget)
	if first {
		time.AfterFunc(rand.N(limitGossipDelay), g.gossipLimits)
	}
}

// gossipLimits tells all instances what was found out here of targets' limits.
func (g *Gateway) gossipLimits() {
	now := g.clock.Now()
	for told := range slices.Chunk(g.targetLimits.takeUnsent(now), maxGossipedLimits) {
		g.broadcast(now, peer.Gossip{Limits: told})
	}
}

// receiveLimits takes in what other instances have found out.
func (g *Gateway) receiveLimits(now time.Time, told availability.RateLimitList) {
	if len(told) == 0 {
		return
	}
	g.applyLimits(now, g.targetLimits.merge(now, told), availability.SourcePeer)
}

// applyLimits puts limits in force.
func (g *Gateway) applyLimits(now time.Time, fresh availability.RateLimitList, source availability.Source) {
	if len(fresh) == 0 {
		return
	}
	g.logLimits(g.pools.applyRateLimits(now, fresh, source), source)
}

// logLimits logs targets whose limits have changed, many in one line.
func (g *Gateway) logLimits(changed []string, source availability.Source) {
	limited := 0
	for _, target := range changed {
		perSecond, is := g.targetLimits.get(availability.IDOf(target))
		if is {
			limited++
		}
		if len(changed) <= maxTargetEventLines {
			g.log.Info(logTargetLimit, "target", target, "limited", is, "limit_per_s", perSecond, "source", source)
		}
	}
	if len(changed) > maxTargetEventLines {
		g.log.Info(logTargetLimits, "changes", len(changed), "limited", limited, "source", source)
	}
}

// expireLimits forgets limits that nobody has heard of for long.
func (g *Gateway) expireLimits(now time.Time) {
	if g.targetLimits.nonEmpty.Load() {
		g.applyLimits(now, g.targetLimits.expire(now), availability.SourceLocal)
	}
}
