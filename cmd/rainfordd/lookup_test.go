package main

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/platform"
)

// TestOffsetPort guards against look-up addresses that can't be used, or that differ from those of
// the settings without an offset.
func TestOffsetPort(t *testing.T) {
	for _, test := range []struct {
		addr   string
		offset int
		want   string
		valid  bool
	}{
		{"10.0.0.1:9000", 0, "10.0.0.1:9000", true},
		{"10.0.0.1:9000", 2, "10.0.0.1:9002", true},
		{"[fd00::1]:9000", 2, "[fd00::1]:9002", true},
		{"10.0.0.1:65533", 2, "10.0.0.1:65535", true},
		{"10.0.0.1:65534", 2, "10.0.0.1:65534", false},
		{"10.0.0.1:9000", -1, "10.0.0.1:9000", false},
		{"10.0.0.1:0", 2, "10.0.0.1:0", false},
		{"10.0.0.1:0", 0, "10.0.0.1:0", true},
		{"10.0.0.1", 2, "10.0.0.1", true},
	} {
		got, findings := offsetPort(test.addr, test.offset)
		require.Equal(t, test.want, got, "%s + %d", test.addr, test.offset)
		require.Equal(t, test.valid, len(findings) == 0, "%s + %d", test.addr, test.offset)
	}
}

// TestGatewayLookupOffset guards against an instance whose look-up address is not the one derived by
// the look-up process, or is that of its messages or metrics.
func TestGatewayLookupOffset(t *testing.T) {
	for _, test := range []struct {
		offset string
		// want is the look-up address, or part of the error if invalid.
		want    string
		invalid bool
	}{
		{"0", "10.0.0.1:9000", false},
		{"2", "10.0.0.1:9002", false},
		{"9", "leads to 10.0.0.1:9009", true},
		{"1", "leads to 10.0.0.1:9001", true},
		{"-1", "must not be negative", true},
		{"60000", "over 65535", true},
	} {
		s, err := readGatewaySettings([]string{"-name", "n1", "-hall", "h", "-region", "r", "-halls", "h=r", "-store", "10.0.0.9:1",
			"-listen", "10.0.0.1:80", "-ready-listen", "10.0.0.1:82", "-peer-listen", "10.0.0.1:9001", "-admin-listen", "10.0.0.1:9009",
			"-lookup-listen", "10.0.0.1:9000", "-lookup-port-offset", test.offset}, io.Discard)
		if test.invalid {
			require.ErrorContains(t, err, test.want, test.offset)
			continue
		}
		require.NoError(t, err, test.offset)
		require.Equal(t, test.want, s.LookupListen)
	}
}

// TestLookupSettingsAreCheckedTogether guards against settings that are found to be wrong only one
// after the other, or not at all.
func TestLookupSettingsAreCheckedTogether(t *testing.T) {
	for _, test := range []struct {
		name string
		args []string
		// want are parts of the error, none if the settings are valid.
		want []string
	}{
		{"least", []string{"-listen", "10.0.0.1:81", "-instance", "10.0.0.1:9002"}, nil},
		{"all wrong", []string{"-listen", "here", "-admin-listen", "x", "-log-level", "loud", "-lookup-port-offset", "-2", "more"},
			[]string{"listen", "instance", "admin-listen", "log-level", "lookup-port-offset", "more"}},
		{"own address", []string{"-listen", "10.0.0.1:81", "-instance", "10.0.0.1:81"}, []string{"own address"}},
		{"unspecified instance", []string{"-listen", "10.0.0.1:81", "-instance", "0.0.0.0:9002"}, []string{"connected to"}},
		{"instance without a port", []string{"-listen", "10.0.0.1:81", "-instance", "10.0.0.1:0"}, []string{"connected to"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := readLookupSettings(test.args, io.Discard)
			if test.want == nil {
				require.NoError(t, err)
			}
			for _, part := range test.want {
				require.ErrorContains(t, err, part)
			}
		})
	}
}

// discardResponse is an http.ResponseWriter that allocates nothing.
type discardResponse struct{ header http.Header }

func (d discardResponse) Header() http.Header            { return d.header }
func (d discardResponse) Write(body []byte) (int, error) { return len(body), nil }
func (d discardResponse) WriteHeader(int)                {}

// TestConcurrentLookups guards against more than one request to the instance for look-ups of the same
// query that arrive before its response, and for those that follow while it is fresh.
func TestConcurrentLookups(t *testing.T) {
	const lookups = 100
	var requests atomic.Int64
	release := make(chan struct{})
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		<-release
		_, _ = w.Write([]byte(`{"addresses":["127.0.0.1:80"],"ttl":"5000ms"}`))
	}))
	t.Cleanup(instance.Close)
	s, err := newLookupServer(&lookupSettings{listen: "127.0.0.1:0", instance: instance.Listener.Addr().String()},
		nil, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.listeners[0].Close() })
	freezeClock(s)
	var looking sync.WaitGroup
	for range lookups {
		looking.Go(func() {
			recorder := httptest.NewRecorder()
			s.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, platform.Codec{}.LookupURI("north", "north-1"), nil))
			if recorder.Code != http.StatusOK {
				t.Errorf("status %d", recorder.Code)
			}
		})
	}
	close(release)
	looking.Wait()
	require.EqualValues(t, 1, requests.Load())
}

// newCachedLookup returns a server with a cached response, and a request for it.
func newCachedLookup(t testing.TB) (*lookupServer, *http.Request) {
	body := []byte(`{"addresses":["10.0.0.1:80"],"ttl":"5000ms"}`)
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	t.Cleanup(instance.Close)
	s, err := newLookupServer(&lookupSettings{listen: "127.0.0.1:0", instance: instance.Listener.Addr().String()},
		nil, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.listeners[0].Close() })
	r := httptest.NewRequest(http.MethodGet, platform.Codec{}.LookupURI("north", "north-1"), nil)
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, r)
	require.Equal(t, string(body), recorder.Body.String())
	return s, r
}

// freezeClock makes the responses of a server stay fresh.
func freezeClock(s *lookupServer) {
	frozen := s.clock.Now()
	s.clock = clock.New(func(now time.Time) time.Duration { return frozen.Sub(now) })
}

// TestCachedLookupAllocatesNothing guards against garbage for each look-up of a client beyond that
// of net/http.
func TestCachedLookupAllocatesNothing(t *testing.T) {
	s, r := newCachedLookup(t)
	freezeClock(s)
	w := discardResponse{header: make(http.Header)}
	require.Zero(t, testing.AllocsPerRun(100, func() { s.ServeHTTP(w, r) }))
}

func BenchmarkCachedLookup(b *testing.B) {
	s, r := newCachedLookup(b)
	freezeClock(s)
	w := discardResponse{header: make(http.Header)}
	b.ReportAllocs()
	for b.Loop() {
		s.ServeHTTP(w, r)
	}
}
