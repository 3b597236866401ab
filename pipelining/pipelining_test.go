package pipelining_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/pipelining"
)

const (
	wait = 10 * time.Second
	poll = time.Millisecond
)

// testServer is a server whose handlers wait until the test lets them finish.
type testServer struct {
	t    *testing.T
	addr string
	http *http.Server

	listener *pipelining.Listener

	mu sync.Mutex
	// running contains the paths of requests whose handlers run, with a channel that lets
	// each finish.
	running map[string]chan struct{}
	// disconnected contains the paths of requests whose clients were found to have
	// disconnected.
	disconnected map[string]bool
	// seen contains all requests in the order in which their handlers were called.
	seen []string
}

// newTestServer starts a server. The path of a request determines how it is handled. One
// that begins with "/once" is not idempotent, and one that begins with "/now" is answered
// at once. One that contains "panic" ends without a response, one that contains "close"
// closes the connection after the response, and one that contains "large" gets a large
// response.
func newTestServer(t *testing.T, limits pipelining.Limits) *testServer {
	s := &testServer{t: t, running: make(map[string]chan struct{}), disconnected: make(map[string]bool)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.addr = ln.Addr().String()
	s.http = &http.Server{Handler: s, IdleTimeout: wait}
	s.listener = pipelining.NewListener(s.http, ln, limits)
	go func() { _ = s.http.Serve(s.listener) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return s
}

var defaultLimits = pipelining.Limits{PerConn: 8, Total: 64, HeldBytes: 1 << 20}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	path := r.URL.Path
	goOn := make(chan struct{})
	s.mu.Lock()
	s.seen = append(s.seen, r.Method+" "+path+" "+string(body))
	s.mu.Unlock()
	err = pipelining.AwaitStart(r, !strings.HasPrefix(path, "/once"))
	if err != nil {
		s.noteDisconnected(path)
		panic(http.ErrAbortHandler)
	}
	if !strings.HasPrefix(path, "/now") {
		s.mu.Lock()
		s.running[path] = goOn
		s.mu.Unlock()
		select {
		case <-goOn:
		case <-r.Context().Done():
			s.noteDisconnected(path)
			panic(http.ErrAbortHandler)
		}
	}
	switch {
	case strings.Contains(path, "panic"):
		panic(http.ErrAbortHandler)
	case strings.Contains(path, "close"):
		w.Header().Set("Connection", "close")
	}
	answer := "answer to " + path
	if strings.Contains(path, "large") {
		answer = strings.Repeat(answer, 100_000)
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = io.WriteString(w, answer)
}

func (s *testServer) noteDisconnected(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disconnected[path] = true
}

// runs reports whether the handlers of all these paths are running.
func (s *testServer) runs(paths ...string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, path := range paths {
		if s.running[path] == nil {
			return false
		}
	}
	return true
}

func (s *testServer) awaitRuns(paths ...string) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return s.runs(paths...) }, wait, poll, paths)
}

// neverRuns checks that the handler of a path does not run within 50 ms.
func (s *testServer) neverRuns(path string) {
	s.t.Helper()
	require.Never(s.t, func() bool { return s.runs(path) }, 50*time.Millisecond, poll)
}

func (s *testServer) finish(paths ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, path := range paths {
		close(s.running[path])
	}
}

func (s *testServer) awaitDisconnected(paths ...string) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, path := range paths {
			if !s.disconnected[path] {
				return false
			}
		}
		return true
	}, wait, poll)
}

// client is a connection to a server.
type client struct {
	*net.TCPConn
	t      *testing.T
	reader *bufio.Reader
}

func (s *testServer) dial() *client {
	conn, err := net.Dial("tcp", s.addr)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(wait))
	return &client{TCPConn: conn.(*net.TCPConn), t: s.t, reader: bufio.NewReader(conn)}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func chunked(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", path, len(body), body)
}

func (c *client) send(requests ...string) {
	c.t.Helper()
	_, err := io.WriteString(c, strings.Join(requests, ""))
	require.NoError(c.t, err)
}

// expect reads the responses to some paths, and reports whether the last one closes the
// connection.
func (c *client) expect(paths ...string) (closes bool) {
	c.t.Helper()
	for _, path := range paths {
		resp, err := http.ReadResponse(c.reader, nil)
		require.NoError(c.t, err, path)
		body, err := io.ReadAll(resp.Body)
		require.NoError(c.t, err, path)
		require.True(c.t, strings.HasPrefix(string(body), "answer to "+path), "%.30s for %s", body, path)
		closes = resp.Close
	}
	return closes
}

