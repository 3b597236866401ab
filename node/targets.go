package node

import (
	"encoding/json"
	"hash/fnv"
	"time"

	"github.com/rainford/rainford/balance"
	"github.com/rainford/rainford/seat"
	"github.com/rainford/rainford/share"
	"github.com/rainford/rainford/table"
)

// updateSeats applies the seats that the instance holds to the caps and to the slots of the
// targets.
func (n *Node) updateSeats(now time.Time) {
	n.ledger.SetSeats(n.agent.Held(now), n.agent.LeaseEnd())
	n.setTargets()
}

// setTargets sets the targets of the hall's pools, with this instance's share of their slots.
//
// The share is derived from Agent.SlotSeats, whose rule is weaker than that for caps, so that a
// hall that is partitioned from the store continues to serve requests.
func (n *Node) setTargets() {
	plan := n.plan.Load()
	obj, ok := n.objects.byKey[TargetPrefix+n.self.Hall]
	if plan == nil || !ok || len(obj.Value) == 0 {
		return
	}
	var list TargetList
	err := json.Unmarshal(obj.Value, &list)
	if err != nil {
		n.log.Error("invalid target list ignored", "error", err.Error())
		return
	}
	n.hall.SetTargets(time.Now(), specsOf(list.Targets, plan, n.agent.SlotSeats(time.Now())), reservesOf(plan))
	n.targetsOK.Store(true)
}

// specsOf returns the targets that accept new requests, by service, with the slots that belong
// to the given seats.
func specsOf(targets []Target, plan *table.Plan, seats []int) map[string][]balance.Spec {
	out := make(map[string][]balance.Spec)
	for _, t := range targets {
		if t.Leaving || plan.TargetDrained(t.ID) {
			continue
		}
		slots := 0
		for _, s := range seats {
			slots += share.Split(t.Slots, seat.Count, s, splitOffset(t.ID))
		}
		out[t.Service] = append(out[t.Service], balance.Spec{ID: t.ID, Addr: t.Addr, Slots: slots})
	}
	return out
}

func splitOffset(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() >> 1)
}

func reservesOf(plan *table.Plan) map[string]int {
	out := make(map[string]int, len(plan.Table.Services))
	for _, s := range plan.Table.Services {
		out[s.Name] = s.Reserve
	}
	return out
}
