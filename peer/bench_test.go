package peer

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/member"
	"github.com/rainford/rainford/seat"
)

// BenchmarkHeartbeat reports the size of a heartbeat, and the time to encode and decode
// one, by the numbers of instances in the hall and of services.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []struct{ heard, services int }{{1, 3}, {11, 3}, {37, 3}, {37, 10}, {37, 20}} {
		b.Run(fmt.Sprintf("heard%d-services%d", size.heard, size.services), func(b *testing.B) {
			hb := &Heartbeat{member.Heartbeat{
				From: member.Instance{ID: "accra-1-01-0a1b2c3d", Hall: "accra-1", Region: "accra", CallerAddr: "10.20.30.40:7300", HopAddr: "10.20.30.40:7301", PeerAddr: "10.20.30.40:7302", AdminAddr: "10.20.30.40:7303"},
				Seat: seat.Heartbeat{Seq: 1 << 20, Epoch: 1 << 10, Echo: 1 << 20, Renewed: 1 << 20}, Ready: true, Config: 1 << 16, Targets: 1 << 20,
			}}
			for i := range size.heard {
				hb.Heard = append(hb.Heard, fmt.Sprintf("accra-1-%02d-0a1b2c3d", i))
			}
			for i := range size.services {
				hb.Loads = append(hb.Loads, member.Load{Service: fmt.Sprintf("service-%02d", i), Limit: 12, InFlight: 3, Free: 9, Slots: 12})
			}
			bytesSent := 0
			b.ReportAllocs()
			for b.Loop() {
				frame, err := Encode(hb)
				require.NoError(b, err)
				bytesSent = len(frame)
				_, err = ReadFrame(bytes.NewReader(frame))
				require.NoError(b, err)
			}
			b.ReportMetric(float64(bytesSent), "B/frame")
		})
	}
}
