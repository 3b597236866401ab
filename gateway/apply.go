package gateway

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/config"
	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/quarantine"
	"github.com/rainford/rainford/table"
)

// sourceStore is the source of a delta that this instance has read from the store.
const sourceStore = "store"

// sourceHoldExpired is the source of a change that was held after an outage or a restore of the
// store, and whose hold has ended.
const sourceHoldExpired = "lapse"

// provenance describes where changes come from.
type provenance struct {
	// source is sourceStore, the peer address of the instance that sent the changes, or
	// sourceHoldExpired.
	source string
	// revision is the revision of the replica after the changes.
	revision int64
	// restored states that the changes lead to the contents of a store that was restored from
	// a backup. Some of them undo writes that the backup lacks, and were made by no writer.
	restored bool
}

// applyDelta applies a delta to the replica of its kind, applies the resulting changes to the
// instance and, unless they are the first of their kind, pushes them to others. Source is
// sourceStore or the peer address of the instance that sent the delta. The result is false if the
// replica does not reach the end of the delta, because the delta leaves a gap or the kind is not
// replicated here.
func (g *Gateway) applyDelta(d feed.Delta, source string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reportUnreadable(d)
	replica := g.replicas[d.Kind]
	if replica == nil {
		return false
	}
	now := g.clock.Now()
	before, digest := replica.Position(), replica.Digest()
	behind := g.catchUp[d.Kind].BehindFor(now, before)
	own := g.ownObjectsBeforeRestore(d)
	changes, ok := replica.Apply(d)
	if !ok {
		return false
	}
	g.replication[d.Kind].assembly.Prune(replica)
	requested := source != sourceStore && g.catchUp[d.Kind].Received()
	if requested {
		g.reportRequested(d, source, behind)
	}
	at := replica.Position()
	if at == before && len(changes) == 0 {
		return true
	}
	if !requested {
		g.replication[d.Kind].pushedAt = now
	}
	g.enterEra(at.Era, source)
	if before.IsZero() {
		g.answerPendingDeltaRequests(d.Kind)
	}
	if before.IsZero() && d.Kind == KindInstances {
		g.instancesKnownAt = now
	}
	from := provenance{source: source, revision: at.Revision, restored: !before.IsZero() && before.Era != at.Era}
	if from.restored {
		g.holdAfterRestore(now, d.Kind)
		g.recordLostObjects(now, own, changes)
	}
	if len(changes) > 0 {
		g.applyChanges(now, d.Kind, changes, from)
	}
	if before.IsZero() {
		g.onKindLoaded(now, d.Kind)
	}
	g.signalReady()
	if !before.IsZero() && at != before && (len(changes) > 0 || from.restored) {
		if d.Full {
			d = replica.DeltaSince(before, digest)
		}
		g.pushDelta(d, source)
	}
	if len(changes) > 0 && source != sourceStore {
		g.watch.recordMissed(d.Kind, now)
	}
	return true
}

// reportUnreadable logs and counts the objects that the store has sent and whose names can't be read. The
// caller holds mu.
func (g *Gateway) reportUnreadable(d feed.Delta) {
	if len(d.Unreadable) == 0 {
		return
	}
	g.metrics.refusedEntries.Add(int64(len(d.Unreadable)), string(d.Kind), "name")
	g.log.Error(logEntriesUnreadable, "kind", d.Kind, "entries", len(d.Unreadable), "first", d.Unreadable[0], "revision", d.To.Revision)
}

// onKindLoaded updates the state that depends on the first objects of a kind, after they have
// been applied. The caller holds mu.
func (g *Gateway) onKindLoaded(now time.Time, kind feed.Kind) {
	switch kind {
	case KindInstances:
		g.updateInstanceShares(now)
	case KindTargets:
		g.readiness.targetsLoaded.Store(true)
	case KindRollouts:
		g.setRolloutsLoaded()
	}
}

