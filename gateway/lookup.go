package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/rainford/rainford/endpoints"
	"github.com/rainford/rainford/fleet"
)

const (
	// discoveryTime is the time after its start during which an instance assumes that unknown and
	// unready instances serve. When all instances start together, each discovers the others one by
	// one. If clients were directed only to the first few that are known, these would be
	// overloaded.
	discoveryTime = 8 * fleet.RoundTime
	// lookupCacheTTL is how long a cached lookup response is used.
	lookupCacheTTL = 200 * time.Millisecond
	// maxCachedLookups bounds the cached responses. Clients may state any hall.
	maxCachedLookups = 128
)

// lookupCache holds lookup responses by the client's hall and region.
type lookupCache struct {
	mu        sync.Mutex
	responses map[endpoints.Query]*cachedLookup
}

// cachedLookup is a lookup response with the number of clients that it was sent to.
type cachedLookup struct {
	endpoints.Response
	body      []byte
	createdAt time.Time
	served    int64
}

// serveLookup returns the addresses of the instances that a client should use.
func (g *Gateway) serveLookup(w http.ResponseWriter, r *http.Request) {
	region, hall, ok := g.codec.Lookup(r)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body := g.lookup(endpoints.Query{Region: region, Hall: hall})
	if body == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// lookup returns the encoded response to a client of a hall, or nil if no instance is known to serve.
func (g *Gateway) lookup(q endpoints.Query) []byte {
	now := g.clock.Now()
	g.lookups.mu.Lock()
	defer g.lookups.mu.Unlock()
	cached := g.lookups.responses[q]
	if cached == nil || now.Sub(cached.createdAt) >= lookupCacheTTL {
		next := g.newLookup(now, q)
		if next == nil {
			return nil
		}
		g.replaceLookup(q, cached, next)
		cached = next
	}
	cached.served++
	return cached.body
}

// newLookup returns the response to clients of a hall at the given time, or nil if there is none. An instance
// that has just started, is not ready and does not know the others yet would send all clients of its hall to
// itself.
func (g *Gateway) newLookup(now time.Time, q endpoints.Query) *cachedLookup {
	if !g.isReady() && !g.readiness.instancesLoaded.Load() && now.Sub(g.startedAt) < discoveryTime {
		return nil
	}
	response := g.chooseEndpoints(now, q)
	body, err := g.codec.LookupAnswer(response.Addresses, g.config.LookupTTL)
	if err != nil {
		return nil
	}
	return &cachedLookup{Response: response, body: body, createdAt: now}
}

// replaceLookup replaces a cached response, which may be nil. It counts the addresses that clients
// received by it, and logs a change of the composition. The caller holds the lock of the cache.
func (g *Gateway) replaceLookup(q endpoints.Query, old, next *cachedLookup) {
	if g.lookups.responses == nil {
		g.lookups.responses = make(map[endpoints.Query]*cachedLookup)
	}
	if old == nil && len(g.lookups.responses) >= maxCachedLookups {
		for _, evicted := range g.lookups.responses {
			g.metrics.lookup(evicted)
		}
		clear(g.lookups.responses)
	}
	before := endpoints.OwnHall
	if old != nil {
		g.metrics.lookup(old)
		before = old.Composition
	}
	g.lookups.responses[q] = next
	if _, known := g.config.RegionOf[q.Hall]; known && next.Composition != before {
		g.log.Log(context.Background(), compositionLevel(next.Composition), logLookupComposition, "hall", q.Hall, "composition", next.Composition,
			"before", before, "same_hall", next.SameHall, "same_region", next.SameRegion, "other_region", next.OtherRegion)
	}
}

// compositionLevel returns the level at which a new composition is logged.
func compositionLevel(c endpoints.Composition) slog.Level {
	if c == endpoints.Isolated || c == endpoints.OtherRegions {
		return slog.LevelWarn
	}
	return slog.LevelInfo
}

// chooseEndpoints returns the addresses for clients of a hall.
func (g *Gateway) chooseEndpoints(now time.Time, q endpoints.Query) endpoints.Response {
	isolated := g.isIsolated(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	state := endpoints.State{
		Addr:        g.view.Self().FrontAddr,
		Hall:        g.config.Hall,
		Discovering: now.Sub(g.startedAt) < discoveryTime,
		Isolated:    isolated,
	}
	g.endpoints = g.endpoints[:0]
	g.view.Each(now, func(m fleet.Status) { g.endpoints = append(g.endpoints, endpointOf(m)) })
	return endpoints.Choose(now, q, g.endpoints, state)
}

// endpointOf returns a member as a candidate for lookup responses.
func endpointOf(m fleet.Status) endpoints.Instance {
	return endpoints.Instance{
		Addr:       m.FrontAddr,
		Hall:       m.Hall,
		Region:     m.Region,
		Capacity:   m.Capacity,
		Overloaded: m.Flags&fleet.Overloaded != 0,
		Serves:     m.Serves(),
		MayServe:   m.State == fleet.Unknown || m.State == fleet.Alive,
		ServedLast: m.Flags&fleet.Ready != 0 && m.Flags&fleet.Leaving == 0,
		HeardAt:    m.HeardAt,
	}
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
