package locality_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rainford/rainford/internal/mix"
	"github.com/rainford/rainford/locality"
)

// BenchmarkCalibrate measures the calibration that runs once a second for each service, with the
// number of keys of a small site and with maxPoints keys.
func BenchmarkCalibrate(b *testing.B) {
	want := []locality.Share{{Region: "a", Fraction: 0.3}, {Region: "b", Fraction: 0.3}, {Region: "c", Fraction: 0.4}}
	for _, n := range []int{32, 1024} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			var points locality.Points
			now := time.Unix(0, 0)
			for i := range n {
				points.Add(now, mix.Unit(mix.Hash(fmt.Sprint(i))))
			}
			b.ReportAllocs()
			for b.Loop() {
				locality.Calibrate("a", want, points.Sorted(now))
			}
		})
	}
}
