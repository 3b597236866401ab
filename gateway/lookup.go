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
	// maxAddresses bounds the addresses of an answer.
	maxAddresses = 64
	// minHallInstances is the least number of instances in a hall for which its clients are
	// told of these alone, and enoughShare the least part of those that it is known to
	// have: what remains of a hall would have to carry the clients of all.
	minHallInstances = 2
	minHallFraction  = 0.5
	// discoveryTime is the time from its start on for which an instance takes others that it
	// has not heard of, or that are not ready yet, to be there: when all have started
	// together it hears of them one by one, and clients that are told of the first few
	// alone overwhelm them.
	discoveryTime = 8 * fleet.RoundTime
	// lookupCacheTTL is how long a prepared answer is used.
	lookupCacheTTL = 200 * time.Millisecond
)

// lookupCache holds the prepared answers by hall.
type lookupCache struct {
	mu      sync.Mutex
	answers map[string]lookupEntry
}

type lookupEntry struct {
	body      []byte
	createdAt time.Time
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

// addressesFor returns the instances that clients of a hall should use: those of
// the hall, those of its region too if there are few, and others only if the
// region has none. Learning is set while this instance can't tell who is there.
func addressesFor(members []fleet.Status, region, hall string, learning bool) []string {
	var same, near, far []string
	known := 0
	for _, m := range members {
		if m.Hall == hall {
			known++
		}
		switch {
		case !m.Serves() && !(learning && mayServe(m)):
		case m.Hall == hall:
			same = append(same, m.FrontAddr)
		case m.Region == region:
			near = append(near, m.FrontAddr)
		default:
			far = append(far, m.FrontAddr)
		}
	}
	out := same
	if len(out) < minHallInstances || float64(len(out)) < minHallFraction*float64(known) {
		out = append(out, near...)
	}
	if len(out) == 0 {
		out = far
	}
	return sampleAddresses(out)
}

// mayServe tells whether a member may be there, as far as an instance can tell that has just
// started.
func mayServe(m fleet.Status) bool { return m.State == fleet.Unknown || m.State == fleet.Alive }

// sampleAddresses returns at most maxAddresses of the addresses, other ones for each caller, in
// order.
func sampleAddresses(addrs []string) []string {
	if len(addrs) > maxAddresses {
		rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
		addrs = addrs[:maxAddresses]
	}
	sort.Strings(addrs)
	return addrs
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