// expectEnd checks that the connection ends without further bytes.
func (c *client) expectEnd() {
	c.t.Helper()
	rest, err := io.ReadAll(c.reader)
	require.NoError(c.t, err)
	require.Empty(c.t, rest)
}

func TestConcurrentRequestsAnsweredInOrder(t *testing.T) {
	s := newTestServer(t, defaultLimits)
	c := s.dial()
	c.send(get("/1"), get("/2"), get("/3"))
	s.awaitRuns("/1", "/2", "/3")
	s.finish("/3", "/2")
	c.send(get("/4"))
	s.awaitRuns("/4")
	s.finish("/1", "/4")
	c.expect("/1", "/2", "/3", "/4")
	c.send(get("/now5"))
	c.expect("/now5")
}

// TestHeadsInPieces checks requests of which every byte arrives separately.
func TestHeadsInPieces(t *testing.T) {
	s := newTestServer(t, defaultLimits)
	c := s.dial()
	_ = c.SetNoDelay(true)
	for _, b := range []byte(get("/1") + get("/2") + post("/now3", "body") + get("/4") + get("/5")) {
		c.send(string(b))
	}
	s.awaitRuns("/1", "/2")
	s.neverRuns("/4")
	s.finish("/2", "/1")
	s.awaitRuns("/4", "/5")
	s.finish("/5", "/4")
	c.expect("/1", "/2", "/now3", "/4", "/5")
}

// TestNonIdempotentWaits checks that a non-idempotent request waits for the earlier ones,
// and that later ones wait for it.
func TestNonIdempotentWaits(t *testing.T) {
	s := newTestServer(t, defaultLimits)
	c := s.dial()
	c.send(get("/1"), get("/once2"), get("/3"))
	s.awaitRuns("/1")
	s.neverRuns("/once2")
	s.neverRuns("/3")
	s.finish("/1")
	s.awaitRuns("/once2")
	s.neverRuns("/3")
	s.finish("/once2")
	s.awaitRuns("/3")
	s.finish("/3")
	c.expect("/1", "/once2", "/3")
	c.send(get("/once4"), get("/5"))
	s.awaitRuns("/once4")
	s.neverRuns("/5")
	s.finish("/once4")
	s.awaitRuns("/5")
	s.finish("/5")
	c.expect("/once4", "/5")
}

// TestBodiesWait checks that a request with a body waits for the earlier ones, and that the
// next request is read from the right position.
func TestBodiesWait(t *testing.T) {
	for name, with := range map[string]func(path, body string) string{"length": post, "chunks": chunked} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, defaultLimits)
			c := s.dial()
			body := strings.Repeat(get("/inside"), 1000)
			go c.send(get("/1"), with("/once2", body), get("/3"), get("/4"))
			s.awaitRuns("/1")
			s.neverRuns("/once2")
			s.finish("/1")
			s.awaitRuns("/once2")
			s.neverRuns("/3")
			s.finish("/once2")
			s.awaitRuns("/3")
			s.finish("/3")
			s.awaitRuns("/4")
			s.finish("/4")
			c.expect("/1", "/once2", "/3", "/4")
			require.Len(t, s.seen, 4)
			require.Equal(t, []string{"GET /1 ", "POST /once2 " + body}, s.seen[:2])
			// The requests behind the body run concurrently, so that either may start first.
			require.ElementsMatch(t, []string{"GET /3 ", "GET /4 "}, s.seen[2:])
		})
	}
}

