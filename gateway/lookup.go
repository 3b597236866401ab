package gateway

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/rainford/rainford/fleet"
)

const (
	// maxAddresses bounds the addresses of an answer.
	maxAddresses = 64
	// enoughNear is the number of instances in a hall from which on its
	// clients are told of these alone.
	enoughNear = 2
	// lookupLife is how long a prepared answer is used.
	lookupLife = 200 * time.Millisecond
)

// lookupCache holds the prepared answers by hall.
type lookupCache struct {
	mu      sync.Mutex
	answers map[string]lookupEntry
}

type lookupEntry struct {
	body []byte
	made time.Time
}

// serveLookup answers clients that ask where to go.
func (g *Gateway) serveLookup(w http.ResponseWriter, r *http.Request) {
	region, hall, ok := g.codec.Lookup(r)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body := g.lookup(region, hall)
	if body == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (g *Gateway) lookup(region, hall string) []byte {
	now := time.Now()
	g.lookups.mu.Lock()
	defer g.lookups.mu.Unlock()
	entry, ok := g.lookups.answers[hall]
	if ok && now.Sub(entry.made) < lookupLife {
		return entry.body
	}
	g.mu.Lock()
	addrs := addressesFor(g.view.All(now), region, hall)
	g.mu.Unlock()
	body, err := g.codec.LookupAnswer(addrs, g.config.LookupTTL)
	if err != nil {
		return nil
	}
	if g.lookups.answers == nil {
		g.lookups.answers = make(map[string]lookupEntry)
	}
	g.lookups.answers[hall] = lookupEntry{body: body, made: now}
	return body
}

// addressesFor returns the instances that clients of a hall should use: those of
// the hall, those of its region too if there are few, and others only if the
// region has none.
func addressesFor(members []fleet.Status, region, hall string) []string {
	var same, near, far []string
	for _, m := range members {
		switch {
		case !m.Serves():
		case m.Hall == hall:
			same = append(same, m.FrontAddr)
		case m.Region == region:
			near = append(near, m.FrontAddr)
		default:
			far = append(far, m.FrontAddr)
		}
	}
	out := same
	if len(out) < enoughNear {
		out = append(out, near...)
	}
	if len(out) == 0 {
		out = far
	}
	sort.Strings(out)
	return out[:min(len(out), maxAddresses)]
}

// serveReady answers the platform's readiness checks.
func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case !g.codec.IsReady(r):
		w.WriteHeader(http.StatusNotFound)
	case !g.isReady() || g.leaving.Load():
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
