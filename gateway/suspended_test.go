package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/internal/standin/origin"
)

// suspension controls the clock of one instance, so that a test can simulate a suspension of its machine.
type suspension struct{ total atomic.Int64 }

func (s *suspension) suspend(length time.Duration) { s.total.Add(int64(length)) }

func (s *suspension) use(c *gateway.Config) {
	c.Clock = clock.New(func(time.Time) time.Duration { return time.Duration(s.total.Load()) })
}

// TestSuspendedWithRequest checks that a request whose client has timed out during a suspension of the machine
// is not sent to another target.
func TestSuspendedWithRequest(t *testing.T) {
	for _, length := range []time.Duration{time.Second, 5 * time.Second, time.Minute} {
		t.Run(length.String(), func(t *testing.T) {
			s := newSite(t)
			s.configure(1, idempotentRoute)
			servers := []*origin.Server{s.server("i-1", "s", "a1"), s.server("i-2", "s", "a1")}
			var machine suspension
			in := s.instance("n1", "a1", machine.use)
			in.awaitStatus("/x/", 200)
			for range 10 {
				// Requests earn tokens of the retry budget.
				in.send("GET", "/x/", "")
			}
			var runs atomic.Int64
			for _, server := range servers {
				server.SetScript(func(*http.Request) origin.Fault {
					if runs.Add(1) == 1 {
						machine.suspend(length)
						return origin.LostResponse
					}
					return origin.None
				})
			}
			got := in.send("GET", "/x/", "")
			if length < 2*time.Second {
				require.Equal(t, 200, got.status, "the client waits for another second")
				return
			}
			require.Equal(t, 504, got.status)
			require.EqualValues(t, 1, runs.Load())
		})
	}
}

// TestSuspendedConnections checks that idle connections are not reused after a suspension that was longer than
// targets keep idle connections open.
func TestSuspendedConnections(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute)
	server := s.server("i-1", "s", "a1")
	var machine suspension
	in := s.instance("n1", "a1", machine.use)
	in.awaitStatus("/x/", 200)
	in.send("GET", "/x/", "")
	before := server.Accepted()
	in.send("GET", "/x/", "")
	require.Equal(t, before, server.Accepted())
	machine.suspend(time.Minute)
	require.Equal(t, 200, in.send("GET", "/x/", "").status)
	require.Equal(t, before+1, server.Accepted())
}
