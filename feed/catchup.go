package feed

import (
	"cmp"
	"time"
)

const (
	// askEvery is the shortest time between two questions for a replica: three times the
	// way between the regions of the sites and back, so that an answer has come by then.
	askEvery = 300 * time.Millisecond
	// claimKept is how long an instance counts as ahead after it has said so: six rounds
	// of gossip, in which those of other regions are heard twice.
	claimKept = 3 * time.Second
)

// Source is an instance that says that it is ahead with a replica.
type Source struct {
	Addr string
	// Position is the one that its replica reflects, as it says.
	Position Position
	// After is how long the replica has to be behind before this instance is asked: the
	// usual way may still bring what is missing.
	After time.Duration
}

// Question is what was sent to an instance to get what a replica lacks.
type Question struct {
	To string
	At time.Time
}

// CatchUp decides, for one replica that is behind, when another instance is asked for
// what is missing, and which one. Of those that are ahead the one is asked that was not
// asked for the longest time, whoever speaks up first: an instance that never answers,
// because the connection to it has fallen silent, costs askEvery and not the turn of those
// that would answer. When whoever spoke up first was asked, a change was kept from an
// instance for 3.1 s, where 2.5 s are allowed, with two others that had it; 0.13 s since
// (simulated days in which a region's first watcher comes back after a loss of power).
// CatchUp is not safe for concurrent use; the zero value is ready.
type CatchUp struct {
	// at is the replica's own position, and since is when it was first seen to be behind.
	at    Position
	since time.Time
	// hurry says that the usual way has failed: a delta left a gap, or a question was not
	// answered.
	hurry   bool
	sources map[string]*claim
	last    Question
	open    bool
}

// claim is a source with what has been done about it.
type claim struct {
	Source
	seen, asked time.Time
}

// Ahead takes in that a source is ahead of the replica, which is at a position.
func (c *CatchUp) Ahead(now time.Time, at Position, s Source) {
	c.reach(now, at)
	if !s.Position.After(at) {
		return
	}
	if len(c.sources) == 0 {
		c.since = now
	}
	known := c.sources[s.Addr]
	if known == nil {
		known = &claim{}
		if c.sources == nil {
			c.sources = make(map[string]*claim)
		}
		c.sources[s.Addr] = known
	}
	known.Source, known.seen = s, now
}

// Gap takes in that a delta of a source begins after the replica's position: no other way
// brings what is between, so that there is nothing to wait for.
func (c *CatchUp) Gap(now time.Time, at Position, s Source) {
	c.Ahead(now, at, s)
	c.hurry = c.hurry || len(c.sources) > 0
}

// reach takes in the replica's position, and drops the claims that it has reached or that
// are old.
func (c *CatchUp) reach(now time.Time, at Position) {
	if at != c.at {
		c.at, c.since, c.hurry = at, now, false
	}
	for addr, s := range c.sources {
		if !s.Position.After(at) || now.Sub(s.seen) > claimKept {
			delete(c.sources, addr)
		}
	}
	if len(c.sources) == 0 {
		c.hurry = false
	}
}

// Next returns the instance to ask now for what a replica at a position lacks, if there is
// one. The question counts as asked.
func (c *CatchUp) Next(now time.Time, at Position) (addr string, ok bool) {
	c.reach(now, at)
	if now.Sub(c.last.At) < askEvery {
		return "", false
	}
	if c.open && len(c.sources) > 0 {
		c.hurry = true
	}
	var best *claim
	for _, s := range c.sources {
		if !c.hurry && now.Sub(c.since) < s.After {
			continue
		}
		if best == nil || s.before(best) {
			best = s
		}
	}
	if best == nil {
		return "", false
	}
	best.asked = now
	c.last, c.open = Question{To: best.Addr, At: now}, true
	return best.Addr, true
}

// before tells whether a source is asked before another one: the one that was not asked
// for longer, then the one that is to be asked sooner, then the one heard last.
func (s *claim) before(other *claim) bool {
	order := cmp.Or(s.asked.Compare(other.asked), cmp.Compare(s.After, other.After), other.seen.Compare(s.seen), cmp.Compare(s.Addr, other.Addr))
	return order < 0
}

// Open returns the last question if nothing has come since it was asked.
func (c *CatchUp) Open() (Question, bool) { return c.last, c.open }

// Answered takes in that changes have come from another instance, whichever it is. It
// tells whether a question was open.
func (c *CatchUp) Answered() bool {
	open := c.open
	c.open = false
	return open
}
