package endpoints_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/endpoints"
)

// BenchmarkChoose reports the time to choose a response and its encoded size, by the size of the
// fleet. The fleets have 2, 4, 15, 49 and 38 instances in most halls.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ instances, regions, halls int }{{12, 3, 6}, {26, 3, 6}, {88, 3, 6}, {295, 3, 6}, {730, 7, 19}} {
		b.Run(fmt.Sprintf("instances%d", size.instances), func(b *testing.B) {
			var sizes []int
			for i := range size.halls {
				sizes = append(sizes, (size.instances+i)/size.halls)
			}
			instances := deployment(size.regions, min(2, sizes[0]/2), sizes...)
			for i := range instances {
				instances[i].Addr = fmt.Sprintf("10.%d.%d.18:8381", i/200, i%200)
			}
			length, entries := 0, 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				got := endpoints.Choose(start.Add(time.Duration(i)*200*time.Millisecond), query, instances, self)
				entries = len(got.Addresses)
				if i == 0 {
					raw, err := json.Marshal(got.Addresses)
					require.NoError(b, err)
					length = len(raw)
				}
			}
			b.ReportMetric(float64(entries), "entries")
			b.ReportMetric(float64(length), "B/response")
		})
	}
}

// BenchmarkOverloadDetector reports the time to record a measurement.
func BenchmarkOverloadDetector(b *testing.B) {
	var d endpoints.OverloadDetector
	for b.Loop() {
		d.Observe(start, time.Millisecond)
	}
}
