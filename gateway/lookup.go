package gateway

import (
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/rainford/rainford/fleet"
)

const (
	// maxAddresses bounds the addresses in a lookup response.
	maxAddresses = 64
	// The clients of a hall are directed to the instances of that hall alone if at least
	// minHallInstances of them serve, and at least the fraction minHallFraction of the hall's known
	// instances. Otherwise the few remaining instances would have to carry the load of the whole
	// hall.
	minHallInstances = 2
	minHallFraction  = 0.5
	// discoveryTime is the time after its start during which an instance assumes that unknown and
	// unready instances serve. When all instances start together, each discovers the others one by
	// one. If clients were directed only to the first few that are known, these would be
	// overloaded.
	discoveryTime = 8 * fleet.RoundTime
	// lookupCacheTTL is how long a cached lookup response is used.
	lookupCacheTTL = 200 * time.Millisecond
)

// lookupCache holds lookup responses by hall.
type lookupCache struct {
	mu      sync.Mutex
	answers map[string]lookupEntry
}

type lookupEntry struct {
	body      []byte
	createdAt time.Time
}

// serveLookup returns the addresses of the instances that a client should use.
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
	now := g.clock.Now()
	g.lookups.mu.Lock()
	defer g.lookups.mu.Unlock()
	entry, ok := g.lookups.answers[hall]
	if ok && now.Sub(entry.createdAt) < lookupCacheTTL {
		return entry.body
	}
	g.mu.Lock()
	addrs := addressesFor(g.view.All(now), region, hall, now.Sub(g.startedAt) < discoveryTime)
	g.mu.Unlock()
	body, err := g.codec.LookupAnswer(addrs, g.config.LookupTTL)
	if err != nil {
		return nil
	}
	if g.lookups.answers == nil {
		g.lookups.answers = make(map[string]lookupEntry)
	}
	g.lookups.answers[hall] = lookupEntry{body: body, createdAt: now}
	return body
}

// addressesFor returns the addresses of the instances that clients of a hall should use: those of
// the hall, also those of its region if the hall has few, and those of other regions only if the
// region has none. discovering is true while this instance is still discovering the others.
func addressesFor(members []fleet.Status, region, hall string, discovering bool) []string {
	var sameHall, sameRegion, otherRegions []string
	knownInHall := 0
	for _, m := range members {
		if m.Hall == hall {
			knownInHall++
		}
		switch {
		case !m.Serves() && !(discovering && mayServe(m)):
		case m.Hall == hall:
			sameHall = append(sameHall, m.FrontAddr)
		case m.Region == region:
			sameRegion = append(sameRegion, m.FrontAddr)
		default:
			otherRegions = append(otherRegions, m.FrontAddr)
		}
	}
	out := sameHall
	if len(out) < minHallInstances || float64(len(out)) < minHallFraction*float64(knownInHall) {
		out = append(out, sameRegion...)
	}
	if len(out) == 0 {
		out = otherRegions
	}
	return sampleAddresses(out)
}

// mayServe reports whether a member may be serving, as far as an instance that has just started can
// know.
func mayServe(m fleet.Status) bool { return m.State == fleet.Unknown || m.State == fleet.Alive }

// sampleAddresses returns a random sample of at most maxAddresses addresses, sorted.
func sampleAddresses(addrs []string) []string {
	if len(addrs) > maxAddresses {
		rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
		addrs = addrs[:maxAddresses]
	}
	sort.Strings(addrs)
	return addrs
}

// serveReady handles the platform's readiness checks.
func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case !g.codec.IsReady(r):
		w.WriteHeader(http.StatusNotFound)
	case !g.isReady() || g.leaving.Load():
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
