package backend

import "sync"

// Runs counts the runs of operations by key. Several targets may share one.
type Runs struct {
	mu    sync.Mutex
	byKey map[string]int
	total int
}

// NewRuns returns an empty count.
func NewRuns() *Runs { return &Runs{byKey: make(map[string]int)} }

func (r *Runs) add(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if key != "" {
		r.byKey[key]++
	}
}

// Count returns how often the operation called key ran.
func (r *Runs) Count(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byKey[key]
}

// Duplicates returns the number of operations that ran more than once.
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

// Summary is the count as the control interface gives it.
type Summary struct {
	Total int            `json:"total"`
	Keys  map[string]int `json:"keys"`
}

// Summary returns a copy of the count.
func (r *Runs) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Summary{Total: r.total, Keys: make(map[string]int, len(r.byKey))}
	for key, n := range r.byKey {
		out.Keys[key] = n
	}
	return out
}
