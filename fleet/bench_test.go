package fleet_test

import (
	"fmt"
	"testing"
)

// BenchmarkGossip reports the bytes per second that an instance sends as gossip, in whole messages with
// the loads of busy targets, and the time of a round of the whole fleet, by the size of the fleet.
func BenchmarkGossip(b *testing.B) {
	for _, size := range []struct{ instances, regions int }{{12, 3}, {26, 3}, {88, 3}, {295, 3}, {730, 7}} {
		b.Run(fmt.Sprintf("instances%d", size.instances), func(b *testing.B) {
			m := newModel(size.instances, size.regions, 1)
			for range 16 {
				m.round()
			}
			m.bytes, m.rounds = 0, 0
			for b.Loop() {
				m.round()
			}
			b.ReportMetric(float64(m.bytes)/float64(m.rounds)/round.Seconds()/float64(size.instances), "B/s")
		})
	}
}
