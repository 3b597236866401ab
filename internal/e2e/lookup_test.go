package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/loopback"
	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/resolver"
)

const (
	lookupOffset = 2
	lookupWait   = 10 * time.Second
	// maxLookupAge is the age beyond which no response may be passed on to clients.
	maxLookupAge = 3 * time.Second
)

// standinInstance is an instance that only answers look-ups. The time to live in each of its
// responses is the response's number in milliseconds, so that a test can tell when it was given.
type standinInstance struct {
	addr   string
	server *http.Server

	mu sync.Mutex
	// hosts are the hosts of the instances that responses name, one for each entry.
	hosts []string
	// status is the status of responses, 200 if it is 0. block makes requests wait until it is
	// closed or the client leaves, if it is not nil.
	status  int
	block   chan struct{}
	askedAt []time.Time
}

func startInstance(t *testing.T, addr string) *standinInstance {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	s := &standinInstance{addr: addr}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: lookupWait}
	go func() { _ = s.server.Serve(ln) }()
	t.Cleanup(s.end)
	return s
}

func (s *standinInstance) end() { _ = s.server.Close() }

func (s *standinInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.askedAt = append(s.askedAt, time.Now())
	number, status, block := len(s.askedAt), s.status, s.block
	var addrs []string
	for _, host := range s.hosts {
		addrs = append(addrs, net.JoinHostPort(host, "80"))
	}
	s.mu.Unlock()
	if block != nil {
		select {
		case <-block:
		case <-r.Context().Done():
			return
		}
	}
	if r.URL.Path != "/resolve" || r.URL.Query().Get("zone") == "" {
		status = http.StatusNotFound
	}
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"addresses": addrs, "ttl": fmt.Sprintf("%dms", number)})
}

func (s *standinInstance) set(change func(*standinInstance)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *standinInstance) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.askedAt)
}

// lookupHall is a look-up process, the instance of its machine, another one of its hall, and one of
// another hall.
type lookupHall struct {
	process             *process
	addr                string
	own, other, distant *standinInstance
}

// startLookup starts a hall. The process reads its settings from a file.
func startLookup(t *testing.T) *lookupHall {
	t.Helper()
	listenAddr, err := loopback.FreeAddr()
	require.NoError(t, err)
	base, err := loopback.FreeAddr()
	require.NoError(t, err)
	host, portText, err := net.SplitHostPort(base)
	require.NoError(t, err)
	port, err := strconv.Atoi(portText)
	require.NoError(t, err)
	prefix := host[:strings.LastIndexByte(host, '.')+1]
	hosts := []string{host, prefix + "2", prefix + "3"}
	if host == "127.0.0.1" {
		hosts = []string{host, "127.0.0.2", "127.0.0.3"}
	}
	var instances []*standinInstance
	for _, host := range hosts {
		in := startInstance(t, net.JoinHostPort(host, strconv.Itoa(port+lookupOffset)))
		in.hosts = []string{hosts[0], hosts[0], hosts[1], hosts[1], hosts[2]}
		instances = append(instances, in)
	}
	path := filepath.Join(t.TempDir(), "settings")
	settings := fmt.Sprintf("listen %s\ninstance %s\nlookup-port-offset %d\n", listenAddr, base, lookupOffset)
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	h := &lookupHall{addr: listenAddr, own: instances[0], other: instances[1], distant: instances[2]}
	h.process = start(t, "rainfordd", "lookup", "-node-file", path)
	h.await(t, "north-1", http.StatusOK)
	return h
}

// lookup sends a look-up for a zone and returns the status and the body, or status 0 if there was
// no response.
func (h *lookupHall) lookup(zone string) (int, string) {
	resp, err := http.Get("http://" + h.addr + "/resolve?name=j.example&region=north&zone=" + zone)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(body)
}

// await sends look-ups for a zone until one has the given status.
func (h *lookupHall) await(t *testing.T, zone string, want int) {
	t.Helper()
	require.Eventually(t, func() bool {
		status, _ := h.lookup(zone)
		return status == want
	}, lookupWait, 10*time.Millisecond)
}

