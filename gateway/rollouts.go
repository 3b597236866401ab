package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/rollout"
	"github.com/rainford/rainford/upstream"
)

const (
	// rolloutTickInterval is the interval at which an ongoing rollout is updated.
	rolloutTickInterval = 100 * time.Millisecond
	// leaderTimeout is the time without a message of the leader after which another instance takes
	// over.
	leaderTimeout = 3 * rollout.HeartbeatInterval
	// stateWriteInterval is the least time between two attempts to write the state of an order to the
	// store.
	stateWriteInterval = 400 * time.Millisecond
)

// rollouts holds the rollouts of the orders in the store, by service. It is safe for concurrent
// use.
type rollouts struct {
	mu        sync.Mutex
	byService map[string]*serviceRollout
	// changed has an element when an order has changed.
	changed chan struct{}
}

func newRollouts() *rollouts {
	return &rollouts{byService: make(map[string]*serviceRollout), changed: make(chan struct{}, 1)}
}

// of returns the rollout of a service, nil if there is none.
func (rs *rollouts) of(service string) *serviceRollout {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.byService[service]
}

// all returns the rollouts of all services.
func (rs *rollouts) all() []*serviceRollout {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	out := make([]*serviceRollout, 0, len(rs.byService))
	for _, r := range rs.byService {
		out = append(out, r)
	}
	return out
}

// serviceRollout is the rollout of one service. It is safe for concurrent use.
type serviceRollout struct {
	mu       sync.Mutex
	record   rollout.Record
	follower *rollout.Follower
	// leader is nil unless this instance leads the rollout.
	leader *rollout.Leader
	// leaderHeardAt is the time at which the stage in force was last received from another leader.
	leaderHeardAt time.Time
	// writing is true while a write of the state is in progress. writtenAt is the time at which the
	// last write began.
	writing   bool
	writtenAt time.Time
}

// isOngoing reports whether the order is not withdrawn and the store holds no verdict for it. This is
// also the case if the store has lost the verdict. The caller holds mu.
func (r *serviceRollout) isOngoing() bool { return !r.record.State.IsFinal() }

// lostVerdict returns the verdict that the instances follow and the store has lost. It returns
// false if there is none. The caller holds mu.
func (r *serviceRollout) lostVerdict() (rollout.State, bool) {
	verdict := r.follower.Verdict()
	return verdict, verdict.IsFinal() && r.isOngoing()
}

// applyRollout applies a change of a rollout order or of its state.
func (g *Gateway) applyRollout(now time.Time, c feed.Change, from provenance) {
	known := g.rollouts.of(c.Name)
	if c.Removed {
		if known != nil {
			known.withdraw()
			g.log.Info(logRollout, "service", c.Name, "withdrawn", true, "source", from.source, "revision", from.revision)
		}
		g.rollouts.put(c.Name, known)
		return
	}
	record, err := g.codec.Rollout(c.Name, c.Value)
	if err != nil {
		g.metrics.refusedEntries.Add(1, string(KindRollouts), "entry")
		g.log.Error(logRolloutRefused, "service", c.Name, "error", err.Error(), "source", from.source, "revision", from.revision)
		return
	}
	switch {
	case known != nil && known.order().ID() == record.Order.ID():
	case known != nil && known.order().Equivalent(record.Order) && g.mayBeReissued(now, from):
		known.reissue(record.Order)
	default:
		if known != nil {
			// A store that has lost this order may list the previous one again.
			g.heldChanges[KindRollouts].tombstones.Add(now, c.Name)
		}
		known = &serviceRollout{follower: rollout.NewFollower(now, g.config.Name, record.Order)}
	}
	known.setRecord(record)
	g.log.Info(logRollout, "service", record.Service, "version", record.Version, "duration_ms", record.Duration.Milliseconds(),
		"state", record.State, "source", from.source, "revision", from.revision)
	g.applySplit(now, known)
	g.rollouts.put(c.Name, known)
}

