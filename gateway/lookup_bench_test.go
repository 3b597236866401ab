package gateway

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/endpoints"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/telemetry"
)

// BenchmarkLookup reports the time of a look-up whose response is cached, and of one whose is not, by
// the size of the fleet. The codec of the platform is not included.
func BenchmarkLookup(b *testing.B) {
	q := endpoints.Query{Region: "a", Hall: "a1"}
	for _, n := range []int{12, 26, 88, 295, 730} {
		g := &Gateway{config: Defaults(), codec: lookupCodec{}, log: slog.New(slog.DiscardHandler), metrics: &metrics{}}
		var err error
		g.metrics.telemetry, err = telemetry.New()
		require.NoError(b, err)
		require.NoError(b, g.metrics.counters())
		g.view = fleet.NewView(fleet.Member{Name: "n000", Hall: "a1", Region: "a", FrontAddr: "10.0.0.1:1"}, 1, fleet.DefaultSettings)
		g.view.SetFlags(fleet.Ready)
		var heartbeats fleet.Heartbeats
		for i := 1; i < n; i++ {
			region := string(rune('a' + i%3))
			name := fmt.Sprintf("n%03d", i)
			g.view.Add(fleet.Member{Name: name, Hall: fmt.Sprint(region, 1+i%2), Region: region, FrontAddr: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200)})
			heartbeats = append(heartbeats, fleet.Heartbeat{Member: fleet.IDOf(name), Sequence: 1, Flags: fleet.Ready})
		}
		hear := func() {
			for i := range heartbeats {
				heartbeats[i].Sequence++
			}
			g.view.MergeHeartbeats(g.clock.Now(), heartbeats)
		}
		b.Run(fmt.Sprintf("cached/instances%d", n), func(b *testing.B) {
			hear()
			b.ReportAllocs()
			for b.Loop() {
				g.lookup(q)
				g.lookups.responses[q].createdAt = g.clock.Now()
			}
		})
		b.Run(fmt.Sprintf("new/instances%d", n), func(b *testing.B) {
			hear()
			b.ReportAllocs()
			for b.Loop() {
				g.lookup(q)
				g.lookups.responses[q].createdAt = time.Time{}
			}
		})
	}
}
