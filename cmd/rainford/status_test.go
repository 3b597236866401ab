package main

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/httpconn"
	"github.com/rainford/rainford/internal/standin/raw"
)

// TestInvalidHeadIsNoStatus guards against a status that is read from bytes that are no response.
func TestInvalidHeadIsNoStatus(t *testing.T) {
	for _, invalid := range raw.InvalidResponses("", `{}`) {
		t.Run(invalid.Name, func(t *testing.T) {
			t.Parallel()
			s, err := raw.Start(raw.Early{Response: invalid.Bytes}.Serve)
			require.NoError(t, err)
			t.Cleanup(s.Close)
			var out struct{}
			require.Error(t, fetchJSON(t.Context(), "http://"+s.Addr(), &out))
		})
	}
}

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// countReads lets statusClient count the bytes that it reads, until the test ends.
func countReads(t *testing.T) *atomic.Int64 {
	var read atomic.Int64
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return countingConn{conn, &read}, err
	}
	before := statusClient
	t.Cleanup(func() { statusClient = before })
	statusClient = http.Client{Transport: httpconn.NewTransport(transport)}
	return &read
}

// TestEndlessStatusEnds guards against a command that dies of bytes without end in the place of a response.
func TestEndlessStatusEnds(t *testing.T) {
	// headAndBuffers is what may be read beside the body.
	const headAndBuffers = 2 << 20
	for _, endless := range raw.EndlessResponses("200 OK", "") {
		t.Run(endless.Name, func(t *testing.T) {
			read := countReads(t)
			s, err := raw.Start(raw.Endless(endless.Begin, endless.More, new(atomic.Int64)))
			require.NoError(t, err)
			t.Cleanup(s.Close)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var out struct{}
			require.Error(t, fetchJSON(ctx, "http://"+s.Addr(), &out))
			require.NoError(t, ctx.Err())
			require.Positive(t, read.Load())
			require.Less(t, read.Load(), int64(maxBody+headAndBuffers))
		})
	}
}