// applyChanges puts changes of a kind in force. The caller holds mu.
func (g *Gateway) applyChanges(now time.Time, kind feed.Kind, changes []feed.Change, from provenance) {
	switch kind {
	case KindConfig:
		for _, c := range changes {
			g.applyConfig(c, from)
		}
	case KindTargets:
		g.applyTargets(now, changes, from)
	case KindEvacuations:
		g.applyEvacuations(now, changes, from)
	case KindTable:
		// Releases of held requests are applied last, so that they cover all crashes that
		// the other records hold.
		slices.SortStableFunc(changes, func(a, b feed.Change) int { return cmp.Compare(releaseRank(a), releaseRank(b)) })
		for _, c := range changes {
			g.applyTable(c, from)
		}
		g.pools.setTargets(now, g.targetList.specs, g.evacuated)
		g.updateHallSizes()
	case KindInstances:
		g.applyInstances(now, changes, from)
		g.updateInstanceShares(now)
	case KindRollouts:
		for _, c := range g.heldChanges[KindRollouts].effective(now, changes, from.restored) {
			g.applyRollout(now, c, from)
		}
		g.scheduleHeldChanges(now, KindRollouts)
	}
}

// applyEvacuations begins and ends evacuations of halls. The caller holds mu.
func (g *Gateway) applyEvacuations(now time.Time, changes []feed.Change, from provenance) {
	for _, c := range g.heldChanges[KindEvacuations].effective(now, changes, from.restored) {
		g.evacuated[c.Name] = !c.Removed
		if c.Removed {
			delete(g.evacuated, c.Name)
		}
		g.log.Info(logEvacuation, "hall", c.Name, "evacuated", !c.Removed, "source", from.source, "revision", from.revision)
	}
	g.pools.setTargets(now, g.targetList.specs, g.evacuated)
	g.updateHallSizes()
	g.scheduleHeldChanges(now, KindEvacuations)
}

// applyConfig puts a configuration in force if it is valid and its version is higher than that of
// the current one. The caller holds mu.
func (g *Gateway) applyConfig(c feed.Change, from provenance) {
	if c.Removed {
		return
	}
	config, err := g.codec.Config(c.Name, c.Value)
	if err != nil {
		g.metrics.refusedEntries.Add(1, string(KindConfig), "entry")
		g.log.Error(logConfigRefused, "name", c.Name, "error", err.Error(), "source", from.source, "revision", from.revision)
		return
	}
	old := g.router.Load()
	if old != nil && config.Version <= old.Config().Version {
		g.log.Warn(logConfigOld, "version", config.Version, "in_force", old.Config().Version, "source", from.source)
		return
	}
	router, err := catalog.NewRouter(config)
	if err != nil {
		g.log.Error(logConfigRefused, "version", config.Version, "error", err.Error(), "source", from.source, "revision", from.revision)
		return
	}
	// The line precedes the lines of all requests that are judged by the configuration.
	g.log.Info(logConfig, "version", config.Version, "routes", len(config.Routes), "source", from.source, "revision", from.revision)
	g.router.Store(router)
	g.pools.setServices(config.Services)
	g.pools.setHomeShares(config.HomeRegionShares())
}

// applyTable applies an object of KindTable. The rows of the operators' table replace the shares
// that are computed from the targets' slots, and its drains are put in force. Records of the
// quarantine are passed to applyStoredRecord. Other objects of the kind do not concern instances.
// The caller holds mu.
func (g *Gateway) applyTable(c feed.Change, from provenance) {
	if strings.HasPrefix(c.Name, quarantine.StoredPrefix) {
		g.applyStoredRecord(c, from)
		return
	}
	if c.Name != config.Key || g.isLost(c, from) {
		return
	}
	doc, err := config.Decode(c.Value)
	if err != nil {
		g.metrics.refusedEntries.Add(1, string(KindTable), "entry")
		g.log.Error(logTableRefused, "name", c.Name, "error", err.Error(), "source", from.source, "revision", from.revision)
		return
	}
	if c.Removed {
		doc = &config.Document{}
	}
	plan := table.Compile(&doc.Table, doc.Number)
	g.pools.setPlan(plan)
	g.log.Info(logTable, "number", doc.Number, "rows", len(doc.Table.Rows), "source", from.source, "revision", from.revision)
}