// applySplit applies the traffic split of a rollout at once, since the instance may become ready before
// the next update of the rollout.
func (g *Gateway) applySplit(now time.Time, r *serviceRollout) {
	r.mu.Lock()
	split, until := r.follower.Split(now)
	r.mu.Unlock()
	g.pools.setSplit(now, r, split, until)
}

// put sets the rollout of a service and wakes rolloutLoop. It does nothing if r is nil.
func (rs *rollouts) put(service string, r *serviceRollout) {
	if r == nil {
		return
	}
	rs.mu.Lock()
	rs.byService[service] = r
	rs.mu.Unlock()
	select {
	case rs.changed <- struct{}{}:
	default:
	}
}

func (r *serviceRollout) order() rollout.Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follower.Order()
}

// isLeader reports whether this instance leads the rollout.
func (r *serviceRollout) isLeader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader != nil
}

// mayBeReissued reports whether a new order may be the reissue of one that a restored store has
// lost.
func (g *Gateway) mayBeReissued(now time.Time, from provenance) bool {
	return from.restored || g.heldChanges[KindRollouts].removals.Remaining(now) > 0
}

func (r *serviceRollout) reissue(order rollout.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follower.Reissue(order)
	if r.leader != nil {
		r.leader.Reissue(order)
	}
}

func (r *serviceRollout) withdraw() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follower.Withdraw()
	r.leader = nil
	r.record.State = rollout.RolledBack
}

func (r *serviceRollout) setRecord(record rollout.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record = record
	r.follower.SetState(record.State)
	if record.State.IsFinal() {
		r.leader = nil
	}
}

// rolloutLoop updates all rollouts periodically while any of them is ongoing, and otherwise after a
// change of an order.
func (g *Gateway) rolloutLoop(ctx context.Context) {
	for ctx.Err() == nil {
		ongoing := false
		for _, r := range g.rollouts.all() {
			ongoing = g.tickRollout(ctx, r) || ongoing
		}
		if ongoing {
			pause.For(ctx, rolloutTickInterval)
			continue
		}
		select {
		case <-g.rollouts.changed:
		case <-ctx.Done():
		}
	}
}

// tickRollout updates a rollout: its leadership, traffic split and report. It returns true if the
// rollout needs further updates without a change of its order.
func (g *Gateway) tickRollout(ctx context.Context, r *serviceRollout) bool {
	now := g.clock.Now()
	service := r.order().Service
	versions := g.pools.versionStats(now, service)
	g.lead(ctx, now, r, versions)
	r.mu.Lock()
	split, until := r.follower.Split(now)
	report, leader, hasReport := r.follower.Report(now, versions.OldInFlight)
	ongoing := r.isOngoing()
	r.mu.Unlock()
	g.pools.setSplit(now, r, split, until)
	if !hasReport {
		return ongoing
	}
	if leader == g.view.Self().PeerAddr {
		g.receiveRolloutReport(&peer.RolloutReport{Report: report})
	} else {
		g.mesh.Send(leader, &peer.RolloutReport{Report: report})
	}
	return ongoing
}

// lead makes this instance the leader of a rollout if it is its turn. As the leader, it decides on
// the stage, broadcasts it, and writes the state of the order to the store.
func (g *Gateway) lead(ctx context.Context, now time.Time, r *serviceRollout, versions upstream.VersionStats) {
	isLeader, members := g.leadsRollouts(now, r.isLeader())
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isOngoing() || !isLeader || now.Sub(r.leaderHeardAt) < leaderTimeout {
		r.leader = nil
		return
	}
	if verdict, isLost := r.lostVerdict(); isLost {
		r.leader = nil
		g.writeState(ctx, now, r, verdict)
		return
	}
	if r.leader == nil {
		r.leader = rollout.NewLeader(now, g.view.Self().PeerAddr, r.follower, g.config.Rollouts)
		g.log.Info(logRolloutLeads, "service", r.record.Service, "version", r.record.Version, "stage", r.leader.Stage().Phase.String())
	}
	stage, changed := r.leader.Decide(now, rollout.FleetState{
		Instances:   members,
		Rate:        versions.SendRate * float64(members),
		OldSlots:    versions.OldSlots,
		NewSlots:    versions.NewSlots,
		Utilization: versions.OldUtilization,
	})
	if r.follower.HandleStage(now, stage) {
		g.logStage(r, stage)
	}
	if changed || r.leader.AwaitsObjections(now) {
		go g.broadcast(now, peer.Gossip{Stages: []rollout.Stage{stage}})
	}
	g.writeState(ctx, now, r, r.leader.Verdict())
}

