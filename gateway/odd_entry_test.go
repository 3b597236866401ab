package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/platform"
)

// withOddEntries returns a handler of the store's interface that adds odd entries of another writer to all lists and
// to all changes, of whatever kind.
func withOddEntries(store http.Handler) http.Handler {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	items := `{"metadata":{"name":"odd"},"spec":` + deep + `},{"metadata":{"name":` + deep + `}},5,`
	events := `{"object":{"metadata":{"name":"odd"},"spec":` + deep + `},"gone":false},{"object":5,"gone":false},`
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorded := httptest.NewRecorder()
		store.ServeHTTP(recorded, r)
		for name, values := range recorded.Header() {
			w.Header()[name] = values
		}
		w.Header().Del("Content-Length")
		w.WriteHeader(recorded.Code)
		body := strings.Replace(recorded.Body.String(), `"items":[{`, `"items":[`+items+`{`, 1)
		body = strings.Replace(body, `"events":[{`, `"events":[`+events+`{`, 1)
		_, _ = w.Write([]byte(body))
	})
}

// TestOddEntriesDoNotStopNews guards against instances that follow no change of any target for as long as one
// entry of another writer can't be read.
func TestOddEntriesDoNotStopNews(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	odd := httptest.NewServer(withOddEntries(s.store))
	t.Cleanup(func() {
		odd.CloseClientConnections()
		odd.Close()
	})
	s.configure(1, route{prefix: "/r/", service: "s", kind: "idempotent"})
	leaves, stays := s.server("i-leaves", "s", "a1"), s.server("i-stays", "s", "a1")
	n := s.instanceOf(platform.NewStore(odd.Listener.Addr().String()), "n1", "a1")
	n.awaitReady()
	n.awaitStatus("/r/x", http.StatusOK)
	s.record(leaves, "draining")
	s.configure(2, route{prefix: "/other/", service: "s", kind: "idempotent"})
	n.awaitStatus("/other/x", http.StatusOK)
	last := func() bool {
		before := len(leaves.Runs())
		for range 20 {
			n.send("GET", "/other/x", "")
		}
		return len(leaves.Runs()) == before
	}
	require.Eventually(t, last, wait, poll)
	require.NotEmpty(t, stays.Runs())
}
