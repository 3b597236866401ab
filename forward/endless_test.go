package forward

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/membudget"
	"github.com/rainford/rainford/internal/standin/raw"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/upstream"
)

// endlessResponses are responses that go on until the connection is closed: what they begin with, and
// what follows again and again.
var endlessResponses = []struct{ name, begin, more string }{
	{"body until close", signedHead + "\r\n", filler},
	{"chunks", signedHead + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + filler + "\r\n"},
	{"chunk extension", signedHead + "Transfer-Encoding: chunked\r\n\r\n1000;", filler},
	{"tiny chunks", signedHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	{"long length", signedHead + "Content-Length: 1000000000000000\r\n\r\n", filler},
	{"header line", "HTTP/1.1 200 OK\r\nA: ", filler},
	{"header lines", "HTTP/1.1 200 OK\r\n", "A: " + filler[:60] + "\r\n"},
	{"status line", "HTTP/1.1 200 ", filler},
	{"no response", "", filler},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"body of another request", strings.Replace(signedHead, "q1", "q0", 1) + "\r\n", filler},
	{"chunks of another request", strings.Replace(signedHead, "q1", "q0", 1) + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + filler + "\r\n"},
}

const signedHead = "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nSigned: yes\r\n"

var filler = strings.Repeat("x", 0x1000)

// endlessTarget is a target that sends bytes to each connection until it is closed.
type endlessTarget struct {
	*raw.Server
	sent atomic.Int64
}

func startEndlessTarget(t *testing.T, begin, more string) *endlessTarget {
	target := &endlessTarget{}
	server, err := raw.Start(raw.Endless(begin, more, &target.sent))
	require.NoError(t, err)
	t.Cleanup(server.Close)
	target.Server = server
	return target
}

func endlessRequest(s *endlessTarget, memory *membudget.Lease) *Request {
	return &Request{Method: http.MethodGet, URI: "/", Host: "h", ID: "q1", Target: "i-1", TargetName: "i-1", Addr: s.Addr(),
		Timeout: time.Minute, Deadline: time.Now().Add(time.Minute), Memory: memory}
}

// TestEndlessResponsesEnd guards against an instance that dies of one target that sends bytes without end. The
// attempt must end long before its deadline, with an error and the target as broken, and after a bounded number
// of bytes.
func TestEndlessResponsesEnd(t *testing.T) {
	const socketBuffers = 16 << 20
	for _, endless := range endlessResponses {
		t.Run(endless.name, func(t *testing.T) {
			t.Parallel()
			s := startEndlessTarget(t, endless.begin, endless.more)
			client := NewClient(Headers{RequestID: "Request-Id", Signature: "Signed"}, noCodec{}, nil)
			r := endlessRequest(s, nil)
			a := client.Do(t.Context(), r)
			require.Error(t, a.Err)
			require.False(t, errors.Is(a.Err, context.DeadlineExceeded) || !time.Now().Before(r.Deadline), a.Err)
			require.Nil(t, a.Response)
			require.Equal(t, retry.Unknown, a.Outcome)
			require.Equal(t, upstream.Broken, a.TargetResult.Outcome)
			require.Less(t, s.sent.Load(), int64(maxBodyBytes+maxFramingBytes+socketBuffers))
			require.Zero(t, client.idle.size(r.endpoint()))
			sent := s.sent.Load()
			_ = client.CheckHealth(r.Addr, "/health", time.Minute)
			require.Less(t, s.sent.Load()-sent, int64(maxHeadBytes+socketBuffers))
			require.True(t, time.Now().Before(r.Deadline))
		})
	}
}

// TestEndlessResponsesShareMemory guards against many targets that send bodies without end at the same time:
// together they hold no more than the memory for bodies, and ordinary responses are read beside them.
func TestEndlessResponsesShareMemory(t *testing.T) {
	const size = 6 << 20
	memory := membudget.New(size)
	s := startEndlessTarget(t, signedHead+"\r\n", filler)
	small := startEndlessTarget(t, signedHead+"Content-Length: 8000\r\n\r\n"+filler+filler, filler)
	client := NewClient(Headers{RequestID: "Request-Id", Signature: "Signed"}, noCodec{}, nil)
	var senders sync.WaitGroup
	for range 8 {
		senders.Go(func() {
			lease := memory.Lease()
			defer lease.Release()
			a := client.Do(t.Context(), endlessRequest(s, lease))
			require.ErrorIs(t, a.Err, membudget.ErrExhausted)
		})
		senders.Go(func() {
			lease := memory.Lease()
			defer lease.Release()
			a := client.Do(t.Context(), endlessRequest(small, lease))
			require.NoError(t, a.Err)
			require.Len(t, a.Response.Body, 8000)
		})
	}
	senders.Wait()
	require.EqualValues(t, size, memory.Free())
}
