package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/config"
	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/table"
)

// sourceStore is the source of a delta that the own watch brought.
const sourceStore = "store"

// sourceLapse is the source of a removal that was held back after an outage of the
// store.
const sourceLapse = "lapse"

// take applies a delta and puts its changes in force. Source is sourceStore or
// the peer address of the instance that sent it. It reports whether the replica
// now reflects the delta's end.
func (g *Gateway) take(d feed.Delta, source string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	replica := g.replicas[d.Kind]
	if replica == nil {
		return false
	}
	before := replica.At()
	changes, ok := replica.Apply(d)
	if !ok {
		return false
	}
	if source != sourceStore && g.catchUp[d.Kind].Answered() {
		g.metrics.question(d.Kind, questionAnswered)
	}
	if replica.At() == before {
		return true
	}
	if before == 0 {
		g.answerAskers(d.Kind)
	}
	if before == 0 && d.Kind == KindInstances {
		g.instancesAt = time.Now()
	}
	if len(changes) > 0 {
		g.putInForce(time.Now(), d.Kind, changes, source, replica.At())
	}
	if d.Kind == KindTargets {
		g.readiness.knowsTargets.Store(true)
	}
	g.noteReady()
	if len(changes) > 0 && before > 0 {
		if d.Full {
			d = feed.Difference(d.Kind, before, d.To, changes)
		}
		g.passOn(d, source)
	}
	if len(changes) > 0 && source != sourceStore {
		g.watch.missed(d.Kind, time.Now())
	}
	return true
}

// putInForce makes changes count. The caller holds mu.
func (g *Gateway) putInForce(now time.Time, kind feed.Kind, changes []feed.Change, source string, revision int64) {
	switch kind {
	case KindConfig:
		for _, c := range changes {
			g.applyConfig(c, source, revision)
		}
	case KindTargets:
		g.applyTargets(now, changes, source, revision)
	case KindEvacuations:
		for _, c := range changes {
			g.evacuated[c.Name] = !c.Gone
			if c.Gone {
				delete(g.evacuated, c.Name)
			}
			g.log.Info(logEvacuation, "hall", c.Name, "evacuated", !c.Gone, "source", source, "revision", revision)
		}
		g.pools.setTargets(now, g.specs, g.evacuated)
	case KindTable:
		for _, c := range changes {
			g.applyTable(c, source, revision)
		}
		g.pools.setTargets(now, g.specs, g.evacuated)
	case KindInstances:
		g.applyInstances(now, changes)
		g.shareOut(now)
	}
}

// applyConfig puts a configuration in force unless it is older than the one
// that is.
func (g *Gateway) applyConfig(c feed.Change, source string, revision int64) {
	if c.Gone {
		return
	}
	config, err := g.codec.Config(c.Name, c.Value)
	if err != nil {
		g.log.Error(logConfigRefused, "error", err.Error(), "source", source, "revision", revision)
		return
	}
	old := g.router.Load()
	if old != nil && config.Version <= old.Config().Version {
		g.log.Warn(logConfigOld, "version", config.Version, "in_force", old.Config().Version, "source", source)
		return
	}
	router, err := catalog.NewRouter(config)
	if err != nil {
		g.log.Error(logConfigRefused, "version", config.Version, "error", err.Error(), "source", source, "revision", revision)
		return
	}
	g.router.Store(router)
	g.pools.setServices(config.Services)
	g.pools.setHomeShares(config.HomeShares())
	g.log.Info(logConfig, "version", config.Version, "routes", len(config.Routes), "source", source, "revision", revision)
}

// manyTargets is the number of changes at once from which on one line tells of
// them all.
const manyTargets = 16

