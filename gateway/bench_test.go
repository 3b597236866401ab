package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkRequest measures the path of a request in an instance, from the parsed request to the response,
// with a connection to one of two targets that answer at once. The time contains that of the target, and the
// allocations those of the target and of the recorded response.
func BenchmarkRequest(b *testing.B) {
	for _, kind := range []string{"idempotent", "non_idempotent"} {
		b.Run("kind="+kind, func(b *testing.B) {
			s := newSite(b)
			s.configure(1, route{prefix: "/x/", service: "s", kind: kind})
			s.server("i-1", "s", "a1")
			s.server("i-2", "s", "a2")
			in := s.instance("n1", "a1")
			in.awaitStatus("/x/", 200)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r := httptest.NewRequestWithContext(b.Context(), http.MethodGet, "/x/", nil)
				r.Host = "h.example"
				r.Header.Set("Request-Id", fmt.Sprint("b", i))
				r.Header.Set("Affinity-Key", "17")
				r.Header.Set("Timeout-Ms", "3000")
				w := httptest.NewRecorder()
				in.handler.ServeHTTP(w, r)
				if w.Code != http.StatusOK {
					b.Fatal(w.Code)
				}
			}
		})
	}
}
