package gateway

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/quarantine"
	"github.com/rainford/rainford/rollout"
)

// StatusPath is the path of an instance's status on its admin address.
const StatusPath = "/status"

// Status is the state of an instance, as operators can query it.
type Status struct {
	Instance      string          `json:"instance"`
	Hall          string          `json:"hall"`
	Region        string          `json:"region"`
	ConfigVersion catalog.Version `json:"configuration"`
	Ready         bool            `json:"ready"`
	Leaving       bool            `json:"leaving"`
	// Targets is the number of all targets. Unavailable lists those that currently receive no
	// requests.
	Targets     int                 `json:"targets"`
	Unavailable []UnavailableTarget `json:"unavailable"`
	// TargetsLost is true while the instance reaches no target, and Isolated while it is cut off from
	// everything outside its hall. HallsLost lists the halls of whose targets it reaches none.
	TargetsLost bool       `json:"targets_lost,omitempty"`
	Isolated    bool       `json:"isolated,omitempty"`
	HallsLost   []LostHall `json:"halls_lost,omitempty"`
	// Limited lists the targets that have announced a rate limit.
	Limited []LimitedTarget `json:"limited"`
	// Shares lists how the requests of each service are divided between regions.
	Shares []RegionShares `json:"shares,omitempty"`
	// Held lists the requests and client accounts that are suspected of crashing targets, or
	// held for that reason.
	Held []HeldRequest `json:"held"`
	// Rollouts lists the latest rollout order of each service, in progress or ended.
	Rollouts []RolloutStatus `json:"rollouts,omitempty"`
	// Lookups is what clients of the instance's hall are told.
	Lookups LookupStatus `json:"lookups"`
}

// LostHall is a hall of whose targets an instance reaches none.
type LostHall struct {
	Hall string `json:"hall"`
	// ForMs is the time since the loss was noticed, in milliseconds. ByResponse is true if connections
	// can be opened but nothing responds.
	ForMs      int64 `json:"for_ms"`
	ByResponse bool  `json:"by_response,omitempty"`
}

// RolloutStatus is the state of a rollout as an instance knows it.
type RolloutStatus struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// State is the state in the store, and Stage the phase that this instance is in. Share is
	// the fraction of its requests that it sends to new targets, if all affinity keys have
	// the same number of requests.
	State  rollout.State  `json:"state"`
	Stage  string         `json:"stage"`
	Share  float64        `json:"share"`
	Reason rollout.Reason `json:"why,omitempty"`
	// ForMs is the time since this instance received the order, and DurationMs the duration
	// of the order, both in milliseconds.
	ForMs      int64 `json:"for_ms"`
	DurationMs int64 `json:"of_ms"`
	// Leader is the peer address of the instance that decides on the stages. The fields below
	// are set by the leader only: the number of requests that the instances have reported, the
	// number of those sent to new targets, and the log-likelihood ratios of the hypotheses
	// that the new version fails more often and that it is slower.
	Leader     string  `json:"leader"`
	IsLeader   bool    `json:"leads,omitempty"`
	Sent       int     `json:"sent,omitempty"`
	SentNew    int     `json:"sent_new,omitempty"`
	FailureLLR float64 `json:"odds_failing,omitempty"`
	SlowLLR    float64 `json:"odds_slow,omitempty"`
}

// UnavailableTarget is a target that receives no requests, with the cause.
type UnavailableTarget struct {
	Service string              `json:"service"`
	Target  string              `json:"target"`
	Hall    string              `json:"hall"`
	Cause   availability.Cause  `json:"cause"`
	Source  availability.Source `json:"source"`
	// ForMs is the time since the cause was recorded. RemainingMs is the least time until it
	// ends, or 0 if that is unknown. Both are in milliseconds.
	ForMs       int64 `json:"for_ms"`
	RemainingMs int64 `json:"left_ms,omitempty"`
}

// LimitedTarget is a target that has announced a rate limit for all instances together, in requests
// per second. PermitRate and UsedRate are the permits and requests per second of this instance.
type LimitedTarget struct {
	Service   string              `json:"service"`
	Target    string              `json:"target"`
	Hall      string              `json:"hall"`
	PerSecond float64             `json:"limit_per_s"`
	Source    availability.Source `json:"source"`
	ForMs     int64               `json:"for_ms"`
	// Owner is the instance that issues the permits of the limit. It is empty if this instance
	// has not requested any.
	Owner      string  `json:"owner,omitempty"`
	PermitRate float64 `json:"permits_per_s"`
	UsedRate   float64 `json:"sent_per_s"`
}

// HeldRequest is a request, identified by its content, or a client account that is suspected of
// crashing targets. Crashes counts the targets that have crashed under it.
type HeldRequest struct {
	Content      string `json:"content"`
	Crashes      int    `json:"ends"`
	FailedTrials int    `json:"failed_trials"`
	// RemainingMs is the time until the next trial, in milliseconds, or 0 if a trial may be
	// granted now.
	RemainingMs int64 `json:"left_ms,omitempty"`
}

