package share_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/rainford/rainford/share"
	"github.com/rainford/rainford/table"
)

// BenchmarkLedger measures the replacement of the table, and one call each of Observe
// and LoanRequests, for an instance with 2 of 64 seats.
func BenchmarkLedger(b *testing.B) {
	for _, rows := range []int{20, 200, 2000} {
		t := &table.Table{Regions: []table.Region{{Name: "r", Halls: []string{"h0", "h1", "h2"}}, {Name: "q", Halls: []string{"z"}}}}
		for i := range rows {
			t.Rows = append(t.Rows, table.Row{Service: fmt.Sprintf("s%d", i), From: "r", To: "q", Weight: 1, Cap: 500, Shift: 50, Ramp: time.Second})
		}
		plan := table.Compile(t, 1)
		now := time.Unix(0, 0)
		warm := func(string, string) bool { return true }
		b.Run(fmt.Sprintf("put-in-force/rows%d", rows), func(b *testing.B) {
			before := heapBytes()
			l := share.NewLedger("h0", "r", 64, 1)
			l.SetPlan(plan)
			l.SetSeats([]int{3, 40}, now.Add(time.Hour))
			used := heapBytes() - before
			for b.Loop() {
				l.SetPlan(plan)
			}
			runtime.KeepAlive(l)
			b.ReportMetric(used/float64(rows), "heap-B/row")
		})
		b.Run(fmt.Sprintf("round/rows%d", rows), func(b *testing.B) {
			l := share.NewLedger("h0", "r", 64, 1)
			l.SetPlan(plan)
			l.SetSeats([]int{3, 40}, now.Add(time.Hour))
			b.ReportAllocs()
			for b.Loop() {
				l.Observe(now, warm)
				l.LoanRequests(now, 2)
			}
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
