package backend

import "sync"

// Runs counts the requests run, in total and by idempotency key. Several targets may share one Runs. It is
// safe for concurrent use.
type Runs struct {
	mu    sync.Mutex
	byKey map[string]int
	total int
}

// NewRuns returns a Runs whose counts are zero.
func NewRuns() *Runs { return &Runs{byKey: make(map[string]int)} }

func (r *Runs) add(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if key != "" {
		r.byKey[key]++
	}
}

// Count returns the number of requests run under an idempotency key.
func (r *Runs) Count(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byKey[key]
}

// Duplicates returns the number of idempotency keys under which more than one request ran.
func (r *Runs) Duplicates() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, count := range r.byKey {
		if count > 1 {
			n++
		}
	}
	return n
}

// Summary holds the counts in the form that the control interface returns.
type Summary struct {
	Total int            `json:"total"`
	Keys  map[string]int `json:"keys"`
}

// Summary returns a copy of the counts.
func (r *Runs) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Summary{Total: r.total, Keys: make(map[string]int, len(r.byKey))}
	for key, n := range r.byKey {
		out.Keys[key] = n
	}
	return out
}
