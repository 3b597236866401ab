package main

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
	"github.com/rainford/rainford/platform"
)

// logBuffer collects what an instance logs.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// walk is one instance with one server, whose log is read by explain.
type walk struct {
	t      *testing.T
	log    logBuffer
	addr   string
	admin  string
	server *origin.Server
	store  *objects.Store
}

func newWalk(t *testing.T) *walk {
	w := &walk{t: t, store: objects.New()}
	store := httptest.NewServer(w.store)
	t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
	})
	server, err := origin.Start("i-1", "s", "a1", 1)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	w.server = server
	w.store.Set("servers", "i-1", map[string]any{"service": "s", "address": server.Addr(), "zone": "a1", "version": "v1", "slots": 1,
		"state": "ready", "warmupRemaining": "0ms", "sequence": 1})
	w.store.Set("config", "main", map[string]any{"version": "r3", "routes": map[string]any{"r-once": map[string]any{
		"host": "h.example", "pathPrefix": "/", "routeType": "non_idempotent", "timeout": "400ms", "targetLatency": "200ms", "service": "s", "maxAttempts": 2,
	}}})
	c := gateway.Defaults()
	c.Name, c.Hall, c.Region, c.RegionOf = "n1", "a1", "a", map[string]string{"a1": "a"}
	c.Grace = 200 * time.Millisecond
	c.Log = slog.New(slog.NewJSONHandler(&w.log, nil))
	for _, addr := range []*string{&c.Listen, &c.LookupListen, &c.ReadyListen, &c.PeerListen, &c.AdminListen} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		*addr = ln.Addr().String()
		require.NoError(t, ln.Close())
	}
	w.addr, w.admin = c.Listen, c.AdminListen
	g, err := gateway.New(c, platform.NewStore(store.Listener.Addr().String()), platform.Codec{}, platform.Headers())
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	require.Eventually(t, func() bool { return w.send("warm") == 200 }, 10*time.Second, 5*time.Millisecond)
	return w
}

func (w *walk) send(id string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+w.addr+"/", bytes.NewReader([]byte("b")))
	require.NoError(w.t, err)
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Timeout-Ms", "3000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// explain runs the command of docs/OPERATIONS.md on the log.
func (w *walk) explain(id string) string {
	var text string
	require.Eventually(w.t, func() bool {
		text, _ = explain(w.t, w.log.String(), id, "-")
		return !bytes.Contains([]byte(text), []byte("no line"))
	}, 10*time.Second, 5*time.Millisecond)
	return text
}

func (w *walk) script(f origin.Fault) {
	w.server.SetScript(func(*http.Request) origin.Fault { return f })
}

// TestWalkRefused follows a request that was refused without having run.
func TestWalkRefused(t *testing.T) {
	w := newWalk(t)
	w.store.Set("evacuations", "a1", struct{}{})
	require.Eventually(t, func() bool { return w.send("warm") == 503 }, 10*time.Second, 5*time.Millisecond)
	runs := len(w.server.Runs())
	require.Equal(t, 503, w.send("refused"))
	text := w.explain("refused")
	require.Contains(t, text, "request refused: 503, no target could be used; it did not run")
	require.Contains(t, text, `"msg":"evacuation"`)
	require.Contains(t, text, `"hall":"a1","evacuated":true`)
	require.Len(t, w.server.Runs(), runs)
}

// TestWalkTimeout follows a request that was given up at its route's timeout.
func TestWalkTimeout(t *testing.T) {
	w := newWalk(t)
	w.script(origin.Silent)
	require.Equal(t, 504, w.send("slow"))
	text := w.explain("slow")
	require.Contains(t, text, "request slow: 504, its time ended while a target had it; it may have run")
	require.Contains(t, text, "route r-once, service s, configuration 3")
	require.Contains(t, text, "attempt 1: target i-1 in a")
	require.Contains(t, text, `"belief":"suspected","cause":"silent"`)
}

// TestWalkUnknown follows a request whose answer was lost after it was sent.
func TestWalkUnknown(t *testing.T) {
	w := newWalk(t)
	w.script(origin.LostResponse)
	require.Equal(t, 502, w.send("lost"))
	text := w.explain("lost")
	require.Contains(t, text, "request lost: 502, the connection or the answer broke after it was sent")
	require.Contains(t, text, "attempt 1: target i-1 in a")
	require.Contains(t, text, "unknown after")
	require.Contains(t, text, "EOF")
}

// replace has another server take the place of the one before.
func (w *walk) replace(id string) {
	w.store.Remove("servers", w.server.ID)
	server, err := origin.Start(id, "s", "a1", 1)
	require.NoError(w.t, err)
	w.t.Cleanup(server.Close)
	w.server = server
	w.store.Set("servers", id, map[string]any{"service": "s", "address": server.Addr(), "zone": "a1", "version": "v1", "slots": 1,
		"state": "ready", "warmupRemaining": "0ms", "sequence": 1})
}

// TestWalkEnding follows a request that is held back because targets end under it to the
// targets that have ended.
func TestWalkEnding(t *testing.T) {
	w := newWalk(t)
	for i, id := range []string{"i-2", "i-3", "i-4"} {
		w.script(origin.Crash)
		ends := func() bool { return w.send(fmt.Sprint("end", i)) == 502 }
		require.Eventually(t, ends, 10*time.Second, 20*time.Millisecond)
		w.replace(id)
	}
	require.Eventually(t, func() bool { return w.send("held") == 503 }, 10*time.Second, 20*time.Millisecond)
	text := w.explain("held")
	require.Contains(t, text, "request held: 503, targets end under this request wherever it runs")
	for _, line := range []string{`"msg":"target ended","instance":"n1","target":"i-1"`, `"target":"i-2"`, `"target":"i-3"`, `"failed_trials":1`} {
		require.Contains(t, text, line)
	}
	require.Empty(t, w.server.Runs())
}

// TestWalkRest follows a request that was refused as its target rests to what the target asked for.
func TestWalkRest(t *testing.T) {
	w := newWalk(t)
	require.Eventually(t, func() bool { return w.send("warm") == 200 }, 10*time.Second, 5*time.Millisecond)
	w.server.SetRetryAfter(time.Now().Add(time.Minute), 30*time.Second)
	require.Equal(t, 503, w.send("asks"))
	require.Equal(t, 503, w.send("rests"))
	require.Contains(t, w.explain("asks"), "the target asked for 30000 ms of rest")
	text := w.explain("rests")
	require.Contains(t, text, "request rests: 503, all its targets have asked for rest; it did not run")
	require.Contains(t, text, `"target":"i-1","belief":"resting"`)
}

// TestWalkLeaving follows a request that found no target, as that had said that it leaves.
func TestWalkLeaving(t *testing.T) {
	w := newWalk(t)
	require.Eventually(t, func() bool { return w.send("warm") == 200 }, 10*time.Second, 5*time.Millisecond)
	w.server.SetExtraHeaders(func(*http.Request) string { return "Server-Leaving: 1\r\n" })
	require.Equal(t, 200, w.send("told"))
	require.Equal(t, 503, w.send("none"))
	text := w.explain("none")
	require.Contains(t, text, "request none: 503, no target could be used; it did not run")
	require.Contains(t, text, `"target":"i-1","belief":"leaving"`)
}
