package pipelining_test

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestResponseClosesConnection checks that no response follows one that closes the
// connection, and that the connection is not closed while requests that were read before
// are running.
func TestResponseClosesConnection(t *testing.T) {
	t.Run("last request", func(t *testing.T) {
		s := newTestServer(t, defaultLimits)
		c := s.dial()
		c.send(get("/1"), get("/close2"))
		s.awaitRuns("/1", "/close2")
		s.finish("/close2", "/1")
		require.True(t, c.expect("/1", "/close2"))
		c.expectEnd()
	})
	for _, first := range []string{"/close1", "/now-close1"} {
		t.Run("before other requests", func(t *testing.T) {
			s := newTestServer(t, defaultLimits)
			c := s.dial()
			c.send(get("/0"), get(first), get("/2"), get("/3"))
			s.awaitRuns("/0", "/2", "/3")
			if s.runs(first) {
				s.finish(first)
			}
			s.finish("/0")
			require.False(t, c.expect("/0", first))
			s.finish("/3", "/2")
			c.expect("/2", "/3")
		})
	}
	t.Run("first request", func(t *testing.T) {
		s := newTestServer(t, defaultLimits)
		c := s.dial()
		c.send(get("/close1"), get("/2"))
		s.awaitRuns("/close1", "/2")
		s.finish("/close1")
		require.False(t, c.expect("/close1"))
		s.finish("/2")
		c.expect("/2")
		c.expectEnd()
	})
	t.Run("requested by the client", func(t *testing.T) {
		s := newTestServer(t, defaultLimits)
		c := s.dial()
		c.send(get("/1"), "GET /now2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", get("/3"))
		s.awaitRuns("/1")
		s.finish("/1")
		require.True(t, c.expect("/1", "/now2"))
		c.expectEnd()
		require.False(t, s.runs("/3"))
	})
}

// TestHandlerAborts checks that the requests before one that ends without a response are
// answered, and those behind it are not.
func TestHandlerAborts(t *testing.T) {
	s := newTestServer(t, defaultLimits)
	c := s.dial()
	c.send(get("/1"), get("/panic2"), get("/3"))
	s.awaitRuns("/1", "/panic2", "/3")
	s.finish("/panic2")
	s.awaitDisconnected("/3")
	s.finish("/1")
	c.expect("/1")
	c.expectEnd()
}

// TestShutdown checks that all requests that were read ahead complete during a graceful
// shutdown.
func TestShutdown(t *testing.T) {
	for _, firstDone := range []bool{false, true} {
		t.Run(fmt.Sprint("first done=", firstDone), func(t *testing.T) {
			s := newTestServer(t, defaultLimits)
			c := s.dial()
			c.send(get("/1"), get("/2"), get("/3"))
			s.awaitRuns("/1", "/2", "/3")
			if firstDone {
				s.finish("/1")
				c.expect("/1")
			}
			stopped := make(chan error, 1)
			go func() { stopped <- s.http.Shutdown(context.Background()) }()
			require.Eventually(t, func() bool {
				other, err := net.Dial("tcp", s.addr)
				if err == nil {
					_ = other.Close()
				}
				return err != nil
			}, wait, poll)
			s.finish("/3", "/2")
			if !firstDone {
				s.finish("/1")
				c.expect("/1")
			}
			require.True(t, c.expect("/2", "/3"))
			c.expectEnd()
			require.NoError(t, <-stopped)
		})
	}
}
