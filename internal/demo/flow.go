package demo

import (
	"sort"
	"sync"
	"time"

	"github.com/rainford/rainford/table"
)

// Flow records when requests were admitted to rows, over all instances.
type Flow struct {
	mu    sync.Mutex
	times map[table.RowKey][]time.Time
}

// NewFlow returns an empty record.
func NewFlow() *Flow { return &Flow{times: make(map[table.RowKey][]time.Time)} }

// Record adds one request.
func (f *Flow) Record(row table.RowKey, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.times[row] = append(f.times[row], at)
}

// Carried returns the number of requests admitted to a row.
func (f *Flow) Carried(row table.RowKey) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.times[row])
}

// WorstWindow returns the most requests admitted to a row within any sliding
// window, of those admitted at or after a time.
func (f *Flow) WorstWindow(row table.RowKey, since time.Time) int {
	f.mu.Lock()
	times := append([]time.Time(nil), f.times[row]...)
	f.mu.Unlock()
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	first := sort.Search(len(times), func(i int) bool { return !times[i].Before(since) })
	times = times[first:]
	worst, from := 0, 0
	for i, t := range times {
		for !t.Before(times[from].Add(table.CapWindow)) {
			from++
		}
		worst = max(worst, i-from+1)
	}
	return worst
}
