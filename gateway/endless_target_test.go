package gateway_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/raw"
)

// TestEndlessTargetIsGivenUp guards against clients that wait in vain, and an instance that dies, because of a target
// that answers with bytes without end. Each request must be served by another target.
func TestEndlessTargetIsGivenUp(t *testing.T) {
	for name, begin := range map[string]string{"head": "HTTP/1.1 200 OK\r\nA: ", "no response": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.configure(1, route{prefix: "/r/", service: "s", kind: "idempotent"})
			sound := s.server("i-sound", "s", "a1")
			var sent atomic.Int64
			endless, err := raw.Start(raw.Endless(begin, "x", &sent))
			require.NoError(t, err)
			t.Cleanup(endless.Close)
			s.store.SetServer("i-endless", objects.Server{Service: "s", Address: endless.Addr(), Zone: "a1", Slots: 3,
				State: "ready", WarmupRemaining: "0ms", Sequence: 1})
			n := s.instance("n1", "a1", func(c *gateway.Config) { c.RetryRatio = 1 })
			n.awaitReady()
			for i := range 30 {
				key := http.Header{"Affinity-Key": {strconv.Itoa(i)}}
				require.Equal(t, http.StatusOK, n.sendWith(t.Context(), s.newID(), "GET", "/r/x", "", key).status)
			}
			require.Len(t, sound.Runs(), 30)
			require.Positive(t, sent.Load())
		})
	}
}
