package upstream

import "github.com/rainford/rainford/warmup"

// quotas divide what cold targets bear among the instances of their halls. The quota of a
// target takes a sort of its hall's instances, so it is computed only while the target is
// cold, and again only after a change of what it depends on.
type quotas struct {
	self string
	// rate is the number of requests a second that a cold target bears.
	rate float64
	// members are the names of the instances known in each hall.
	members map[string][]string
	// generation counts the changes.
	generation int
}

func (q *quotas) setRate(rate float64) {
	q.rate = rate
	q.generation++
}

func (q *quotas) setMembers(members map[string][]string) {
	q.members = members
	q.generation++
}

// quota is what this instance may send to a target in any second while it is cold.
type quota struct {
	requests int
	// generation and hall are those for which requests was computed.
	generation int
	hall       string
}

// currentQuota returns the quota of the target as things stand.
func (t *target) currentQuota() int {
	if t.quota == nil || t.quota.generation != t.quotas.generation || t.quota.hall != t.spec.Hall {
		t.quota = &quota{
			requests:   warmup.Quota(t.quotas.self, t.spec.ID, t.quotas.members[t.spec.Hall], t.quotas.rate),
			generation: t.quotas.generation,
			hall:       t.spec.Hall,
		}
	}
	return t.quota.requests
}
