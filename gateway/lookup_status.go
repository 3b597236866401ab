package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/rainford/rainford/endpoints"
	"github.com/rainford/rainford/fleet"
)

// LookupStatus is the response to look-ups of clients of the instance's own hall.
type LookupStatus struct {
	Composition endpoints.Composition `json:"composition"`
	// Entries lists the named instances, those of the own hall first.
	Entries []LookupEntry `json:"entries"`
}

// LookupEntry is an instance that a response names. Clients choose it with a probability in proportion
// to Entries.
type LookupEntry struct {
	Instance string `json:"instance"`
	Hall     string `json:"hall"`
	Entries  int    `json:"entries"`
	// CapacityPerSecond is in requests per second, or 0 if it is unknown.
	CapacityPerSecond int  `json:"capacity_per_s,omitempty"`
	Overloaded        bool `json:"overloaded,omitempty"`
}

// lookupStatus returns the response for clients of the own hall.
func (g *Gateway) lookupStatus(now time.Time) LookupStatus {
	response := g.chooseEndpoints(now, endpoints.Query{Region: g.config.Region, Hall: g.config.Hall})
	g.mu.Lock()
	members := g.view.All(now)
	g.mu.Unlock()
	named := make(map[string]int)
	for _, addr := range response.Addresses {
		named[addr]++
	}
	out := LookupStatus{Composition: response.Composition}
	for _, m := range members {
		if n := named[m.FrontAddr]; n > 0 {
			out.Entries = append(out.Entries, LookupEntry{Instance: m.Name, Hall: m.Hall, Entries: n, CapacityPerSecond: m.Capacity, Overloaded: m.Flags&fleet.Overloaded != 0})
		}
	}
	slices.SortStableFunc(out.Entries, func(a, b LookupEntry) int {
		return cmp.Or(g.hallRank(a.Hall)-g.hallRank(b.Hall), cmp.Compare(a.Hall, b.Hall))
	})
	return out
}

// hallRank orders the own hall before others.
func (g *Gateway) hallRank(hall string) int {
	if hall == g.config.Hall {
		return 0
	}
	return 1
}
