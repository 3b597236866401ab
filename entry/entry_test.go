package entry

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/balance"
	"github.com/rainford/rainford/protocol"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/table"
)

func newExchange(t *testing.T, service table.Service, method string, data []byte) *Exchange {
	t.Helper()
	r := httptest.NewRequest(method, "/v1/call/s/x", bytes.NewReader(data))
	if len(data) == 0 {
		r.Body = http.NoBody
		r.ContentLength = 0
	}
	r.Header.Set(protocol.HeaderIdempotencyKey, "20260301T120000Z-1")
	return &Exchange{w: httptest.NewRecorder(), r: r, Service: service, Deadline: time.Now().Add(10 * time.Second), body: newBody(r)}
}

// staleServer responds to the first request of each connection. It counts the second request as
// run and closes the connection without a response.
func staleServer(t *testing.T) (addr string, runs *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	runs = &atomic.Int64{}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveStale(conn, runs)
		}
	}()
	return ln.Addr().String(), runs
}

func serveStale(conn net.Conn, runs *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		runs.Add(1)
		if !first {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// TestTransportNeverRetries sends requests that must run at most once to a server that runs the
// second request of a connection and then closes it without a response. On a reused connection,
// net/http would send such a request again by itself, and it would run twice.
func TestTransportNeverRetries(t *testing.T) {
	addr, runs := staleServer(t)
	tr := NewTransports(nil)
	defer tr.Close()
	sent := int64(0)
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut} {
		for range 3 {
			ex := newExchange(t, table.Service{Name: "s", NonIdempotent: true}, method, nil)
			a := tr.send(ex, addr, "/x", func(http.Header) {}, time.Second)
			sent++
			require.NoError(t, a.err)
			require.Equal(t, retry.Ran, retry.Classify(a.evidence))
			_, _ = io.Copy(io.Discard, a.resp.Body)
			a.close()
			require.Equal(t, sent, runs.Load(), "a request was sent again")
		}
	}
}

// TestOutcomeOfAttempts checks the outcome that is derived from each kind of failure.
func TestOutcomeOfAttempts(t *testing.T) {
	answer := func(head func(http.ResponseWriter)) *httptest.Server {
		return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			head(w)
		}))
	}
	closed := answer(func(http.ResponseWriter) {})
	closed.Close()
	cases := []struct {
		name   string
		server *httptest.Server
		want   retry.Outcome
	}{
		{"no listener", closed, retry.NotRun},
		{"refused", answer(func(w http.ResponseWriter) {
			w.Header().Set(protocol.HeaderNotRun, protocol.FlagSet)
			w.WriteHeader(http.StatusServiceUnavailable)
		}), retry.NotRun},
		{"503 without the header", answer(func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }), retry.Ran},
		{"reset after the last byte", answer(func(http.ResponseWriter) { panic(http.ErrAbortHandler) }), retry.Unknown},
	}
	tr := NewTransports(nil)
	defer tr.Close()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			defer c.server.Close()
			ex := newExchange(t, table.Service{Name: "s", NonIdempotent: true}, http.MethodPost, []byte("rent"))
			a := tr.send(ex, c.server.Listener.Addr().String(), "/x", func(http.Header) {}, 5*time.Second)
			defer a.close()
			require.Equal(t, c.want, retry.Classify(a.evidence))
		})
	}
}

// TestOutcomeAfterUnknownEarlierAttempt checks that an operation is reported as not run only if
// this attempt held the claim or no earlier attempt has an unknown outcome.
func TestOutcomeAfterUnknownEarlierAttempt(t *testing.T) {
	for _, c := range []struct {
		name             string
		earlier, granted bool
		want             retry.Outcome
	}{
		{"first attempt", false, false, retry.NotRun},
		{"earlier outcome unknown, no claim", true, false, retry.Unknown},
		{"earlier outcome unknown, claim held", true, true, retry.NotRun},
	} {
		ex := newExchange(t, table.Service{Name: "s", NonIdempotent: true}, http.MethodPost, nil)
		if c.earlier {
			ex.r.Header.Set(protocol.HeaderEarlierOutcome, "unknown")
		}
		ex.claimHeld = c.granted
		require.Equal(t, c.want, ex.adjustForEarlier(notRun(503, protocol.ReasonNotReady, "", 0)).Outcome, c.name)
	}
}

func TestBodyReplay(t *testing.T) {
	read := func(b *body, n int) (string, error) {
		r, err := b.open(func() {})
		if err != nil {
			return "", err
		}
		out, err := io.ReadAll(io.LimitReader(r, int64(n)))
		return string(out), err
	}
	small := newBody(httptest.NewRequest(http.MethodPost, "/", strings.NewReader("hello world")))
	first, err := read(small, 5)
	require.NoError(t, err)
	require.Equal(t, "hello", first)
	whole, err := read(small, 1000)
	require.NoError(t, err)
	require.Equal(t, "hello world", whole, "second read from the start")
	require.False(t, small.unread())

	data := strings.Repeat("x", maxReplayBytes+1)
	large := newBody(httptest.NewRequest(http.MethodPost, "/", strings.NewReader(data)))
	_, err = read(large, maxReplayBytes/2)
	require.NoError(t, err)
	require.True(t, large.replayable())
	whole, err = read(large, len(data))
	require.NoError(t, err)
	require.Equal(t, data, whole)
	require.False(t, large.replayable())
	_, err = read(large, 1)
	require.ErrorIs(t, err, errNotReplayable)
}

// TestSupersededReaderFails checks that the reader of an abandoned attempt cannot consume bytes
// of the body that the next attempt needs.
func TestSupersededReaderFails(t *testing.T) {
	b := newBody(httptest.NewRequest(http.MethodPost, "/", strings.NewReader("hello")))
	old, err := b.open(func() {})
	require.NoError(t, err)
	_, err = b.open(func() {})
	require.NoError(t, err)
	_, err = old.Read(make([]byte, 5))
	require.ErrorIs(t, err, errNotReplayable)
}

func TestCopyHeaderDropsConnectionHeaders(t *testing.T) {
	src := http.Header{"Connection": {"X-One, close"}, "X-One": {"1"}, "X-Two": {"2"}, "Te": {"trailers"}, "Upgrade": {"h2c"}}
	dst := http.Header{}
	copyHeader(dst, src)
	require.Equal(t, http.Header{"X-Two": {"2"}}, dst)
}

// TestHallDeliversEachGrantOnce runs many concurrent requests that wait for few slots and hold
// them for different times. Afterwards no slot may be in use and no waiter may be left.
func TestHallDeliversEachGrantOnce(t *testing.T) {
	h := NewHall(balance.Config{Rand: rand.New(rand.NewPCG(1, 1)), NoSlowStart: true})
	h.SetTargets(time.Now(), map[string][]balance.Spec{"s": {{ID: "a", Addr: "a", Slots: 3}}}, nil)
	done := make(chan bool)
	for i := range 60 {
		go func() {
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			ctx := r.Context()
			slot, _ := h.Acquire(ctx, "s", balance.Request{Deadline: time.Now().Add(time.Minute), QueueTimeout: time.Minute})
			if slot != nil {
				time.Sleep(time.Duration(i%5) * time.Millisecond)
				slot.Release(balance.Answered, time.Millisecond)
			}
			done <- slot != nil
		}()
	}
	for range 60 {
		<-done
	}
	require.Zero(t, h.InFlight())
	require.Empty(t, h.waiters)
}
