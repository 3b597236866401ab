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
	// version counts the changes.
	version int
}

func (q *quotas) setRate(rate float64) {
	q.rate = rate
	q.version++
}

func (q *quotas) setMembers(members map[string][]string) {
	q.members = members
	q.version++
}

// quota is what this instance may send to a target in any second while it is cold.
type quota struct {
	requests int
	// version and hall are those for which requests was computed.
	version int
	hall    string
}

// quotaNow returns the quota of the target as things stand.
func (t *target) quotaNow() int {
	if t.quota == nil || t.quota.version != t.quotas.version || t.quota.hall != t.spec.Hall {
		t.quota = &quota{
			requests: warmup.Quota(t.quotas.self, t.spec.ID, t.quotas.members[t.spec.Hall], t.quotas.rate),
			version:  t.quotas.version,
			hall:     t.spec.Hall,
		}
	}
	return t.quota.requests
}
