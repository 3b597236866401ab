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

// updateSeats takes the seats held now into the caps and the targets' slots.
func (n *Node) updateSeats(now time.Time) {
	n.ledger.SetSeats(n.agent.Held(now), n.agent.LeaseEnd())
	n.setTargets()
}

// setTargets gives the hall's pools their targets with this instance's share
// of the slots.
//
// Slots follow the softer rule of Agent.SlotSeats: a hall that is cut off goes on
// serving.
func (n *Node) setTargets() {
	plan := n.plan.Load()
	obj, ok := n.objects.byKey[TargetPrefix+n.self.Hall]
	if plan == nil || !ok || len(obj.Value) == 0 {
		return
	}
	var list TargetList
	err := json.Unmarshal(obj.Value, &list)
	if err != nil {
		n.log.Error("targets refused", "error", err.Error())
		return
	}
	n.hall.SetTargets(time.Now(), specsOf(list.Targets, plan, n.agent.SlotSeats(time.Now())), reservesOf(plan))
	n.targetsOK.Store(true)
}

// specsOf returns the targets that take new work, by service, with the slots
// that belong to the seats.
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
