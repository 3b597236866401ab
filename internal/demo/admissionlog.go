package demo

import (
	"sort"
	"sync"
	"time"

	"github.com/rainford/rainford/table"
)

// AdmissionLog records the times at which the instances of an estate admitted
// requests to the rows of the routing table. It may be used concurrently.
type AdmissionLog struct {
	mu    sync.Mutex
	times map[table.RowKey][]time.Time
}

// NewAdmissionLog returns an empty log.
func NewAdmissionLog() *AdmissionLog { return &AdmissionLog{times: make(map[table.RowKey][]time.Time)} }

// Record adds a request that was admitted to a row.
func (f *AdmissionLog) Record(row table.RowKey, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.times[row] = append(f.times[row], at)
}

// Count returns the number of requests that were admitted to a row.
func (f *AdmissionLog) Count(row table.RowKey) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.times[row])
}

// MaxPerWindow returns the largest number of requests that were admitted to a row
// in any sliding window of table.CapWindow. Requests before since don't count.
func (f *AdmissionLog) MaxPerWindow(row table.RowKey, since time.Time) int {
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
