package upstream

import "github.com/rainford/rainford/warmup"

// quotas divides the warm-up rate of cold targets among the instances of their halls. Computing the
// quota of a target sorts the instances of its hall. It is therefore computed only while the target
// is cold, and again only after one of its inputs changed.
type quotas struct {
	self string
	// rate is the number of requests per second that a cold target admits.
	rate float64
	// members holds the names of the known instances by hall.
	members map[string][]string
	// generation counts the changes of the inputs.
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

// quota is the number of requests that this instance may send to a cold target within any second.
type quota struct {
	requests int
	// generation and hall are the inputs for which requests was computed.
	generation int
	hall       string
}

// currentQuota returns the quota of the target for the current inputs.
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