// TestLookupProcessInstanceFails lets the instance of the machine fail in several ways. Look-ups,
// also those of queries without a kept response, must be answered by other instances, also if only
// one of another hall is left, and by the own instance after the failure.
func TestLookupProcessInstanceFails(t *testing.T) {
	hang := make(chan struct{})
	defer close(hang)
	for _, test := range []struct {
		name string
		fail func(*standinInstance)
	}{
		{"ends", func(s *standinInstance) { go s.end() }},
		{"hangs", func(s *standinInstance) { s.block = hang }},
		{"answers 503", func(s *standinInstance) { s.status = http.StatusServiceUnavailable }},
		{"names no instance", func(s *standinInstance) { s.hosts = nil }},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := startLookup(t)
			require.Positive(t, h.own.requests())
			require.Zero(t, h.other.requests()+h.distant.requests(), "the instance of the machine is asked first")
			h.own.set(test.fail)
			awaitRequests(t, h, h.other, h.distant)
			h.other.set(test.fail)
			awaitRequests(t, h, h.distant)
			h.await(t, "north-2", http.StatusOK)
			if test.name == "ends" {
				return
			}
			h.own.set(func(s *standinInstance) { s.block, s.status, s.hosts = nil, 0, h.distant.hosts })
			awaitRequests(t, h, h.own)
			code, took := h.process.terminate(t)
			require.Zero(t, code)
			t.Logf("stopped after %v", took)
		})
	}
}

// awaitRequests sends look-ups until one of the instances has responded to another three requests.
// Each look-up must be answered.
func awaitRequests(t *testing.T, h *lookupHall, from ...*standinInstance) {
	t.Helper()
	total := func() int {
		n := 0
		for _, in := range from {
			n += in.requests()
		}
		return n
	}
	before := total()
	require.Eventually(t, func() bool {
		status, _ := h.lookup("north-1")
		require.Equal(t, http.StatusOK, status)
		return total() >= before+3
	}, lookupWait, 10*time.Millisecond)
}

// TestLookupProcessStaleResponses checks that no look-up is answered with a response that is older
// than the greatest age, while no instance can be reached, and that look-ups are refused then and
// answered again afterwards.
func TestLookupProcessStaleResponses(t *testing.T) {
	h := startLookup(t)
	for _, in := range []*standinInstance{h.own, h.other, h.distant} {
		in.set(func(s *standinInstance) { s.status = http.StatusServiceUnavailable })
	}
	answered := 0
	require.Eventually(t, func() bool {
		sentAt := time.Now()
		status, body := h.lookup("north-1")
		if status == http.StatusOK {
			answered++
			h.checkAge(t, sentAt, body)
		}
		return status == http.StatusServiceUnavailable
	}, lookupWait, 10*time.Millisecond)
	require.Positive(t, answered)
	h.own.set(func(s *standinInstance) { s.status = 0 })
	h.await(t, "north-1", http.StatusOK)
}

// checkAge checks that the own instance gave a response at most maxLookupAge before a look-up was
// sent. No other instance must have responded.
func (h *lookupHall) checkAge(t *testing.T, sentAt time.Time, body string) {
	var response struct{ TTL string }
	require.NoError(t, json.Unmarshal([]byte(body), &response))
	number, err := strconv.Atoi(strings.TrimSuffix(response.TTL, "ms"))
	require.NoError(t, err)
	h.own.mu.Lock()
	defer h.own.mu.Unlock()
	require.LessOrEqual(t, sentAt.Sub(h.own.askedAt[number-1]), maxLookupAge)
}

// TestLookupProcessConcurrent guards against one request to an instance for each look-up of a query
// that has no kept response, and against look-ups in flight that a stop cuts off.
func TestLookupProcessConcurrent(t *testing.T) {
	const lookups = 50
	h := startLookup(t)
	release := make(chan struct{})
	for _, in := range []*standinInstance{h.own, h.other, h.distant} {
		in.set(func(s *standinInstance) { s.block = release })
	}
	before := h.own.requests()
	began := time.Now()
	statuses := make(chan int, lookups)
	for range lookups {
		go func() {
			status, _ := h.lookup("north-2")
			statuses <- status
		}()
	}
	require.Eventually(t, func() bool { return h.own.requests() > before }, lookupWait, time.Millisecond)
	close(release)
	for range lookups {
		require.Equal(t, http.StatusOK, <-statuses)
	}
	// On a busy machine some look-ups arrive when the response is no longer fresh.
	most := 1 + int(time.Since(began)/resolver.FreshTime)
	require.LessOrEqual(t, h.own.requests()-before, most)
}

