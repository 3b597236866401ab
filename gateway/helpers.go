package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rainford/rainford/fleet"
)

const (
	// helperListTTL is how long a list of helpers is used.
	helperListTTL = 100 * time.Millisecond
	// unreachableHelperPause is how long no request is handed over to an instance that could not be
	// reached or reaches no target itself, and fullHelperPause to one that had no room.
	unreachableHelperPause = time.Second
	fullHelperPause        = 200 * time.Millisecond
)

// helpers chooses the instances to which requests are handed over. It is safe for concurrent use.
type helpers struct {
	// region and hall are those of this instance. list returns the other instances.
	region, hall string
	list         func() []fleet.Status

	mu       sync.Mutex
	listed   []fleet.Status
	listedAt time.Time
	// pausedUntil holds the helpers that get no requests until a time, by name.
	pausedUntil map[string]time.Time
	// handedOver is the number of requests that each helper has from this instance.
	handedOver map[string]int
}

func newHelpers(region, hall string, list func() []fleet.Status) *helpers {
	return &helpers{region: region, hall: hall, list: list, pausedUntil: make(map[string]time.Time), handedOver: make(map[string]int)}
}

// acquire chooses a helper for a request that may run in the given regions, or in any if there are
// none. It prefers the own region. Of two helpers drawn at random it takes the one with fewer requests
// of this instance, and of equal ones that of the own hall. After the request, release must be called.
// The result is false if there is no helper.
func (h *helpers) acquire(now time.Time, regions []string, tried map[string]bool) (fleet.Member, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.listedAt) >= helperListTTL {
		h.listed, h.listedAt = h.list(), now
	}
	var near, far []fleet.Member
	for _, s := range h.listed {
		switch {
		case !s.ReachesTargets() || tried[s.Name] || !allowsRegion(regions, s.Region) || now.Before(h.pausedUntil[s.Name]):
		case s.Region == h.region:
			near = append(near, s.Member)
		default:
			far = append(far, s.Member)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return fleet.Member{}, false
	}
	chosen := h.better(near[rand.IntN(len(near))], near[rand.IntN(len(near))])
	h.handedOver[chosen.Name]++
	return chosen, true
}

// allowsRegion reports whether a request that may run in the given regions, or in any if there are none,
// may be passed to an instance of a region.
func allowsRegion(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// better returns the helper with fewer requests of this instance. The caller holds mu.
func (h *helpers) better(a, b fleet.Member) fleet.Member {
	switch n, m := h.handedOver[a.Name], h.handedOver[b.Name]; {
	case n < m, n == m && a.Hall == h.hall:
		return a
	default:
		return b
	}
}

// release ends the use of a helper, and pauses it for the given time.
func (h *helpers) release(now time.Time, name string, pause time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handedOver[name]--
	if h.handedOver[name] <= 0 {
		delete(h.handedOver, name)
	}
	if pause > 0 {
		h.pausedUntil[name] = now.Add(pause)
	}
}