// TestExpectWaits checks that a client that waits for "100 Continue" gets it once the
// earlier requests have been answered.
func TestExpectWaits(t *testing.T) {
	s := newTestServer(t, defaultLimits)
	c := s.dial()
	c.send(get("/1"), "POST /now2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	s.awaitRuns("/1")
	s.finish("/1")
	c.expect("/1")
	line, err := c.reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
	_, err = c.reader.ReadString('\n')
	require.NoError(t, err)
	c.send("ab")
	c.expect("/now2")
}

// TestMalformedHeadAfterValidRequests checks that the requests before a malformed one are
// answered.
func TestMalformedHeadAfterValidRequests(t *testing.T) {
	s := newTestServer(t, defaultLimits)
	c := s.dial()
	c.send(get("/1"), get("/2"), "@@ \r\n\r\n", get("/3"))
	s.awaitRuns("/1", "/2")
	s.finish("/2", "/1")
	c.expect("/1", "/2")
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.False(t, s.runs("/3"))
}

// TestClientDisconnects guards against requests that go on after their client has
// disconnected. All of them must end, whatever bytes are unread.
func TestClientDisconnects(t *testing.T) {
	for _, reset := range []bool{false, true} {
		for name, behind := range map[string]string{
			"nothing": "", "a body": post("/9", "body"), "half a head": "GET /9 HT", "more than is read ahead": strings.Repeat(get("/9"), 2000),
		} {
			t.Run(fmt.Sprintf("%s,reset=%t", name, reset), func(t *testing.T) {
				s := newTestServer(t, pipelining.Limits{PerConn: 3, Total: 64, HeldBytes: 1 << 20})
				c := s.dial()
				c.send(get("/1"))
				s.awaitRuns("/1")
				c.send(get("/2"), get("/3"), behind)
				s.awaitRuns("/2", "/3")
				if reset {
					_ = c.SetLinger(0)
				}
				_ = c.Close()
				s.awaitDisconnected("/1", "/2", "/3")
				require.False(t, s.runs("/9"))
			})
		}
	}
}

// TestClientDisconnectsAfterBody checks that a disconnect is noticed if the client has sent
// requests behind one with a body.
func TestClientDisconnectsAfterBody(t *testing.T) {
	for name, with := range map[string]func(path, body string) string{"length": post, "chunks": chunked} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, defaultLimits)
			c := s.dial()
			c.send(with("/1", "body"))
			s.awaitRuns("/1")
			c.send(get("/2"), get("/3"))
			_ = c.Close()
			s.awaitDisconnected("/1")
			require.False(t, s.runs("/2"))
		})
	}
}

// TestLimits checks the limits on concurrent requests.
func TestLimits(t *testing.T) {
	t.Run("connection", func(t *testing.T) {
		s := newTestServer(t, pipelining.Limits{PerConn: 2, Total: 64, HeldBytes: 1 << 20})
		c := s.dial()
		c.send(get("/1"), get("/2"), get("/3"))
		s.awaitRuns("/1", "/2")
		s.neverRuns("/3")
		s.finish("/1")
		s.awaitRuns("/3")
		s.finish("/2", "/3")
		c.expect("/1", "/2", "/3")
	})
	t.Run("total", func(t *testing.T) {
		s := newTestServer(t, pipelining.Limits{PerConn: 8, Total: 1, HeldBytes: 1 << 20})
		one, two := s.dial(), s.dial()
		one.send(get("/1"), get("/2"))
		s.awaitRuns("/1", "/2")
		two.send(get("/3"), get("/4"))
		s.awaitRuns("/3")
		s.neverRuns("/4")
		s.finish("/3")
		s.awaitRuns("/4")
		s.finish("/1", "/2", "/4")
		one.expect("/1", "/2")
		two.expect("/3", "/4")
	})
	t.Run("buffered responses", func(t *testing.T) {
		s := newTestServer(t, pipelining.Limits{PerConn: 8, Total: 64, HeldBytes: 1000})
		c := s.dial()
		c.send(get("/1"), get("/now-large2"), get("/3"))
		s.awaitRuns("/1", "/3")
		require.Eventually(t, func() bool { _, held := s.listener.Usage(); return held > 1000 }, wait, poll)
		c.send(get("/4"))
		s.neverRuns("/4")
		s.finish("/1")
		c.expect("/1", "/now-large2")
		s.awaitRuns("/4")
		s.finish("/3", "/4")
		c.expect("/3", "/4")
		require.Eventually(t, func() bool { running, held := s.listener.Usage(); return running == 0 && held == 0 }, wait, poll)
	})
}

// TestSlowReader checks a client that begins to read its responses after 20 ms.
func TestSlowReader(t *testing.T) {
	s := newTestServer(t, defaultLimits)
	c := s.dial()
	c.send(get("/now-large1"), get("/now-large2"), get("/now3"))
	time.Sleep(20 * time.Millisecond)
	c.expect("/now-large1", "/now-large2", "/now3")
}