// status returns the current status of the instance.
func (g *Gateway) status() Status {
	now := g.clock.Now()
	s := Status{Instance: g.config.Name, Hall: g.config.Hall, Region: g.config.Region, Ready: g.isReady(), Leaving: g.leaving.Load()}
	if router := g.router.Load(); router != nil {
		s.ConfigVersion = router.Config().Version
	}
	s.Targets, s.Unavailable = g.pools.unavailableTargets(now)
	s.TargetsLost, s.Isolated, s.HallsLost = g.reach.isLost(), g.isIsolated(now), g.reach.halls.status(now)
	s.Limited = g.pools.limitedTargets(now)
	s.Shares = g.pools.shares()
	s.Held = g.quarantine.heldRequests(now)
	s.Rollouts = g.rollouts.statuses(now)
	s.Lookups = g.lookupStatus(now)
	return s
}

// status returns the lost halls in order of their names.
func (h *hallLinks) status(now time.Time) []LostHall {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []LostHall
	for _, hall := range h.tracker.Lost() {
		loss := h.tracker.Loss(hall)
		out = append(out, LostHall{Hall: hall, ForMs: now.Sub(loss.At).Milliseconds(), ByResponse: loss.ByResponse})
	}
	return out
}

// serveStatus writes the status as JSON.
func (g *Gateway) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(w).Encode(g.status())
	if err != nil {
		g.log.Warn(logStatusNotSent, "error", err.Error())
	}
}

// adminHandler returns the handler for operators. It serves the status to GET and HEAD requests for
// StatusPath, and the metrics to all others.
func (g *Gateway) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+StatusPath, g.serveStatus)
	mux.Handle("/", g.metrics.handler())
	return mux
}

// unavailableTargets returns the number of targets of all services, and the targets that currently
// receive no requests.
func (ps *pools) unavailableTargets(now time.Time) (all int, out []UnavailableTarget) {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	for service, p := range ps.pools {
		p.mu.Lock()
		for _, count := range p.upstream.TargetCounts(now) {
			all += count.Targets
		}
		for _, u := range p.upstream.UnavailableTargets(now) {
			t := UnavailableTarget{Service: service, Target: u.ID, Hall: u.Hall, Cause: u.Cause, Source: u.Source}
			if !u.Since.IsZero() {
				t.ForMs = now.Sub(u.Since).Milliseconds()
			}
			if !u.Until.IsZero() {
				t.RemainingMs = u.Until.Sub(now).Milliseconds()
			}
			out = append(out, t)
		}
		p.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b UnavailableTarget) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
	})
	return all, out
}

// limitedTargets returns the targets of all services that have announced a rate limit.
func (ps *pools) limitedTargets(now time.Time) []LimitedTarget {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	var out []LimitedTarget
	for service, p := range ps.pools {
		p.mu.Lock()
		for _, l := range p.upstream.LimitedTargets(now) {
			out = append(out, LimitedTarget{Service: service, Target: l.ID, Hall: l.Hall, PerSecond: l.PerSecond, Source: l.Source,
				ForMs: now.Sub(l.Since).Milliseconds(), Owner: l.Owner, PermitRate: l.PermitRate, UsedRate: l.UsedRate})
		}
		p.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b LimitedTarget) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
	})
	return out
}

// heldRequests returns the requests and client accounts that are suspected or held.
func (h *quarantineState) heldRequests(now time.Time) []HeldRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []HeldRequest
	h.table.ForEachSuspect(now, func(d quarantine.Digest, s quarantine.Status) {
		held := HeldRequest{Content: d.String(), Crashes: s.Crashes, FailedTrials: s.FailedTrials}
		if s.Verdict == quarantine.Held {
			held.RemainingMs = s.Until.Sub(now).Milliseconds()
		}
		out = append(out, held)
	})
	slices.SortFunc(out, func(a, b HeldRequest) int { return cmp.Compare(a.Content, b.Content) })
	return out
}

// statuses returns the status of each service's rollout.
func (rs *rollouts) statuses(now time.Time) []RolloutStatus {
	var out []RolloutStatus
	for _, r := range rs.all() {
		out = append(out, r.status(now))
	}
	slices.SortFunc(out, func(a, b RolloutStatus) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// status returns the status of the rollout.
func (r *serviceRollout) status(now time.Time) RolloutStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	order, stage := r.follower.Order(), r.follower.Stage()
	split, _ := r.follower.Split(now)
	s := RolloutStatus{Service: order.Service, Version: order.Version, State: r.record.State, Stage: stage.Phase.String(), Share: split.KeyShare * split.RequestShare,
		Reason: stage.Reason, ForMs: now.Sub(r.follower.StartedAt()).Milliseconds(), DurationMs: order.Duration.Milliseconds(), Leader: stage.Leader, IsLeader: r.leader != nil}
	if r.leader != nil {
		opinion := r.leader.Assessment()
		s.Sent, s.SentNew = r.leader.Counts()
		s.FailureLLR, s.SlowLLR = opinion.FailureLLR, opinion.SlowLLR
	}
	return s
}
