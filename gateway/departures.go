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
	// departureGossipDelay is the longest time for which departures are collected before all
	// instances are told. Several instances hear of one in the same moment; each waits for
	// a drawn time, and what it is told meanwhile it need not tell. It is a tenth of the
	// time within which all are to know.
	departureGossipDelay = 100 * time.Millisecond
	// maxGossipedDepartures bounds the departures in a message: less than 700 bytes.
	maxGossipedDepartures = 64
)

// departures keep which targets have said themselves that they leave. It is safe for concurrent
// use.
type departures struct {
	mu    sync.Mutex
	known availability.Departures
	// unsent are those heard from targets here of which the others are not told yet.
	unsent availability.DepartureList
}

func (d *departures) expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known.Expire(now)
}

// has tells whether a target has said that it leaves.
func (d *departures) has(target string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.known.FirstHeard(availability.IDOf(target))
	return ok
}

// add takes in that a target has said to this instance that it leaves. It reports whether that
// is new, and whether it is the first of which the others have to be told.
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

// merge takes in what another instance has told, which is known to the others too, and returns
// what is new.
func (d *departures) merge(now time.Time, received availability.DepartureList) availability.DepartureList {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unsent = slices.DeleteFunc(d.unsent, func(own availability.Departure) bool {
		return slices.ContainsFunc(received, func(other availability.Departure) bool { return other.ID == own.ID })
	})
	return d.known.Merge(now, received)
}

// takeUnsent returns what the others are to be told.
func (d *departures) takeUnsent() availability.DepartureList {
	d.mu.Lock()
	defer d.mu.Unlock()
	unsent := d.unsent
	d.unsent = nil
	return unsent
}

// checksum returns a number by which instances see that they do not know the same.
func (d *departures) checksum(now time.Time) uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known.Checksum(now)
}

// missing returns what to tell an instance that does not know the same.
func (d *departures) missing(now time.Time, sum uint32, salt uint64) availability.DepartureList {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known.Checksum(now) == sum {
		return nil
	}
	return d.known.Sample(now, maxGossipedDepartures, salt)
}

// all returns all departures that are told to others.
func (d *departures) all(now time.Time) availability.DepartureList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known.Sample(now, d.known.Len(), 0)
}

// recordDeparture takes in that a target has said to this instance that it leaves, and has all
// instances know: the store may be away, or know of it late.
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

// gossipDepartures tells all instances of the targets that said here that they leave.
func (g *Gateway) gossipDepartures() {
	now := g.clock.Now()
	for batch := range slices.Chunk(g.departures.takeUnsent(), maxGossipedDepartures) {
		g.broadcast(now, peer.Gossip{Departures: batch})
	}
}

// receiveDepartures takes in which targets have said to other instances that they leave.
func (g *Gateway) receiveDepartures(now time.Time, received availability.DepartureList) {
	if len(received) == 0 {
		return
	}
	fresh := g.departures.merge(now, received)
	for _, target := range g.pools.applyDepartures(now, fresh, availability.SourcePeer) {
		g.ignoreInterruptions(target)
	}
}

// ignoreInterruptions takes in that a target leaves: what it breaks off is no sign that requests end
// targets.
func (g *Gateway) ignoreInterruptions(target string) {
	if !g.quarantine.nonEmpty.Load() {
		return
	}
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	g.quarantine.correlator.TargetLeaving(target)
}
