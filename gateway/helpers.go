package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/forward"
)

const (
	// helperListTTL is how long a list of helpers is used.
	helperListTTL = 100 * time.Millisecond
	// unreachableHelperPause is how long no request is handed over to an instance that could not be
	// reached or reaches no target itself, and fullHelperPause to one that had no room.
	unreachableHelperPause = time.Second
	fullHelperPause        = 200 * time.Millisecond
	// helperDialTime is the longest time that opening a connection to a helper may take. It takes up to
	// 120 ms between regions. A helper that is cut off counts as alive for some seconds, and a request
	// should not wait for it.
	helperDialTime = 250 * time.Millisecond
)

// dialHelper returns the way in which connections to helpers are opened.
func dialHelper(dial forward.Dialer) forward.Dialer {
	return func(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
		return dial(ctx, addr, min(timeout, helperDialTime))
	}
}

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
	// hallPausedUntil holds the halls whose helpers get no requests until a time.
	hallPausedUntil map[string]time.Time
	// handedOver is the number of requests that each helper has from this instance.
	handedOver map[string]int
}

func newHelpers(region, hall string, list func() []fleet.Status) *helpers {
	return &helpers{region: region, hall: hall, list: list, pausedUntil: make(map[string]time.Time), hallPausedUntil: make(map[string]time.Time), handedOver: make(map[string]int)}
}

// acquire chooses a helper for a request that may run in the given regions, or in any if there are
// none. It prefers helpers that reach all halls, and takes no others if onlyWhole is set; then those of the
// own region. Of two helpers drawn at random it takes the one with fewer requests of this instance, and of
// equal ones that of the own hall. After the request, release must be called. The result is false if there
// is no helper.
func (h *helpers) acquire(now time.Time, regions []string, tried map[string]bool, onlyWhole bool) (fleet.Member, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.listedAt) >= helperListTTL {
		h.listed, h.listedAt = h.list(), now
	}
	// The groups, in the order of preference, are near and far helpers that reach all halls, and near and
	// far ones that do not.
	var groups [4][]fleet.Member
	for _, s := range h.listed {
		if !s.ReachesTargets() || tried[s.Name] || !allowsRegion(regions, s.Region) || h.isPaused(now, s.Member) {
			continue
		}
		group := 0
		if s.Region != h.region {
			group++
		}
		if !s.ReachesAllHalls() {
			group += 2
		}
		groups[group] = append(groups[group], s.Member)
	}
	for i, group := range groups {
		if len(group) == 0 || i >= 2 && onlyWhole {
			continue
		}
		chosen := h.better(group[rand.IntN(len(group))], group[rand.IntN(len(group))])
		h.handedOver[chosen.Name]++
		return chosen, true
	}
	return fleet.Member{}, false
}

// isPaused reports whether a helper or its hall gets no requests now. The caller holds mu.
func (h *helpers) isPaused(now time.Time, m fleet.Member) bool {
	return now.Before(h.pausedUntil[m.Name]) || now.Before(h.hallPausedUntil[m.Hall])
}

// pauseHall makes the helpers of a hall get no requests for unreachableHelperPause.
func (h *helpers) pauseHall(now time.Time, hall string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hallPausedUntil[hall] = now.Add(unreachableHelperPause)
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
