package share_test

import (
	"encoding/json"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/seat"
	"github.com/rainford/rainford/share"
)

// step runs one step of an instance. Half of the time, requests come first, as after
// the pause of a process.
func (w *simulation) step(n *modelNode) {
	early := w.chance(0.5)
	if early {
		w.arrivals(n)
	}
	if !w.now.Before(n.nextHeartbeat) {
		n.nextHeartbeat = w.now.Add(modelHeartbeat)
		w.heartbeat(n)
	}
	if !w.now.Before(n.nextPoll) {
		n.nextPoll = w.now.Add(w.between(50*time.Millisecond, 300*time.Millisecond))
		w.poll(n)
	}
	if !early {
		w.arrivals(n)
	}
}

func (w *simulation) arrivals(n *modelNode) {
	arrivals := 0
	for w.chance(0.3 * n.load) {
		arrivals++
	}
	row := w.plans[n.plan].Table.Rows[0]
	for range arrivals {
		w.wanted++
		if n.ledger.Admit(n.local(w.now), row) == share.Admitted {
			w.served++
			w.uses = append(w.uses, w.now)
			w.bounds = append(w.bounds, w.highestCap())
		}
	}
}

func (w *simulation) highestCap() int {
	highest := 0
	for _, n := range w.nodes {
		highest = max(highest, w.plans[n.plan].Table.Rows[0].Cap)
	}
	return highest
}

func (w *simulation) heartbeat(n *modelNode) {
	local := n.local(w.now)
	n.agent.BeginRound(local)
	n.agent.Tick(local, n.ledger.LastLoanEnd())
	w.updateSeats(n)
	for _, peer := range w.nodes {
		if peer == n || peer.hall != n.hall {
			continue
		}
		heartbeat := n.agent.Heartbeat(local, peer.id)
		w.send(n, peer, func(now time.Time) {
			peer.agent.HandleHeartbeat(peer.local(now), n.id, heartbeat)
			w.updateSeats(peer)
		})
	}
	w.requestLoans(n)
	if write := n.agent.Propose(local); write != nil {
		w.write(n, write)
	}
}

func (w *simulation) updateSeats(n *modelNode) {
	n.ledger.SetSeats(n.agent.Held(n.local(w.now)), n.agent.LeaseEnd())
}

func (w *simulation) requestLoans(n *modelNode) {
	for _, request := range n.ledger.LoanRequests(n.local(w.now), 2) {
		lender := w.nodes[w.rnd.IntN(len(w.nodes))]
		if lender == n {
			continue
		}
		w.send(n, lender, func(now time.Time) {
			loan, ok := lender.ledger.Lend(lender.local(now), request)
			if !ok {
				return
			}
			w.send(lender, n, func(now time.Time) { n.ledger.Receive(n.local(now), loan) })
		})
	}
}

// write writes the roster. The write may arrive late, and its reply may be lost.
func (w *simulation) write(n *modelNode, write *seat.Write) {
	raw, err := json.Marshal(write.Roster)
	require.NoError(w.t, err)
	if w.unreachable(n) {
		n.agent.WriteFailed(write)
		return
	}
	lost := w.chance(0.1)
	arrive := w.now.Add(w.between(time.Millisecond, 20*time.Millisecond))
	if lost && w.chance(0.5) {
		arrive = w.now.Add(w.between(time.Second, 20*time.Second))
	}
	w.messages = append(w.messages, modelMessage{at: arrive, do: func(now time.Time) {
		accepted, version := w.put(n.hall, write.Version, raw)
		if lost {
			return
		}
		w.messages = append(w.messages, modelMessage{at: now.Add(5 * time.Millisecond), to: n, do: func(now time.Time) {
			if accepted {
				n.agent.ObserveRoster(n.local(now), write.Roster, version)
			} else {
				n.agent.WriteFailed(write)
			}
			w.updateSeats(n)
		}})
	}})
	if lost {
		w.messages = append(w.messages, modelMessage{at: w.now.Add(3 * time.Second), to: n, do: func(time.Time) {
			n.agent.WriteUncertain(write)
		}})
	}
}

func (w *simulation) unreachable(n *modelNode) bool {
	return w.platformDown || w.now.Before(n.platformCutUntil)
}

func (w *simulation) put(hall string, version int64, raw []byte) (bool, int64) {
	obj := w.rosters[hall]
	if obj == nil {
		obj = &modelObject{}
		w.rosters[hall] = obj
	}
	if obj.version != version {
		return false, 0
	}
	obj.version++
	obj.raw = raw
	return true, obj.version
}

// poll reads the roster and the table. The table may be outdated.
func (w *simulation) poll(n *modelNode) {
	if w.unreachable(n) {
		return
	}
	if n.plan < w.latestPlan && w.chance(0.3) {
		n.plan = w.latestPlan
		n.ledger.SetPlan(w.plans[n.plan])
	}
	obj := w.rosters[n.hall]
	if obj == nil || obj.version == 0 {
		n.agent.ObserveNoRoster()
		return
	}
	version := obj.version
	if version <= n.agent.Version() {
		return
	}
	var roster seat.Roster
	require.NoError(w.t, json.Unmarshal(obj.raw, &roster))
	w.messages = append(w.messages, modelMessage{at: w.now.Add(w.between(0, 30*time.Millisecond)), to: n, do: func(now time.Time) {
		n.agent.ObserveRoster(n.local(now), &roster, version)
		w.updateSeats(n)
	}})
}
