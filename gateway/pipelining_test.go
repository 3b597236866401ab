package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/origin"
)

// writePipelined writes several requests in one write, without waiting for responses.
func (c rawConn) writePipelined(ids ...string) {
	var all strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&all, "GET /x/%s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nTimeout-Ms: 9000\r\n\r\n", id, id)
	}
	c.write(all.String())
}

// TestClientLeavesWithPipelinedRequests checks that all requests of a client are cancelled at their
// target when the client disconnects after pipelining several of them.
//
// The HTTP server reads one byte beyond the current request to detect a disconnect. If further
// requests follow on the connection, that byte is one of theirs and the server does not see the end
// of the connection. Of 26 requests that ran for over half a second after their client's
// disconnect, 11 had pipelined requests behind them.
func TestClientLeavesWithPipelinedRequests(t *testing.T) {
	for _, ahead := range []int{0, 1, 2, 6} {
		for _, together := range []bool{true, false} {
			t.Run(fmt.Sprintf("ahead=%d,together=%t", ahead, together), func(t *testing.T) {
				s := newSite(t)
				s.configure(1, route{prefix: "/x/", service: "s", kind: "idempotent", timeout: "9s"})
				server := s.server("i-1", "s", "a1")
				in := s.instance("n1", "a1")
				in.awaitStatus("/x/", 200)
				var arrived atomic.Int64
				server.SetObserver(func(origin.Arrival) { arrived.Add(1) })
				server.SetScript(func(*http.Request) origin.Fault { return origin.Silent })
				conn := in.dial()
				ids := make([]string, 1+ahead)
				for i := range ids {
					ids[i] = fmt.Sprint("left", i)
				}
				if together {
					conn.writePipelined(ids...)
				} else {
					conn.writePipelined(ids[0])
					require.Eventually(t, func() bool { return arrived.Load() > 0 }, wait, poll)
					conn.writePipelined(ids[1:]...)
				}
				require.Eventually(t, func() bool { return arrived.Load() > 0 }, wait, poll)
				conn.disconnect(false)
				require.Eventually(t, func() bool { return int64(server.Canceled()) == arrived.Load() }, cancelTime, poll)
			})
		}
	}
}

// TestPipelinedRequestsRunConcurrently checks that six pipelined requests run at the same time and
// are answered in order. Run one after the other, six requests of 300 ms took 1,810 ms at four idle
// targets.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	const requests, targets = 6, 4
	s := newSite(t)
	s.configure(1, route{prefix: "/x/", service: "s", kind: "idempotent", timeout: "9s"})
	var all sync.WaitGroup
	all.Add(requests)
	in := s.instance("n1", "a1")
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		s.server(id, "s", "a1").SetObserver(func(a origin.Arrival) {
			if strings.HasPrefix(a.ID, "ahead") {
				all.Done()
				all.Wait()
			}
		})
	}
	in.awaitStatus("/x/", 200)
	require.Eventually(t, func() bool { return in.counted("rainford_targets", `service="s"`) == targets }, wait, poll)
	conn := in.dial()
	ids := make([]string, requests)
	for i := range ids {
		ids[i] = fmt.Sprint("ahead", i)
	}
	conn.writePipelined(ids...)
	answers := bufio.NewReader(conn)
	for _, id := range ids {
		resp, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, id, resp.Header.Get("Request-Id"))
		require.True(t, strings.HasSuffix(string(body), " to "+id), string(body))
	}
}
