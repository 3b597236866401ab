package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
)

// The API keys of the tests. TestKeysAreInNoOutput searches for these strings in all output.
const (
	adaKey     = "ada-key-5ecret"
	adaNext    = "ada-next-5ecret"
	benKey     = "ben-key-5ecret"
	unknownKey = "strange-5ecret"
)

// accounts returns the accounts that most tests use.
func accounts() map[string]objects.Tenant {
	return map[string]objects.Tenant{
		"ada": {APIKeys: []string{adaKey, adaNext}},
		"ben": {APIKeys: []string{benKey}, AllowedRegions: []string{"b"}},
	}
}

// configureAccounts writes a configuration with accounts. Its routes are /open/, which allows
// requests without a key, /home/, which is restricted to region a, /once/, whose requests are not
// idempotent, and /x/.
func (s *site) configureAccounts(version int, accounts map[string]objects.Tenant) {
	route := func(prefix string) objects.Route {
		return objects.Route{Host: "h.example", PathPrefix: prefix, RouteType: "idempotent", Timeout: "2s", TargetLatency: "500ms",
			Priority: 1, Service: "s", MaxAttempts: 2, StickySessions: true}
	}
	open, home, once := route("/open/"), route("/home/"), route("/once/")
	once.RouteType = "non_idempotent"
	open.AllowAnonymous = true
	home.AllowedRegions = []string{"a"}
	s.store.Configure(objects.Configuration{
		Version:  objects.FormatVersion(version),
		Routes:   map[string]objects.Route{"closed": route("/x/"), "open": open, "home": home, "once": once},
		Services: map[string]objects.Service{"s": {Warmup: "3s", WarmupPerS: 11}},
		Limits:   objects.Limits{MaxBodyBytes: 1 << 20},
		Tenants:  accounts,
	})
}

// sendWithKey sends a request with a key and a forged account name in the account header.
func (in *instance) sendWithKey(key, path string) reply {
	return in.sendHeaders(path, http.Header{"Credential": {key}, "Tenant": {"forged"}})
}

func (in *instance) sendHeaders(path string, header http.Header) reply {
	return in.sendWith(context.Background(), in.site.newID(), "GET", path, "", header)
}

func (in *instance) awaitKey(key, path string, status int) {
	require.Eventually(in.site.t, func() bool { return in.sendWithKey(key, path).status == status }, wait, poll)
}

// TestAccounts checks which requests are served, which account name the target receives, and that
// it does not receive the key.
func TestAccounts(t *testing.T) {
	s := newSite(t)
	s.configureAccounts(1, accounts())
	sameRegion, otherRegion := s.server("i-1", "s", "a1"), s.server("i-2", "s", "b1")
	in := s.instance("n1", "a1")
	in.awaitKey(adaKey, "/x/", 200)
	for _, c := range []struct {
		name    string
		path    string
		header  http.Header
		status  int
		account []string
	}{
		{"key", "/x/", http.Header{"Credential": {adaKey}}, 200, []string{"ada"}},
		{"next key", "/x/", http.Header{"Credential": {adaNext}}, 200, []string{"ada"}},
		{"forged name", "/x/", http.Header{"Credential": {adaKey}, "Tenant": {"ben", "x"}}, 200, []string{"ada"}},
		{"no key", "/x/", http.Header{}, 401, nil},
		{"empty key", "/x/", http.Header{"Credential": {""}}, 401, nil},
		{"unknown key", "/x/", http.Header{"Credential": {unknownKey}}, 401, nil},
		{"two keys", "/x/", http.Header{"Credential": {adaKey, benKey}}, 401, nil},
		{"two names, no key", "/x/", http.Header{"Tenant": {"ada"}}, 401, nil},
		{"open", "/open/", http.Header{}, 200, nil},
		{"open, forged name", "/open/", http.Header{"Tenant": {"ada"}}, 200, nil},
		{"open, key", "/open/", http.Header{"Credential": {adaKey}, "Tenant": {"ben"}}, 200, []string{"ada"}},
		{"open, unknown key", "/open/", http.Header{"Credential": {unknownKey}, "Tenant": {"ben"}}, 200, nil},
		{"common home region", "/home/", http.Header{"Credential": {adaKey}}, 200, []string{"ada"}},
		{"no common home region", "/home/", http.Header{"Credential": {benKey}}, 503, nil},
		{"no route", "/none/", http.Header{"Credential": {unknownKey}}, 404, nil},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "-"), func(t *testing.T) {
			var seen []http.Header
			watch := func(a origin.Arrival) { seen = append(seen, a.Header) }
			sameRegion.SetObserver(watch)
			otherRegion.SetObserver(watch)
			require.Equal(t, c.status, in.sendHeaders(c.path, c.header).status)
			if c.status != 200 {
				require.Empty(t, seen, "no target receives the request")
				return
			}
			require.Len(t, seen, 1)
			require.Equal(t, c.account, seen[0].Values("Tenant"))
			require.Empty(t, seen[0].Values("Credential"))
		})
	}
}

