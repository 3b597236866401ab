package feed

import (
	"cmp"
	"math"
	"time"
)

const (
	// requestInterval is the minimum time between two requests for a replica. It is three
	// times the round-trip time between regions, so that a reply has normally arrived by
	// then.
	requestInterval = 300 * time.Millisecond
	// sourceTTL is how long the position that a source has announced remains valid. It
	// spans six rounds of gossip, in which an instance of another region announces its
	// position twice.
	sourceTTL = 3 * time.Second
	// maxUnanswered is the number of requests without a reply after which other instances are not
	// relied on. With requestInterval they take less than half of the time in which a change of a
	// configuration has to be in force.
	maxUnanswered = 3
)

// Source is an instance that has announced a later position than that of the local replica.
type Source struct {
	// Addr is the peer address of the instance.
	Addr string
	// Position is the announced position of its replica.
	Position Position
	// Delay is how long the replica has to be behind before this source is asked. The
	// regular distribution may still deliver the missing changes within that time.
	Delay time.Duration
}

// Request is a request for missing changes that was sent to the instance with the address
// To.
type Request struct {
	To     string
	SentAt time.Time
}

// CatchUp decides, for one replica that is behind, when to request the missing changes and
// from which source. It chooses the source that was not asked for the longest time. A
// source that never replies, for example because the connection to it silently drops
// packets, therefore delays the catch-up by requestInterval only. Asking the source that
// announces itself first instead can choose an unresponsive source again and again: it
// delayed a change by 3.1 s, where 2.5 s are allowed, although two other sources had it.
//
// CatchUp is not safe for concurrent use. The zero value is ready to use.
type CatchUp struct {
	// position is the position of the replica, and behindSince is when the replica was
	// first known to be behind.
	position    Position
	behindSince time.Time
	// skipDelays is set once the regular distribution has failed, because a delta left a
	// gap or a request was not answered. Sources are then asked without their delay.
	skipDelays bool
	// sources holds the sources that are ahead of the replica, by address.
	sources map[string]*candidate
	// last is the last request. It is pending until changes arrive.
	last    Request
	pending bool
	// unanswered is the number of requests since the replica's last progress that had no reply when the
	// next one was sent.
	unanswered int
}

// candidate is a source, with the times of its last announcement and of the last request to
// it.
type candidate struct {
	Source
	announcedAt, askedAt time.Time
}

// AddSource records that source s is ahead of the replica, whose position is at. It ignores
// a source that is not.
func (c *CatchUp) AddSource(now time.Time, at Position, s Source) {
	c.prune(now, at)
	if !s.Position.After(at) {
		return
	}
	if len(c.sources) == 0 {
		c.behindSince = now
	}
	known := c.sources[s.Addr]
	if known == nil {
		known = &candidate{}
		if c.sources == nil {
			c.sources = make(map[string]*candidate)
		}
		c.sources[s.Addr] = known
	}
	known.Source, known.announcedAt = s, now
}

// AddSourceAfterGap is AddSource for a source whose delta begins after the replica's
// position. The regular distribution does not deliver the changes in between any more, so
// the sources are asked without their delay.
func (c *CatchUp) AddSourceAfterGap(now time.Time, at Position, s Source) {
	c.AddSource(now, at, s)
	c.skipDelays = c.skipDelays || len(c.sources) > 0
}

// prune records the replica's position. It drops sources that are no longer ahead or whose
// announcement has expired.
func (c *CatchUp) prune(now time.Time, at Position) {
	if at != c.position {
		c.position, c.behindSince, c.skipDelays, c.unanswered = at, now, false, 0
	}
	for addr, s := range c.sources {
		if !s.Position.After(at) || now.Sub(s.announcedAt) > sourceTTL {
			delete(c.sources, addr)
		}
	}
	if len(c.sources) == 0 {
		c.skipDelays, c.unanswered = false, 0
	}
}

// NextRequest returns the address of the instance from which a replica at position at
// should request the missing changes now. It returns false if nothing is to be requested
// yet. Otherwise it records the request as sent.
func (c *CatchUp) NextRequest(now time.Time, at Position) (addr string, ok bool) {
	c.prune(now, at)
	if now.Sub(c.last.SentAt) < requestInterval {
		return "", false
	}
	if c.pending && len(c.sources) > 0 {
		c.skipDelays = true
	}
	var best *candidate
	for _, s := range c.sources {
		if !c.skipDelays && now.Sub(c.behindSince) < s.Delay {
			continue
		}
		if best == nil || s.precedes(best) {
			best = s
		}
	}
	if best == nil {
		return "", false
	}
	best.askedAt = now
	if c.pending {
		c.unanswered++
	}
	c.last, c.pending = Request{To: best.Addr, SentAt: now}, true
	return best.Addr, true
}

// Continue records that a part of the missing changes has arrived from an instance, and that the next part
// was requested there.
func (c *CatchUp) Continue(now time.Time, addr string) {
	c.last, c.pending, c.unanswered = Request{To: addr, SentAt: now}, true, 0
}

// IsStuck reports whether other instances have not replied to several requests in a row. The store has to be
// read then.
func (c *CatchUp) IsStuck() bool { return c.unanswered >= maxUnanswered }

// NextDue returns how long it is until a request may be sent, given the sources that are known now. It returns
// false if the replica is not known to be behind.
func (c *CatchUp) NextDue(now time.Time, at Position) (wait time.Duration, behind bool) {
	c.prune(now, at)
	if len(c.sources) == 0 {
		return 0, false
	}
	first := time.Duration(math.MaxInt64)
	for _, s := range c.sources {
		first = min(first, s.Delay)
	}
	if c.skipDelays || c.pending {
		first = 0
	}
	first -= now.Sub(c.behindSince)
	return max(0, first, requestInterval-now.Sub(c.last.SentAt)), true
}

// precedes reports whether s is asked before other. The source that was not asked for
// longer comes first, then the one with the shorter delay, then the one that announced its
// position last.
func (s *candidate) precedes(other *candidate) bool {
	order := cmp.Or(s.askedAt.Compare(other.askedAt), cmp.Compare(s.Delay, other.Delay), other.announcedAt.Compare(s.announcedAt), cmp.Compare(s.Addr, other.Addr))
	return order < 0
}

// Pending returns the last request, and whether no changes have arrived since it was sent.
func (c *CatchUp) Pending() (Request, bool) { return c.last, c.pending }

// BehindFor returns how long a replica at position at has been known to be behind.
func (c *CatchUp) BehindFor(now time.Time, at Position) time.Duration {
	c.prune(now, at)
	if len(c.sources) == 0 {
		return 0
	}
	return now.Sub(c.behindSince)
}

// Received records that changes have arrived from any instance. It reports whether a
// request was pending.
func (c *CatchUp) Received() bool {
	open := c.pending
	c.pending = false
	return open
}
