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
)

// StatusPath is the path of an instance's status on its admin address.
const StatusPath = "/status"

// Status is what an instance tells operators of itself.
type Status struct {
	Instance string          `json:"instance"`
	Hall     string          `json:"hall"`
	Region   string          `json:"region"`
	Version  catalog.Version `json:"configuration"`
	Ready    bool            `json:"ready"`
	Leaving  bool            `json:"leaving"`
	// Targets is the number of targets known, and Unavailable those that get nothing now.
	Targets     int                 `json:"targets"`
	Unavailable []UnavailableTarget `json:"unavailable"`
	// Limited are the targets that name how much they take.
	Limited []LimitedTarget `json:"limited"`
	// Held are the requests and accounts that are not sent like others.
	Held []HeldRequest `json:"held"`
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
	ForMs  int64 `json:"for_ms"`
	LeftMs int64 `json:"left_ms,omitempty"`
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
	Owner string  `json:"owner,omitempty"`
	Got   float64 `json:"permits_per_s"`
	Used  float64 `json:"sent_per_s"`
}

// HeldRequest is a request, by its content, or an account that is not sent like others.
type HeldRequest struct {
	Content string `json:"content"`
	Ends    int    `json:"ends"`
	Failed  int    `json:"failed_trials"`
	// LeftMs is the time until a trial may be granted, 0 if one may now.
	LeftMs int64 `json:"left_ms,omitempty"`
}

// status returns the instance's status.
func (g *Gateway) status() Status {
	now := g.clock.Now()
	s := Status{Instance: g.config.Name, Hall: g.config.Hall, Region: g.config.Region, Ready: g.isReady(), Leaving: g.leaving.Load()}
	if router := g.router.Load(); router != nil {
		s.Version = router.Config().Version
	}
	s.Targets, s.Unavailable = g.pools.unavailable(now)
	s.Limited = g.pools.limited(now)
	s.Held = g.holds.list(now)
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

// unavailable returns the number of targets of all services, and those that get nothing now.
func (ps *pools) unavailable(now time.Time) (all int, out []UnavailableTarget) {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	for service, p := range ps.pools {
		p.mu.Lock()
		for _, count := range p.upstream.Census(now) {
			all += count.Targets
		}
		for _, u := range p.upstream.Unavailable(now) {
			t := UnavailableTarget{Service: service, Target: u.ID, Hall: u.Hall, Cause: u.Cause, Source: u.Source}
			if !u.Since.IsZero() {
				t.ForMs = now.Sub(u.Since).Milliseconds()
			}
			if !u.Until.IsZero() {
				t.LeftMs = u.Until.Sub(now).Milliseconds()
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

// limited returns the targets of all services that name how much they take.
func (ps *pools) limited(now time.Time) []LimitedTarget {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	var out []LimitedTarget
	for service, p := range ps.pools {
		p.mu.Lock()
		for _, l := range p.upstream.Limited(now) {
			out = append(out, LimitedTarget{Service: service, Target: l.ID, Hall: l.Hall, PerSecond: l.PerSecond, Source: l.Source,
				ForMs: now.Sub(l.Since).Milliseconds(), Owner: l.Owner, Got: l.Got, Used: l.Used})
		}
		p.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b LimitedTarget) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
	})
	return out
}

// list returns the requests and accounts that are not free.
func (h *holds) list(now time.Time) []HeldRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []HeldRequest
	h.table.Suspected(now, func(d quarantine.Digest, s quarantine.Standing) {
		held := HeldRequest{Content: d.String(), Ends: s.Ends, Failed: s.Failed}
		if s.Verdict == quarantine.Held {
			held.LeftMs = s.Until.Sub(now).Milliseconds()
		}
		out = append(out, held)
	})
	slices.SortFunc(out, func(a, b HeldRequest) int { return cmp.Compare(a.Content, b.Content) })
	return out
}
