package soak

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/objects"
)

// TestRewritesAfterTwoRestores checks that the newest lost write of an object is repeated if the store is
// restored again, to an earlier time, before that. Otherwise an older configuration stays in the store,
// and instances that start get it.
func TestRewritesAfterTwoRestores(t *testing.T) {
	s := &site{store: objects.New()}
	first := s.store.Set(objects.KindConfig, objects.ConfigName, "first")
	second := s.store.Set(objects.KindConfig, objects.ConfigName, "second")
	s.store.Set(objects.KindConfig, objects.ConfigName, "third")
	newest := s.scheduleRewrites(s.store.RestoreAt(second))
	require.Len(t, newest, 1)
	for _, w := range s.scheduleRewrites(s.store.RestoreAt(first)) {
		s.rewrite(w)
	}
	s.rewrite(newest[0])
	answer := httptest.NewRecorder()
	s.store.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/objects/"+objects.KindConfig+"/"+objects.ConfigName, nil))
	require.Contains(t, answer.Body.String(), "third")
}