// applyInstances applies changes of instances' entries to the view of the fleet and to the
// ownership of limits. The caller holds mu.
func (g *Gateway) applyInstances(now time.Time, changes []feed.Change, from provenance) {
	var named []fleet.Member
	for _, c := range g.heldChanges[KindInstances].effective(now, changes, from.restored) {
		if c.Removed {
			named = slices.DeleteFunc(named, func(m fleet.Member) bool { return m.Name == c.Name })
			delete(g.registered, c.Name)
			g.onInstanceRemoved(c.Name)
			g.view.Remove(now, c.Name)
			continue
		}
		var m fleet.Member
		err := json.Unmarshal(c.Value, &m)
		if err == nil {
			err = g.checkInstance(c.Name, m)
		}
		if err != nil {
			// A foreign writer has overwritten the entry, so the instance no longer counts as
			// registered. It stays in the view of the fleet.
			delete(g.registered, c.Name)
			g.onInstanceRemoved(c.Name)
			g.metrics.refusedEntries.Add(1, string(KindInstances), "entry")
			g.log.Error(logInstanceRefused, "name", c.Name, "error", err.Error())
			continue
		}
		named = append(named, m)
		g.registered[m.Name] = m
	}
	g.view.Add(named...)
	g.accountPermits.setInstances(now, g.config, g.registered)
	g.updateLimitOwners(now)
	g.readiness.instancesLoaded.Store(true)
	g.scheduleHeldChanges(now, KindInstances)
}

// checkInstance returns an error if an entry cannot have been written by the instance of its name.
func (g *Gateway) checkInstance(name string, m fleet.Member) error {
	_, hall := g.config.RegionOf[m.Hall]
	switch {
	case m.Name != name:
		return &catalog.EntryError{Field: "name", Problem: "differs from the name of the object"}
	case !hall || g.config.RegionOf[m.Hall] != m.Region:
		return &catalog.EntryError{Field: "hall", Problem: "is not in the settings, or belongs to another region there"}
	case m.PeerAddr == "" || m.FrontAddr == "":
		return &catalog.EntryError{Field: "address", Problem: "is missing"}
	case m.Capacity < 0:
		return &catalog.EntryError{Field: "capacity", Problem: "is negative"}
	default:
		return nil
	}
}

// updateInstanceShares divides the quotas that all instances share by the current number of
// instances. An instance that has not read the list of instances takes no share. It would divide
// by fewer instances than the others do, and the shares would add up to more than the quota. The
// caller holds mu.
func (g *Gateway) updateInstanceShares(now time.Time) {
	if g.replicas[KindInstances].Position().IsZero() {
		return
	}
	all := g.view.All(now)
	g.pools.setInstances(sendersByHall(all), len(all))
}

// sendersByHall returns the names of the instances of each hall that send requests to its cold targets.
// Those that reach no target say so and send none. If all instances of a hall say so, they are
// returned.
func sendersByHall(all []fleet.Status) map[string][]string {
	senders, others := make(map[string][]string), make(map[string][]string)
	for _, s := range all {
		if s.Flags&fleet.TargetsLost != 0 {
			others[s.Hall] = append(others[s.Hall], s.Name)
			continue
		}
		senders[s.Hall] = append(senders[s.Hall], s.Name)
	}
	for hall, names := range others {
		if len(senders[hall]) == 0 {
			senders[hall] = names
		}
	}
	return senders
}

// updateLostMembers updates the shares of the instances when another set of members of the own hall
// reaches no target. The caller holds mu.
func (g *Gateway) updateLostMembers(now time.Time) {
	lost := ""
	for _, s := range g.view.All(now) {
		if s.Hall == g.config.Hall && s.Flags&fleet.TargetsLost != 0 {
			lost += s.Name + " "
		}
	}
	if lost == g.lostMembers {
		return
	}
	g.lostMembers = lost
	g.updateInstanceShares(now)
}