// leadsRollouts reports whether this instance leads rollouts, and returns the number of instances
// that are alive or whose state is unknown.
func (g *Gateway) leadsRollouts(now time.Time, hasLed bool) (isLeader bool, members int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.view.All(now) {
		if s.State == fleet.Alive || s.State == fleet.Unknown {
			members++
		}
	}
	return g.view.IsLeader(now, hasLed), members
}

// writeState writes the state of an order to the store. The caller holds the rollout's mu.
func (g *Gateway) writeState(ctx context.Context, now time.Time, r *serviceRollout, state rollout.State) {
	if r.writing || r.record.State == state || now.Sub(r.writtenAt) < stateWriteInterval {
		return
	}
	r.writing, r.writtenAt = true, now
	record := r.record
	g.startGoroutine(func() {
		err := g.store.SetRolloutState(ctx, record, state)
		r.mu.Lock()
		r.writing = false
		r.mu.Unlock()
		switch {
		case err == nil:
			g.log.Info(logRolloutState, "service", record.Service, "version", record.Version, "state", state)
		case errors.Is(err, ErrConflict):
			// The watch delivers the current version of the object.
			g.log.Info(logRolloutState, "service", record.Service, "version", record.Version, "state", state, "error", err.Error())
		default:
			g.log.Warn(logRolloutState, "service", record.Service, "version", record.Version, "state", state, "error", err.Error())
		}
	})
}

// logStage logs a new stage, and the leader's assessment if this instance is the leader. The caller
// holds the rollout's mu.
func (g *Gateway) logStage(r *serviceRollout, stage rollout.Stage) {
	attrs := []slog.Attr{slog.String("service", r.record.Service), slog.String("version", r.record.Version),
		slog.String("stage", stage.Phase.String()), slog.Float64("keys", stage.KeyShare), slog.Float64("draw", stage.RequestShare),
		slog.Float64("targets", stage.TargetShare), slog.Float64("senders", stage.InstanceShare), slog.String("reason", string(stage.Reason)),
		slog.Int64("age_ms", stage.Age.Milliseconds()), slog.String("leader", stage.Leader)}
	if r.leader != nil {
		assessment := r.leader.Assessment()
		sent, sentNew := r.leader.Counts()
		attrs = append(attrs, slog.Int("sent", sent), slog.Int("sent_new", sentNew), slog.Float64("odds_failing", assessment.FailureLLR),
			slog.Float64("odds_slow", assessment.SlowLLR), slog.Bool("suspect", assessment.Suspect))
	}
	g.log.LogAttrs(context.Background(), slog.LevelInfo, logRolloutStage, attrs...)
}

// receiveStages handles stages that leaders have sent. The caller holds mu of the gateway.
func (g *Gateway) receiveStages(now time.Time, stages []rollout.Stage) {
	for _, stage := range stages {
		for _, r := range g.rollouts.all() {
			r.mu.Lock()
			g.objectToStage(r, stage)
			if r.follower.HandleStage(now, stage) {
				g.logStage(r, stage)
			}
			if r.follower.Stage() == stage && stage.Leader != g.view.Self().PeerAddr {
				r.leaderHeardAt = now
			}
			r.mu.Unlock()
		}
	}
}

// receiveRolloutReport records another instance's observations for a rollout that this instance
// leads.
func (g *Gateway) receiveRolloutReport(m *peer.RolloutReport) {
	now := g.clock.Now()
	for _, r := range g.rollouts.all() {
		r.mu.Lock()
		if r.leader != nil {
			r.leader.HandleReport(now, m.Report)
		}
		r.mu.Unlock()
	}
}