// TestHomeRegionsAreEnforced checks that an account's requests stay in its home regions even if
// other targets are nearer.
func TestHomeRegionsAreEnforced(t *testing.T) {
	s := newSite(t)
	s.configureAccounts(1, accounts())
	sameRegion, otherRegion := s.server("i-1", "s", "a1"), s.server("i-2", "s", "b1")
	in := s.instance("n1", "a1")
	in.awaitKey(benKey, "/x/", 200)
	for range 50 {
		require.Equal(t, 200, in.sendWithKey(benKey, "/x/").status)
	}
	require.Empty(t, sameRegion.Runs())
	s.record(otherRegion, "draining")
	in.awaitKey(benKey, "/x/", 503)
	require.Empty(t, sameRegion.Runs(), "no request leaves the home region without another target")
}

// TestKeysChange checks that added, replaced and revoked keys take effect, also on open
// connections, and that an invalid configuration changes nothing.
func TestKeysChange(t *testing.T) {
	s := newSite(t)
	s.configureAccounts(1, accounts())
	s.server("i-1", "s", "a1")
	in := s.instance("n1", "a1")
	in.awaitKey(adaKey, "/x/", 200)
	require.Equal(t, 401, in.sendWithKey(unknownKey, "/x/").status)
	s.configureAccounts(2, map[string]objects.Tenant{"ada": {APIKeys: []string{adaNext, unknownKey}}})
	in.awaitKey(adaKey, "/x/", 401)
	require.Equal(t, 200, in.sendWithKey(adaNext, "/x/").status)
	require.Equal(t, 200, in.sendWithKey(unknownKey, "/x/").status)
	s.configureAccounts(3, map[string]objects.Tenant{"ada": {APIKeys: []string{adaKey}}, "ben": {APIKeys: []string{adaKey}}})
	s.configureAccounts(4, map[string]objects.Tenant{"ada": {APIKeys: []string{adaNext, benKey}}})
	in.awaitKey(benKey, "/x/", 200)
	require.Equal(t, 401, in.sendWithKey(adaKey, "/x/").status, "a configuration with a shared key is refused")
	s.configureAccounts(5, map[string]objects.Tenant{})
	in.awaitKey(adaNext, "/x/", 401)
	s.configureAccounts(6, nil)
	require.Eventually(t, func() bool { return in.send("GET", "/x/", "").status == 200 }, wait, poll, "no key is needed without accounts")
}

// TestKeyRevokedWhileBodyIsRead checks that a request does not run if its key is revoked while its
// body is being received.
func TestKeyRevokedWhileBodyIsRead(t *testing.T) {
	s := newSite(t)
	s.configureAccounts(1, accounts())
	server := s.server("i-1", "s", "a1")
	in := s.instance("n1", "a1")
	in.awaitKey(adaKey, "/x/", 200)
	ran := len(server.Runs())
	conn := in.dial()
	conn.write("POST /x/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q\r\nTimeout-Ms: 3000\r\nCredential: " + adaKey + "\r\nContent-Length: 4\r\n\r\nab")
	s.configureAccounts(2, map[string]objects.Tenant{"ada": {APIKeys: []string{adaNext}}})
	in.awaitKey(adaKey, "/x/", 401)
	before := len(server.Runs())
	conn.write("cd")
	require.Equal(t, 401, conn.status())
	require.Len(t, server.Runs(), before)
	require.GreaterOrEqual(t, before, ran)
}

