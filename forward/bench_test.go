package forward_test

import (
	"fmt"
	"testing"

	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/platform"
)

// BenchmarkDo measures requests to one target, one after another: accepted ones, rejected ones, and
// rejected ones that are sent a second time to the same target. It includes the cost of the target.
// Connections are reported per request.
func BenchmarkDo(b *testing.B) {
	for _, c := range []struct {
		name      string
		rejection string
		sends     int
	}{{"accepted", "", 1}, {"rejected", rejections[0], 1}, {"rejected-twice", rejections[0], 2}} {
		b.Run(c.name, func(b *testing.B) {
			s := startRepeatingTarget(b, func(received) reply { return reply{rejection: c.rejection} })
			defer func() { _ = s.listener.Close() }()
			client := forward.NewClient(platform.Headers(), platform.Codec{}, nil)
			defer client.CloseIdle()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprint("id", i)
				for range c.sends {
					if a := s.send(client, id); a.Err != nil {
						b.Fatal(a.Err)
					}
				}
			}
			b.ReportMetric(float64(s.acceptedConns())/float64(b.N), "conns/op")
		})
	}
}
