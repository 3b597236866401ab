package node

import (
	"slices"
	"time"

	"github.com/rainford/rainford/entry"
	"github.com/rainford/rainford/lookup"
	"github.com/rainford/rainford/member"
	"github.com/rainford/rainford/protocol"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/route"
	"github.com/rainford/rainford/share"
	"github.com/rainford/rainford/table"
)

// drainGracePeriod is the time after the drain of a region during which it still accepts
// requests that no other region accepts.
const drainGracePeriod = 3 * time.Second

// fleetSnapshot is the state of the other instances that requests need. It is rebuilt after
// changes and is immutable.
type fleetSnapshot struct {
	hops map[destination][]entry.Hop
	// hallOpen reports whether the own hall accepts new requests.
	hallOpen bool
}

// rebuildFleet rebuilds the fleet snapshot and the look-up directory.
func (n *Node) rebuildFleet(now time.Time) {
	n.fleetStale = false
	all := n.view.All(now)
	plan := n.plan.Load()
	f := &fleetSnapshot{hops: make(map[destination][]entry.Hop), hallOpen: plan != nil && n.hallOpen(plan, n.self.Hall, now)}
	alive := map[string]string{n.self.ID: n.self.PeerAddr}
	for _, s := range all {
		// A leaving instance of the own hall keeps slots for a while.
		leaving := s.State == member.Leaving && s.Hall == n.self.Hall && now.Sub(s.HeardAt) < n.config.Members.SuspectAfter
		if s.State != member.Live && !leaving {
			continue
		}
		if !leaving {
			alive[s.ID] = s.PeerAddr
		}
		if plan == nil || !s.Ready || !n.hallOpen(plan, s.Hall, now) {
			continue
		}
		for _, l := range s.Loads {
			if l.Limit == 0 {
				continue
			}
			d := destination{l.Service, s.Region}
			f.hops[d] = append(f.hops[d], entry.Hop{
				Peer: route.Peer{ID: s.ID, FreeSlots: l.Free},
				Addr: s.HopAddr,
				Hall: s.Hall,
			})
		}
	}
	n.fleet.Store(f)
	n.claims.setInstances(alive)
	n.updateDirectory(all, plan)
}

// hallOpen reports whether a hall accepts new requests. It does so if the hall is not drained
// and its region is not drained, or has been drained for less than drainGracePeriod.
func (n *Node) hallOpen(plan *table.Plan, hall string, now time.Time) bool {
	region := plan.RegionOf(hall)
	if plan.HallDrained(hall) {
		return false
	}
	return !plan.RegionDrained(region) || now.Sub(n.drainedAt[region]) < drainGracePeriod
}

// directoryInput holds everything that determines the responses to look-ups.
type directoryInput struct {
	plan    *table.Plan
	blocks  *lookup.BlockTable
	entries []directoryEntry
}

// directoryEntry is the state of one instance in a directoryInput.
type directoryEntry struct {
	id    string
	state member.State
	ready bool
}

// equal reports whether two inputs result in the same responses.
func (l *directoryInput) equal(other *directoryInput) bool {
	return other != nil && l.plan == other.plan && l.blocks == other.blocks && slices.Equal(l.entries, other.entries)
}

// updateDirectory rebuilds the look-up directory if its input has changed. The comparison
// avoids rebuilds, because heartbeats are frequent and changes of the listed instances are
// rare.
func (n *Node) updateDirectory(all []member.Status, plan *table.Plan) {
	own := member.Status{Instance: n.self, State: member.Live, Ready: n.ready()}
	if n.leaving {
		own.State = member.Leaving
	}
	all = append(all, own)
	input := &directoryInput{plan: plan, blocks: n.blocks, entries: make([]directoryEntry, len(all))}
	for i, s := range all {
		input.entries[i] = directoryEntry{s.ID, s.State, s.Ready}
	}
	if input.equal(n.directoryInput) {
		return
	}
	halls := map[string]string{n.self.Hall: n.self.Region}
	if plan != nil {
		for _, r := range plan.Table.Regions {
			for _, h := range r.Halls {
				halls[h] = r.Name
			}
		}
	}
	dir, err := lookup.NewDirectory(n.blocks, all, halls, n.self.Hall, n.config.LookupTTL)
	if err != nil {
		n.log.Error("building the look-up directory failed", "error", err.Error())
		return
	}
	n.directoryInput = input
	n.directory.Store(dir)
}

