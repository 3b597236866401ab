package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/reach"
	"github.com/rainford/rainford/upstream"
)

// healthTimeout is how long a check by response waits for a target to respond to a health request over a
// new connection.
const healthTimeout = 400 * time.Millisecond

// checkedTarget returns a chosen target in the form of those that checks connect to.
func checkedTarget(c upstream.Choice) reach.Target {
	return reach.Target{ID: c.ID, Addr: c.Addr, Hall: c.Hall}
}

// targetOf returns a listed target in the form of those that checks connect to.
func targetOf(spec *catalog.Target) reach.Target {
	return reach.Target{ID: spec.ID, Addr: spec.Addr, Hall: spec.Hall}
}

// connectTo opens a connection to a target for a check, and keeps it for a request.
func (g *Gateway) connectTo(t reach.Target) error {
	return g.targets.Preconnect(t.ID, t.Addr, checkTimeout)
}

// checkHealth sends a health request to a target. A target of a service without a health path is taken for
// responding: any other path might be run as a request.
func (g *Gateway) checkHealth(t reach.Target) error {
	path := g.healthPath(t.ID)
	if path == "" {
		return nil
	}
	return g.targets.CheckHealth(t.Addr, path, healthTimeout)
}

// healthPath returns the path of the health check of a target, or "" if there is none.
func (g *Gateway) healthPath(id string) string {
	router := g.router.Load()
	if router == nil {
		return ""
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, spec := range g.targetList.specs {
		if spec.ID == id {
			return router.Config().Services[spec.Service].HealthPath
		}
	}
	return ""
}

// tryAny tries targets, all at the same time, until one succeeds, and returns that. If none does, it
// returns the last error.
func tryAny(targets []reach.Target, try func(reach.Target) error) (reach.Target, error) {
	type result struct {
		target reach.Target
		err    error
	}
	results := make(chan result, len(targets))
	for _, t := range targets {
		go func() { results <- result{t, try(t)} }()
	}
	var last result
	for range targets {
		last = <-results
		if last.err == nil {
			break
		}
	}
	return last.target, last.err
}

// sampleTargets returns up to n targets that are in service by the list, chosen at random from as many
// halls as possible. If there are enough, the first is one of the own hall: an instance whose hall is cut
// off reaches only that hall, and has not lost all targets.
func (g *Gateway) sampleTargets(n int) []reach.Target {
	byHall := g.targetsByHall()
	halls := make([]string, 0, len(byHall))
	for hall, targets := range byHall {
		halls = append(halls, hall)
		rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	}
	rand.Shuffle(len(halls), func(i, j int) { halls[i], halls[j] = halls[j], halls[i] })
	if own := slices.Index(halls, g.config.Hall); own >= 0 && n > reach.ProbeTargets {
		halls[0], halls[own] = halls[own], halls[0]
	}
	var out []reach.Target
	for place := 0; len(out) < n; place++ {
		before := len(out)
		for _, hall := range halls {
			if place < len(byHall[hall]) && len(out) < n {
				out = append(out, byHall[hall][place])
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}

// sampleHall returns up to n targets of a hall that are in service by the list, chosen at random.
func (g *Gateway) sampleHall(hall string, n int) []reach.Target {
	targets := g.targetsByHall()[hall]
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(n, len(targets))]
}

// targetsByHall returns the targets that are in service by the list.
func (g *Gateway) targetsByHall() map[string][]reach.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[string][]reach.Target)
	for _, spec := range g.targetList.specs {
		if !spec.Leaving && !g.evacuated[spec.Hall] {
			out[spec.Hall] = append(out[spec.Hall], targetOf(spec))
		}
	}
	return out
}

// updateHallSizes sets the numbers of targets of the halls. The caller holds mu.
func (g *Gateway) updateHallSizes() {
	sizes := make(map[string]int)
	for _, spec := range g.targetList.specs {
		if !spec.Leaving && !g.evacuated[spec.Hall] {
			sizes[spec.Hall]++
		}
	}
	g.reach.halls.setSizes(sizes)
}

// signal wakes the receiver of a channel with room for one element.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// awaitSignal waits for a signal or the end of ctx.
func awaitSignal(ctx context.Context, c <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-c:
	}
}

// awaitSignalFor is like awaitSignal, but waits at most for the given time.
func awaitSignalFor(ctx context.Context, c <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c:
	case <-timer.C:
	}
}
