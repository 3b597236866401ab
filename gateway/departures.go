package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/peer"
)

const (
	// departureGossipDelay bounds the random delay after which a departure is broadcast.
	// Several instances receive the announcement of a target at about the same time. Because
	// of the random delay the first one broadcasts it, and the others drop it from their own
	// broadcasts. The bound is a tenth of the time within which all instances have to know of
	// a departure.
	departureGossipDelay = 100 * time.Millisecond
	// maxGossipedDepartures bounds the departures in a message, to less than 700 bytes.
	maxGossipedDepartures = 64
)

// departures holds the targets that have announced their planned shutdown themselves. It is safe
// for concurrent use.
type departures struct {
	mu    sync.Mutex
	known availability.Departures
	// unsent are the departures that targets have announced to this instance and that have
	// not been broadcast yet.
	unsent availability.DepartureList
}

// expire drops the departures whose TTL is over.
func (d *departures) expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known.Expire(now)
}

// has reports whether a target has announced its departure.
func (d *departures) has(target string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.known.FirstHeard(availability.IDOf(target))
	return ok
}

// add records a departure that a target has announced to this instance. Fresh reports whether it
// was unknown, and first whether it is the only one that waits to be broadcast.
func (d *departures) add(now time.Time, target string) (fresh, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := availability.IDOf(target)
	if !d.known.Add(now, id) {
		return false, false
	}
	d.unsent = append(d.unsent, availability.Departure{ID: id})
	return true, len(d.unsent) == 1
}

// merge records departures that another instance has sent, and returns those that were unknown.
// They need no broadcast by this instance, since the sender has sent them to the others too.
func (d *departures) merge(now time.Time, received availability.DepartureList) availability.DepartureList {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unsent = slices.DeleteFunc(d.unsent, func(own availability.Departure) bool {
		return slices.ContainsFunc(received, func(other availability.Departure) bool { return other.ID == own.ID })
	})
	return d.known.Merge(now, received)
}

// takeUnsent returns the departures to broadcast, and counts them as sent.
func (d *departures) takeUnsent() availability.DepartureList {
	d.mu.Lock()
	defer d.mu.Unlock()
	unsent := d.unsent
	d.unsent = nil
	return unsent
}

// checksum returns a checksum of the departures, by which instances detect that they do not hold
// the same ones.
func (d *departures) checksum(now time.Time) uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known.Checksum(now)
}

// missing returns departures for an instance whose checksum is sum, or nil if it holds the same
// ones. The salt selects which ones if there are more than fit into a message.
func (d *departures) missing(now time.Time, sum uint32, salt uint64) availability.DepartureList {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known.Checksum(now) == sum {
		return nil
	}
	return d.known.Sample(now, maxGossipedDepartures, salt)
}

// all returns all departures that are still gossiped.
func (d *departures) all(now time.Time) availability.DepartureList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known.Sample(now, d.known.Len(), 0)
}

// recordDeparture records a departure that a target has announced to this instance, and schedules
// its broadcast. The other instances may learn of it from the store only late, or not at all
// while the store is unreachable.
func (g *Gateway) recordDeparture(target string) {
	now := g.clock.Now()
	fresh, first := g.departures.add(now, target)
	if !fresh {
		return
	}
	g.ignoreInterruptions(target)
	if first {
		time.AfterFunc(rand.N(departureGossipDelay), g.gossipDepartures)
	}
}

// gossipDepartures broadcasts the departures that targets have announced to this instance.
func (g *Gateway) gossipDepartures() {
	now := g.clock.Now()
	for batch := range slices.Chunk(g.departures.takeUnsent(), maxGossipedDepartures) {
		g.broadcast(now, peer.Gossip{Departures: batch})
	}
}

// receiveDepartures applies departures that another instance has sent.
func (g *Gateway) receiveDepartures(now time.Time, received availability.DepartureList) {
	if len(received) == 0 {
		return
	}
	fresh := g.departures.merge(now, received)
	for _, target := range g.pools.applyDepartures(now, fresh, availability.SourcePeer) {
		g.ignoreInterruptions(target)
	}
}

// ignoreInterruptions excludes a leaving target from the crash correlation. The connections that
// it closes during its planned shutdown are no sign that a request crashes targets.
func (g *Gateway) ignoreInterruptions(target string) {
	if !g.quarantine.nonEmpty.Load() {
		return
	}
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	g.quarantine.correlator.TargetLeaving(target)
}