// TestUnknownKeyIsRefusedBeforeBody checks that a request without a known key is answered even
// though its body is never sent.
func TestUnknownKeyIsRefusedBeforeBody(t *testing.T) {
	s := newSite(t)
	s.configureAccounts(1, accounts())
	s.server("i-1", "s", "a1")
	in := s.instance("n1", "a1")
	in.awaitKey(adaKey, "/x/", 200)
	for _, framing := range []string{"Content-Length: 100000", "Transfer-Encoding: chunked"} {
		conn := in.dial()
		conn.write("POST /x/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q\r\nTimeout-Ms: 9000\r\nCredential: " + unknownKey + "\r\n" + framing + "\r\n\r\n")
		require.Equal(t, 401, conn.status())
	}
}

// rawConn is a client's connection to which requests are written as raw bytes.
type rawConn struct {
	net.Conn
	t testing.TB
}

func (in *instance) dial() rawConn {
	conn, err := net.Dial("tcp", in.config.Listen)
	require.NoError(in.site.t, err)
	in.site.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(wait))
	return rawConn{Conn: conn, t: in.site.t}
}

func (c rawConn) write(text string) {
	_, err := fmt.Fprint(c, text)
	require.NoError(c.t, err)
}

// status reads a response and returns its status.
func (c rawConn) status() int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// TestKeysAreInNoOutput sends keys through every path on which an instance logs, counts or refuses
// a request, and checks that they occur in no log line and no metric.
func TestKeysAreInNoOutput(t *testing.T) {
	s := newSite(t)
	s.configureAccounts(1, accounts())
	server := s.server("i-1", "s", "a1")
	var logs lockedBuffer
	debug := slog.New(slog.NewJSONHandler(&logs, &slog.HandlerOptions{Level: slog.LevelDebug}))
	in := s.instance("n1", "a1", func(c *gateway.Config) { c.Log = debug })
	in.awaitKey(adaKey, "/x/", 200)
	for _, key := range []string{adaKey, adaNext, benKey, unknownKey} {
		for _, path := range []string{"/x/", "/open/", "/home/", "/none/"} {
			in.sendWithKey(key, path)
		}
	}
	server.SetScript(func(*http.Request) origin.Fault { return origin.LostResponse })
	in.sendWithKey(adaKey, "/x/")
	broken := in.dial()
	broken.write("GET /x/ HTTP/1.1\r\nHost: h.example\r\nCredential: " + adaKey + "\r\nCredential\r\n\r\n")
	require.Equal(t, 400, broken.status())
	s.configureAccounts(2, map[string]objects.Tenant{"ada": {APIKeys: []string{adaKey}}, "ben": {APIKeys: []string{adaKey}}})
	s.store.Set("config", "main", json.RawMessage(`{"version":"r3","tenants":{"ada":{"apiKeys":"`+adaKey+`"}}}`))
	s.store.Set("config", "main", json.RawMessage(`{"version":"`+adaKey+`","tenants":{"ada":{"apiKeys":["`+adaKey+`"]}}}`))
	s.store.Set("config", "main", json.RawMessage(`{"version":"r4","limits":{"idleTimeout":"`+adaKey+`"}}`))
	require.Eventually(t, func() bool { return strings.Count(logs.String(), "configuration refused") >= 4 }, wait, poll)
	resp, err := in.client.Get("http://" + in.config.AdminListen + "/metrics")
	require.NoError(t, err)
	metrics, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	all := logs.String() + string(metrics)
	require.True(t, strings.Contains(all, "unknown-key"))
	for _, key := range []string{adaKey, adaNext, benKey, unknownKey} {
		require.False(t, strings.Contains(all, key), key)
	}
}

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}
