package node

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/rainford/rainford/config"
	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/lookup"
	"github.com/rainford/rainford/member"
	"github.com/rainford/rainford/objectstore"
	"github.com/rainford/rainford/seat"
	"github.com/rainford/rainford/table"
)

// Prefixes of the keys of stored objects. Other packages define further ones.
const (
	// InstancePrefix is followed by the instance's ID.
	InstancePrefix = "instances/"
	// TargetPrefix is followed by the hall.
	TargetPrefix = "targets/"
	// RosterPrefix is followed by the hall.
	RosterPrefix = "rosters/"
)

// Target is an entry of a TargetList.
type Target struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Addr    string `json:"addr"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `json:"slots"`
	// Leaving is set if the target accepts no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// TargetList is the stored list of the targets of a hall.
type TargetList struct {
	Targets []Target `json:"targets"`
}

const (
	watchTimeout    = 20 * time.Second
	minWatchBackoff = 200 * time.Millisecond
	maxWatchBackoff = 3 * time.Second
)

func (n *Node) watchedPrefixes() []string {
	return []string{
		config.Key,
		TargetPrefix + n.self.Hall,
		RosterPrefix + n.self.Hall,
		InstancePrefix,
		lookup.BlockKeyPrefix,
	}
}

// watchLoop keeps the objects up to date through watches on the store.
func (n *Node) watchLoop(ctx context.Context) {
	after := int64(0)
	first := true
	backoff := minWatchBackoff
	for ctx.Err() == nil {
		wait := watchTimeout
		if first {
			wait = 0
		}
		listing, err := n.store.Watch(ctx, n.watchedPrefixes(), after, wait)
		n.claims.platformUp.Store(err == nil)
		if err != nil {
			n.log.Debug("watch failed", "error", err.Error())
			pause.For(ctx, n.Jitter(backoff))
			backoff = min(2*backoff, maxWatchBackoff)
			continue
		}
		backoff = minWatchBackoff
		if listing.Revision < after {
			// This response is stale. The next watch continues from the same revision.
			pause.For(ctx, backoff)
			continue
		}
		after = listing.Revision
		n.mu.Lock()
		n.revision = after
		n.mu.Unlock()
		n.applyObjects(listing.Objects)
		if first {
			first = false
			n.mu.Lock()
			n.agent.ObserveNoRoster()
			n.mu.Unlock()
		}
	}
}

// applyObjects applies the objects that are newer than those held.
func (n *Node) applyObjects(objs []objectstore.Object) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var newer []objectstore.Object
	blocksBefore := make(map[string][]lookup.Block)
	for _, obj := range objs {
		inForce := obj.Key == config.Key && n.reconcileConfig(&obj)
		if strings.HasPrefix(obj.Key, lookup.BlockKeyPrefix) {
			blocksBefore[obj.Key] = n.decodeBlocks(n.objects.byKey[obj.Key])
		}
		if n.objects.update(obj) && !inForce {
			newer = append(newer, obj)
		}
	}
	n.applyChanges(newer, blocksBefore)
}

func (n *Node) applyChanges(newer []objectstore.Object, blocksBefore map[string][]lookup.Block) {
	var oldBlocks, newBlocks []lookup.Block
	for _, obj := range newer {
		switch {
		case obj.Key == config.Key:
			n.setConfig(obj)
		case obj.Key == TargetPrefix+n.self.Hall:
			n.setTargets()
		case obj.Key == RosterPrefix+n.self.Hall:
			n.setRoster(obj)
		case strings.HasPrefix(obj.Key, InstancePrefix):
			n.fleetStale = true
		case strings.HasPrefix(obj.Key, lookup.BlockKeyPrefix):
			oldBlocks = append(oldBlocks, blocksBefore[obj.Key]...)
			newBlocks = append(newBlocks, n.decodeBlocks(obj)...)
		}
	}
	if n.fleetStale {
		n.setInstances()
	}
	if len(oldBlocks)+len(newBlocks) > 0 {
		n.blocks = n.blocks.Replace(oldBlocks, newBlocks)
		n.fleetStale = true
	}
}

func (n *Node) decodeBlocks(obj objectstore.Object) []lookup.Block {
	if len(obj.Value) == 0 || obj.Deleted {
		return nil
	}
	var shard lookup.BlockShard
	err := json.Unmarshal(obj.Value, &shard)
	if err != nil {
		n.log.Error("invalid address blocks ignored", "key", obj.Key, "error", err.Error())
		return nil
	}
	return shard.Blocks
}

// setConfig decodes, checks, compiles and publishes a version of the configuration. If a step
// fails, it logs the error, and the version in force remains.
func (n *Node) setConfig(obj objectstore.Object) {
	plan, err := compile(obj)
	if err != nil {
		n.log.Error("configuration refused", "object_version", obj.Version, "error", err.Error())
		return
	}
	if current := n.plan.Load(); current != nil && plan.Version <= current.Version {
		n.metrics.Violation("config-reverts")
		n.log.Error("configuration refused: not newer than the version in force", "have", current.Version, "got", plan.Version)
		return
	}
	n.publish(plan)
}

func compile(obj objectstore.Object) (*table.Plan, error) {
	if obj.Deleted {
		return nil, fmt.Errorf("node: configuration %s was deleted", obj.Key)
	}
	doc, err := config.Decode(obj.Value)
	if err != nil {
		return nil, err
	}
	err = table.Check(&doc.Table, nil).Err()
	if err != nil {
		return nil, err
	}
	return table.Compile(&doc.Table, doc.Number), nil
}

func (n *Node) publish(plan *table.Plan) {
	now := time.Now()
	for _, r := range plan.Table.Regions {
		if !plan.RegionDrained(r.Name) {
			delete(n.drainedAt, r.Name)
		} else if n.drainedAt[r.Name].IsZero() {
			n.drainedAt[r.Name] = now
		}
	}
	n.ledger.SetPlan(plan)
	n.plan.Store(plan)
	n.setTargets()
	n.rebuildFleet(now)
	n.log.Info("configuration in force", "version", plan.Version)
	n.triggerHeartbeat()
}

// triggerHeartbeat makes heartbeatLoop send the next round of heartbeats at once.
func (n *Node) triggerHeartbeat() {
	select {
	case n.heartbeatNow <- struct{}{}:
	default:
	}
}

func (n *Node) setRoster(obj objectstore.Object) {
	if obj.Deleted {
		return
	}
	var roster seat.Roster
	err := json.Unmarshal(obj.Value, &roster)
	if err != nil {
		n.log.Error("invalid roster ignored", "error", err.Error())
		return
	}
	n.applyRoster(&roster, obj.Version)
}

func (n *Node) applyRoster(roster *seat.Roster, version int64) {
	n.agent.ObserveRoster(time.Now(), roster, version)
	n.updateSeats(time.Now())
}

func (n *Node) setInstances() {
	var list []member.Instance
	for _, obj := range n.objects.withPrefix(InstancePrefix) {
		var in member.Instance
		err := json.Unmarshal(obj.Value, &in)
		if err != nil {
			n.log.Error("invalid instance record ignored", "key", obj.Key, "error", err.Error())
			continue
		}
		list = append(list, in)
	}
	n.view.SetList(time.Now(), list)
}
