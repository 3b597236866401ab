package reach

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkHalls measures what a request costs that is answered, and a look for due checks, with 20 targets
// in each hall that have a request each.
func BenchmarkHalls(b *testing.B) {
	for _, halls := range []int{6, 19} {
		h := &Halls{}
		sizes := make(map[string]int)
		now := start
		for i := range halls {
			name := fmt.Sprint("hall", i)
			sizes[name] = 20
			for j := range 20 {
				h.Start(now, name, fmt.Sprint("target", j))
			}
		}
		h.SetSizes(sizes)
		b.Run(fmt.Sprint("request/halls=", halls), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				h.Start(now, "hall0", "another")
				h.NeedsAttention(now, "hall0")
				h.End(now, "hall0", "another", true)
			}
		})
		b.Run(fmt.Sprint("check/halls=", halls), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				h.NextCheck(start.Add(stallTime / 2))
			}
		})
	}
}