// TestLookupProcessStops checks that a stop ends the look-ups in flight with their responses, that a
// connection without a request doesn't prevent the stop, and that the process exits with code 0.
// SIGHUP must not end the process, since the platform may send it to reload settings.
func TestLookupProcessStops(t *testing.T) {
	h := startLookup(t)
	unused, err := net.Dial("tcp", h.addr)
	require.NoError(t, err)
	defer func() { _ = unused.Close() }()
	require.NoError(t, h.process.Process.Signal(syscall.SIGHUP))
	h.await(t, "north-1", http.StatusOK)
	release := make(chan struct{})
	h.own.set(func(s *standinInstance) { s.block = release })
	before := h.own.requests()
	statuses := make(chan int, 1)
	go func() {
		status, _ := h.lookup("north-2")
		statuses <- status
	}()
	require.Eventually(t, func() bool { return h.own.requests() > before }, lookupWait, time.Millisecond)
	code, took := h.process.terminate(t)
	require.Zero(t, code)
	close(release)
	require.Equal(t, http.StatusOK, <-statuses, "by another instance")
	t.Logf("stopped after %v", took)
}

// TestLookupProcessRejectsOtherRequests checks that requests that are no look-ups reach no instance.
func TestLookupProcessRejectsOtherRequests(t *testing.T) {
	h := startLookup(t)
	before := h.own.requests()
	for _, target := range []string{"/", "/ready", "/resolve/x"} {
		resp, err := http.Get("http://" + h.addr + target)
		require.NoError(t, err)
		_ = resp.Body.Close()
		require.Equal(t, http.StatusNotFound, resp.StatusCode, target)
	}
	resp, err := http.Post("http://"+h.addr+"/resolve?region=north&zone=north-1", "text/plain", strings.NewReader("x"))
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
	require.Equal(t, before, h.own.requests())
}

// TestLookupProcessBesideGateway checks that the process understands the responses of a gateway, and
// that both derive the same look-up address from their settings.
func TestLookupProcessBesideGateway(t *testing.T) {
	// Without a configuration the gateway is not ready and refuses look-ups.
	store := objects.New()
	store.Configure(objects.Configuration{Version: objects.FormatVersion(1), Routes: map[string]objects.Route{}, Services: map[string]objects.Service{}})
	platform := httptest.NewServer(store)
	t.Cleanup(platform.Close)
	args := []string{"gateway", "-name", "n1", "-hall", "north-1", "-region", "north", "-halls", "north-1=north",
		"-store", platform.Listener.Addr().String()}
	var front string
	for _, name := range []string{"-ready-listen", "-peer-listen", "-admin-listen", "-listen"} {
		addr, err := loopback.FreeAddr()
		require.NoError(t, err)
		args = append(args, name, addr)
		front = addr
	}
	listenAddr, err := loopback.FreeAddr()
	require.NoError(t, err)
	// The address is chosen last, so that the offset leads to a port that is not chosen yet.
	base, err := loopback.FreeAddr()
	require.NoError(t, err)
	offset := strconv.Itoa(lookupOffset)
	h := &lookupHall{addr: listenAddr}
	h.process = start(t, "rainfordd", "lookup", "-listen", listenAddr, "-instance", base, "-lookup-port-offset", offset)
	h.await(t, "north-1", http.StatusServiceUnavailable)
	start(t, "rainfordd", append(args, "-lookup-listen", base, "-lookup-port-offset", offset)...)
	h.await(t, "north-1", http.StatusOK)
	_, body := h.lookup("north-1")
	require.JSONEq(t, fmt.Sprintf(`{"addresses":[%q],"ttl":"2000ms"}`, front), body)
}

// TestLookupProcessCost guards against a process that takes far more memory than a few megabytes. It
// logs the memory without the pages of the program file, and the processor time of a look-up that
// is answered without a request.
func TestLookupProcessCost(t *testing.T) {
	const (
		clients   = 16
		lookups   = 2000
		maxMemory = 16 << 20
	)
	h := startLookup(t)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	defer client.CloseIdleConnections()
	var sending sync.WaitGroup
	for range clients {
		sending.Go(func() {
			for range lookups {
				resp, err := client.Get("http://" + h.addr + "/resolve?name=j.example&region=north&zone=north-1")
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
	sending.Wait()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	require.NoError(t, err)
	_, after, ok := strings.Cut(string(status), "RssAnon:")
	require.True(t, ok)
	kilobytes, err := strconv.Atoi(strings.Fields(after)[0])
	require.NoError(t, err)
	code, _ := h.process.terminate(t)
	require.Zero(t, code)
	state := h.process.ProcessState
	t.Logf("%d kB, %v for each of %d look-ups", kilobytes, (state.UserTime()+state.SystemTime())/(clients*lookups), clients*lookups)
	require.Less(t, kilobytes<<10, maxMemory)
}
