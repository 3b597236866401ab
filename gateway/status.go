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

// Status is what an instance tells operators of itself.
type Status struct {
	Instance      string          `json:"instance"`
	Hall          string          `json:"hall"`
	Region        string          `json:"region"`
	ConfigVersion catalog.Version `json:"configuration"`
	Ready         bool            `json:"ready"`
	Leaving       bool            `json:"leaving"`
	// Targets is the number of targets known, and Unavailable those that get nothing now.
	Targets     int                 `json:"targets"`
	Unavailable []UnavailableTarget `json:"unavailable"`
	// Limited are the targets that name how much they take.
	Limited []LimitedTarget `json:"limited"`
	// Held are the requests and accounts that are not sent like others.
	Held []HeldRequest `json:"held"`
	// Rollouts are the versions of services that are, or were, brought in by order.
	Rollouts []RolloutStatus `json:"rollouts,omitempty"`
}

// RolloutStatus is how a version of a service is brought in, as far as an instance knows.
type RolloutStatus struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// State is what the store holds, and Stage what the instance does: Share is the part of the
	// requests that it sends to new targets, if keys are alike.
	State  rollout.State  `json:"state"`
	Stage  string         `json:"stage"`
	Share  float64        `json:"share"`
	Reason rollout.Reason `json:"why,omitempty"`
	// ForMs is the time since the order was first known, and OfMs the order's duration.
	ForMs      int64 `json:"for_ms"`
	DurationMs int64 `json:"of_ms"`
	// Leader is the peer address of the instance that decides. What follows is told by it alone:
	// the numbers of requests that the instances have reported, those sent to new targets, and the
	// logarithms of the odds that the version fails more often and is slower.
	Leader     string  `json:"leader"`
	IsLeader   bool    `json:"leads,omitempty"`
	Sent       int     `json:"sent,omitempty"`
	SentNew    int     `json:"sent_new,omitempty"`
	FailureLLR float64 `json:"odds_failing,omitempty"`
	SlowLLR    float64 `json:"odds_slow,omitempty"`
}

// UnavailableTarget is a target that gets nothing, and why.
type UnavailableTarget struct {
	Service string              `json:"service"`
	Target  string              `json:"target"`
	Hall    string              `json:"hall"`
	Cause   availability.Cause  `json:"cause"`
	Source  availability.Source `json:"source"`
	// ForMs is for how long that is known, and LeftMs how much longer it lasts at least, 0 if
	// nobody can tell.
	ForMs       int64 `json:"for_ms"`
	RemainingMs int64 `json:"left_ms,omitempty"`
}

// LimitedTarget is a target that names how many requests a second it takes from all instances
// together. What is got and used is this instance's part.
type LimitedTarget struct {
	Service   string              `json:"service"`
	Target    string              `json:"target"`
	Hall      string              `json:"hall"`
	PerSecond float64             `json:"limit_per_s"`
	Source    availability.Source `json:"source"`
	ForMs     int64               `json:"for_ms"`
	// Owner is the instance that issues the permits, as far as one was asked here.
	Owner      string  `json:"owner,omitempty"`
	PermitRate float64 `json:"permits_per_s"`
	UsedRate   float64 `json:"sent_per_s"`
}

// HeldRequest is a request, by its content, or an account that is not sent like others.
type HeldRequest struct {
	Content      string `json:"content"`
	Crashes      int    `json:"ends"`
	FailedTrials int    `json:"failed_trials"`
	// RemainingMs is the time until a trial may be granted, 0 if one may now.
	RemainingMs int64 `json:"left_ms,omitempty"`
}

// status returns the instance's status.
func (g *Gateway) status() Status {
	now := g.clock.Now()
	s := Status{Instance: g.config.Name, Hall: g.config.Hall, Region: g.config.Region, Ready: g.isReady(), Leaving: g.leaving.Load()}
	if router := g.router.Load(); router != nil {
		s.ConfigVersion = router.Config().Version
	}
	s.Targets, s.Unavailable = g.pools.unavailableTargets(now)
	s.Limited = g.pools.limitedTargets(now)
	s.Held = g.quarantine.heldRequests(now)
	s.Rollouts = g.rollouts.statuses(now)
	return s
}

// serveStatus answers an operator who asks for the status.
func (g *Gateway) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(w).Encode(g.status())
	if err != nil {
		g.log.Warn(logStatusNotSent, "error", err.Error())
	}
}

// adminHandler answers operators: the status on its path, the metrics on any other.
func (g *Gateway) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+StatusPath, g.serveStatus)
	mux.Handle("/", g.metrics.handler())
	return mux
}

// unavailableTargets returns the number of targets of all services, and those that get nothing now.
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

// limitedTargets returns the targets of all services that name how much they take.
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

// heldRequests returns the requests and accounts that are not free.
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

// statuses returns all rollouts.
func (rs *rollouts) statuses(now time.Time) []RolloutStatus {
	var out []RolloutStatus
	for _, r := range rs.all() {
		out = append(out, r.status(now))
	}
	slices.SortFunc(out, func(a, b RolloutStatus) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

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