// applyTargets takes in changes of targets' entries.
func (g *Gateway) applyTargets(now time.Time, changes []feed.Change, source string, revision int64) {
	level := slog.LevelInfo
	if len(changes) >= manyTargets {
		level = slog.LevelDebug
		g.log.Info(logTargets, "changes", len(changes), "held", g.replicas[KindTargets].Len(), "source", source, "revision", revision)
	}
	touched := make(map[string]bool, len(changes))
	ctx := context.Background()
	for _, c := range changes {
		if c.Gone && !g.specs[c.Name].Leaves && g.lapse.Hold(now, c.Name) {
			g.log.Log(ctx, level, logTargetLapsed, "target", c.Name, "for_ms", g.lapse.Remaining(now).Milliseconds(), "source", source, "revision", revision)
			continue
		}
		g.lapse.Back(c.Name)
		touched[c.Name] = true
		if c.Gone {
			delete(g.specs, c.Name)
			g.log.Log(ctx, level, logTargetGone, "target", c.Name, "source", source, "revision", revision)
			continue
		}
		spec, err := g.codec.Target(c.Name, c.Value)
		if err != nil {
			g.log.Error(logTargetRefused, "target", c.Name, "error", err.Error())
			continue
		}
		g.specs[c.Name] = spec
		g.log.Log(ctx, level, logTarget, "target", c.Name, "service", spec.Service, "hall", spec.Hall, "addr", spec.Addr,
			"leaves", spec.Leaves, "cold_ms", spec.ColdFor.Milliseconds(), "source", source, "revision", revision)
	}
	// A target may change, go and come back within a delta: what it came to
	// counts.
	var changed []catalog.Target
	var gone []string
	for name := range touched {
		if spec, ok := g.specs[name]; ok {
			changed = append(changed, spec)
		} else {
			gone = append(gone, name)
		}
	}
	g.pools.changeTargets(now, changed, gone, g.evacuated)
	g.listedEnds(now, changed, gone)
	g.awaitLapsed(now)
}

// awaitLapsed looks again when removals are no longer held back. That time may be put
// off meanwhile. The caller holds mu.
func (g *Gateway) awaitLapsed(now time.Time) {
	if g.lapse.Holding() {
		time.AfterFunc(g.lapse.Remaining(now)+time.Millisecond, g.expireLapsed)
	}
}

// expireLapsed removes the targets whose entries are still missing some time after
// an outage of the store.
func (g *Gateway) expireLapsed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	names := g.lapse.Expired(now)
	g.awaitLapsed(now)
	if len(names) == 0 {
		return
	}
	for _, name := range names {
		delete(g.specs, name)
		g.log.Info(logTargetGone, "target", name, "source", sourceLapse)
	}
	g.pools.changeTargets(now, nil, names, g.evacuated)
	g.listedEnds(now, nil, names)
}

// applyTable puts the operators' table in force: their rows in place of the shares
// computed from slots, and their drains. Other objects of the kind are not for
// instances.
func (g *Gateway) applyTable(c feed.Change, source string, revision int64) {
	if c.Name != config.Key {
		return
	}
	doc, err := config.Decode(c.Value)
	if err != nil {
		g.log.Error(logTableRefused, "error", err.Error(), "source", source, "revision", revision)
		return
	}
	if c.Gone {
		doc = &config.Document{}
	}
	plan := table.Compile(&doc.Table, doc.Number)
	g.pools.setPlan(plan)
	g.log.Info(logTable, "number", doc.Number, "rows", len(doc.Table.Rows), "source", source, "revision", revision)
}

// applyInstances takes in changes of instances' entries.
func (g *Gateway) applyInstances(now time.Time, changes []feed.Change) {
	var named []fleet.Member
	for _, c := range changes {
		if c.Gone {
			named = slices.DeleteFunc(named, func(m fleet.Member) bool { return m.Name == c.Name })
			delete(g.registered, c.Name)
			g.noteUnregistered(c.Name)
			g.view.Remove(now, c.Name)
			continue
		}
		var m fleet.Member
		err := json.Unmarshal(c.Value, &m)
		if err != nil {
			g.log.Error(logInstanceRefused, "name", c.Name, "error", err.Error())
			continue
		}
		named = append(named, m)
		g.registered[m.Name] = m
	}
	g.view.Add(named...)
	g.permits.setMembers(now, g.config, g.registered)
	g.readiness.knowsInstances.Store(true)
}

// shareOut divides what all instances share anew. The caller holds mu.
func (g *Gateway) shareOut(now time.Time) {
	members := make(map[string][]string)
	all := g.view.All(now)
	for _, s := range all {
		members[s.Hall] = append(members[s.Hall], s.Name)
	}
	g.pools.setMembers(members, len(all))
}
