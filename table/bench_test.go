package table_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/rainford/rainford/table"
)

// tableOfSize returns a table of 7 regions with at least n rows.
func tableOfSize(n int) *table.Table {
	t := &table.Table{}
	halls := 0
	for r := range 7 {
		region := table.Region{Name: fmt.Sprintf("region-%d", r)}
		for range 2 + r%2 {
			region.Halls = append(region.Halls, fmt.Sprintf("hall-%02d", halls))
			halls++
		}
		t.Regions = append(t.Regions, region)
	}
	for s := 0; len(t.Rows) < n; s++ {
		name := fmt.Sprintf("service-%02d", s)
		t.Services = append(t.Services, table.Service{Name: name})
		for _, from := range t.Regions {
			for _, to := range t.Regions {
				t.Rows = append(t.Rows, table.Row{Service: name, From: from.Name, To: to.Name, Weight: 10, Cap: 500, Shift: 100})
			}
		}
	}
	return t
}

var rowCounts = []int{98, 490, 1960}

func BenchmarkCheckAndCompile(b *testing.B) {
	for _, n := range rowCounts {
		b.Run(fmt.Sprintf("rows%d", n), func(b *testing.B) {
			t := tableOfSize(n)
			raw, _ := json.Marshal(t)
			before := heapInUse()
			plan := table.Compile(t, 1)
			used := heapInUse() - before
			for b.Loop() {
				if len(table.Check(t, nil)) > 0 {
					b.Fatal("invalid")
				}
				plan = table.Compile(t, 1)
			}
			runtime.KeepAlive(plan)
			b.ReportMetric(used/float64(len(t.Rows)), "heap-B/row")
			b.ReportMetric(float64(len(raw))/float64(len(t.Rows)), "json-B/row")
		})
	}
}

func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
