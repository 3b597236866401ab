package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/lookup"
	"github.com/rainford/rainford/table"
)

func testNode(t testing.TB) *Node {
	t.Helper()
	c := Defaults()
	c.Name, c.Region, c.Hall, c.Platform, c.Secret = "n", "r", "h", "http://127.0.0.1:1", "s"
	const anyPort = "127.0.0.1:0"
	c.CallerAddr, c.HopAddr, c.PeerAddr, c.AdminAddr = anyPort, anyPort, anyPort, anyPort
	n, err := New(c)
	require.NoError(t, err)
	t.Cleanup(func() {
		for _, ln := range n.listeners.all() {
			_ = ln.Close()
		}
	})
	return n
}

func publishTestTable(n *Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.publish(table.Compile(&table.Table{
		Regions:  []table.Region{{Name: "r", Halls: []string{"h"}}},
		Services: []table.Service{{Name: "s"}},
		Rows:     []table.Row{{Service: "s", From: "r", To: "r", Weight: 1, Cap: table.NoCap, Shift: 100}},
	}, 1))
	n.blocks = lookup.NewBlockTable([]lookup.Block{{Prefix: netip.MustParsePrefix("127.0.0.0/8"), Hall: "h"}})
	n.rebuildFleet(time.Now())
}

func TestLookupHandler(t *testing.T) {
	n := testNode(t)
	lookUp := func(query string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, "/v1/lookup?"+query, nil)
		r.RemoteAddr = "127.0.0.9:5000"
		n.callerMux().ServeHTTP(w, r)
		return w
	}
	w := lookUp("service=s")
	require.Equal(t, http.StatusServiceUnavailable, w.Code, "no table yet")
	require.NotEmpty(t, w.Header().Get("Retry-After"))
	publishTestTable(n)
	require.Equal(t, http.StatusNotFound, lookUp("service=x").Code)
	w = lookUp("service=s")
	require.Equal(t, http.StatusOK, w.Code)
	var a lookup.Response
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &a))
	require.Equal(t, "h", a.HomeHall)
	require.Equal(t, n.self.ID, a.Instances[0].ID)
	n.leaving = true
	n.mu.Lock()
	n.rebuildFleet(time.Now())
	n.mu.Unlock()
	a = lookup.Response{}
	require.NoError(t, json.Unmarshal(lookUp("service=s").Body.Bytes(), &a))
	require.Empty(t, a.Instances, "a leaving instance is no longer listed")
}

func TestCheckReportsAllFindings(t *testing.T) {
	c := Defaults()
	c.HopAddr = "localhost:1"
	c.Heartbeat = time.Hour
	c.Bootstrap = []string{"nowhere"}
	findings := c.Check()
	for _, field := range []string{"name", "region", "hall", "platform", "secret", "listen", "hop-listen", "peer-listen", "admin-listen", "bootstrap", "heartbeat"} {
		found := false
		for _, f := range findings {
			found = found || f.Field == field
		}
		require.True(t, found, field)
	}
}

// BenchmarkLookupHandler measures a look-up by a direct call of the handler and over the
// loopback interface.
func BenchmarkLookupHandler(b *testing.B) {
	n := testNode(b)
	publishTestTable(n)
	mux := n.callerMux()
	b.Run("handler", func(b *testing.B) {
		r := httptest.NewRequest(http.MethodGet, "/v1/lookup?service=s", nil)
		r.RemoteAddr = "127.0.0.9:5000"
		w := &discard{header: make(http.Header)}
		b.ReportAllocs()
		for b.Loop() {
			mux.ServeHTTP(w, r)
		}
	})
	b.Run("loopback", func(b *testing.B) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(ln) }()
		defer func() { _ = server.Close() }()
		url := fmt.Sprintf("http://%s/v1/lookup?service=s", ln.Addr())
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			client := &http.Client{Transport: &http.Transport{}}
			for pb.Next() {
				resp, err := client.Get(url)
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	})
}

// discard is a response writer that discards the body.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