// ready reports whether the instance can serve requests.
func (n *Node) ready() bool {
	return n.plan.Load() != nil && n.targetsOK.Load()
}

// Plan implements entry.Fleet.
func (n *Node) Plan() *table.Plan { return n.plan.Load() }

// HallOpen implements entry.Fleet.
func (n *Node) HallOpen() bool { return n.fleet.Load().hallOpen }

// Candidates implements entry.Fleet.
func (n *Node) Candidates(service string) []route.Candidate {
	plan := n.plan.Load()
	rows := plan.Rows(service, n.self.Region)
	now := time.Now()
	out := make([]route.Candidate, 0, len(rows))
	for _, row := range rows {
		out = append(out, route.Candidate{Row: row, State: n.rowState(plan, row, now)})
	}
	return out
}

func (n *Node) rowState(plan *table.Plan, row table.Row, now time.Time) route.State {
	if plan.RegionDrained(row.To) {
		n.mu.Lock()
		since := n.drainedAt[row.To]
		n.mu.Unlock()
		if now.Sub(since) < drainGracePeriod {
			return route.Draining
		}
		return route.Unavailable
	}
	if row.To == n.self.Region && n.HallOpen() {
		return route.Available
	}
	hops := n.fleet.Load().hops[destination{row.Service, row.To}]
	if len(hops) == 0 {
		return route.Unavailable
	}
	for _, h := range hops {
		if h.FreeSlots > 0 {
			return route.Available
		}
	}
	return route.Full
}

// Hops implements entry.Fleet.
func (n *Node) Hops(region, service string, avoid map[string]bool) (hops []entry.Hop, busy bool) {
	all := n.fleet.Load().hops[destination{service, region}]
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	hops = make([]entry.Hop, 0, len(all))
	for _, h := range all {
		key := instanceService{h.ID, service}
		if avoid[h.ID] {
			continue
		}
		if now.Before(n.declinedUntil[key]) {
			busy = true
			continue
		}
		h.SentSinceReport = n.sentSinceHeartbeat[key]
		hops = append(hops, h)
	}
	return hops, busy
}

// RecordSent implements entry.Fleet.
func (n *Node) RecordSent(instance, service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sentSinceHeartbeat[instanceService{instance, service}]++
}

// Bounds on the time for which an instance that refused a request gets no more requests.
const (
	minDeclineBackoff = 20 * time.Millisecond
	maxDeclineBackoff = time.Second
)

// RecordDeclined implements entry.Fleet.
func (n *Node) RecordDeclined(instance, service string, wait time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	wait = min(max(wait, minDeclineBackoff), maxDeclineBackoff)
	n.declinedUntil[instanceService{instance, service}] = time.Now().Add(wait)
}

// RecordAnswered implements entry.Fleet.
func (n *Node) RecordAnswered(service, region string, latency time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := destination{service, region}
	if n.latencies[d] == nil {
		n.latencies[d] = &route.LatencyTracker{}
	}
	n.latencies[d].Observe(latency)
}

// isWarm reports whether the latency of a region is close to its usual latency.
func (n *Node) isWarm(service, region string) bool {
	w := n.latencies[destination{service, region}]
	return w == nil || w.Warm()
}

// Admit implements entry.Caps.
func (n *Node) Admit(row table.Row) (share.Admission, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	admission := n.ledger.Admit(now, row)
	if admission == share.Admitted {
		if n.config.OnAdmit != nil {
			n.config.OnAdmit(row.Key(), now)
		}
		n.log.Debug("admitted", "row", row.Key().String(), "at_ns", now.UnixNano())
		return admission, 0
	}
	return admission, n.ledger.TimeToUnit(now, row.Key())
}

// Order implements entry.Chooser.
func (n *Node) Order(candidates []route.Candidate) []table.Row {
	n.mu.Lock()
	defer n.mu.Unlock()
	return route.Order(candidates, n.rand)
}

// Pick implements entry.Chooser.
func (n *Node) Pick(peers []route.Peer) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return route.Pick(peers, n.rand)
}

// Jitter implements entry.Chooser. It returns a random time between d and 2d, or 0 if d is not
// positive.
func (n *Node) Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return d + time.Duration(n.rand.Int64N(int64(d)))
}

// Observe implements entry.Observer.
func (n *Node) Observe(service string, outcome retry.Outcome, reason protocol.Reason, latency time.Duration) {
	n.metrics.Request(service, outcome.String(), string(reason), latency)
}
