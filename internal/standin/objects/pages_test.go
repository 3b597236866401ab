package objects

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStalePagesAreStates checks that each page of a stale list holds the objects that the store had at the
// page's revision.
func TestStalePagesAreStates(t *testing.T) {
	s := New()
	s.SetPages(3, undoRetention)
	states := map[int64][]string{0: nil}
	objects := make(map[string]bool)
	for i := range 60 {
		name := strconv.Itoa(i % 7)
		if objects[name] && i%3 == 0 {
			s.Remove("k", name)
			delete(objects, name)
		} else {
			s.Set("k", name, i)
			objects[name] = true
		}
		states[s.Revision()] = slices.Sorted(maps.Keys(objects))
		for j := range s.undo {
			// The writes of the test are spread over the ages that pages may have.
			s.undo[j].at = time.Now().Add(-undoRetention * time.Duration(len(s.undo)-j) / 61)
		}
	}
	ages := make(map[int64]bool)
	for range 50 {
		w := httptest.NewRecorder()
		after := strconv.Itoa(rand.IntN(7))
		s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/objects/k?stale=1&after="+after, nil))
		var page listResponse
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &page))
		var want []string
		for _, name := range states[page.At] {
			if name > after {
				want = append(want, name)
			}
		}
		require.Equal(t, len(want) > 3, page.More)
		var got []string
		for _, o := range page.Items {
			got = append(got, o.Metadata.Name)
		}
		require.Equal(t, want[:min(len(want), 3)], got)
		require.Positive(t, page.At)
		ages[page.At] = true
	}
	require.Greater(t, len(ages), 5)
}
