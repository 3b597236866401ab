package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/standin/objects"
)

// endlessTarget accepts connections and sends bytes without end to each, after a request. It returns its address.
func endlessTarget(t *testing.T, begin string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var serving sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		serving.Wait()
	})
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		_, err := io.ReadAtLeast(c, make([]byte, 4096), 1)
		if err == nil {
			_, err = io.WriteString(c, begin)
		}
		for more := strings.Repeat("x", 1<<16); err == nil; {
			_, err = io.WriteString(c, more)
		}
	}
	serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { serve(c) })
		}
	})
	return l.Addr().String()
}

// TestEndlessTargetIsGivenUp guards against clients that wait in vain, and an instance that dies, because of a target
// that answers with bytes without end. Each request must be served by another target.
func TestEndlessTargetIsGivenUp(t *testing.T) {
	for name, begin := range map[string]string{"head": "HTTP/1.1 200 OK\r\nA: ", "no response": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.configure(1, route{prefix: "/r/", service: "s", kind: "idempotent"})
			sound := s.server("i-sound", "s", "a1")
			s.store.SetServer("i-endless", objects.Server{Service: "s", Address: endlessTarget(t, begin), Zone: "a1", Slots: 3,
				State: "ready", WarmupRemaining: "0ms", Sequence: 1})
			n := s.instance("n1", "a1", func(c *gateway.Config) { c.RetryRatio = 1 })
			n.awaitReady()
			for i := range 30 {
				key := http.Header{"Affinity-Key": {strconv.Itoa(i)}}
				require.Equal(t, http.StatusOK, n.sendWith(t.Context(), s.newID(), "GET", "/r/x", "", key).status)
			}
			require.Len(t, sound.Runs(), 30)
		})
	}
}
