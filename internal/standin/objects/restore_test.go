package objects

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// call sends a request and returns the status, the era and the body of the response.
func call(t *testing.T, base, method, path, body string) (status int, era string, response string) {
	req, err := http.NewRequestWithContext(t.Context(), method, base+path, strings.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var raw json.RawMessage
	_ = json.NewDecoder(resp.Body).Decode(&raw)
	return resp.StatusCode, resp.Header.Get(headerEra), string(raw)
}

// TestRestore checks that a restored store has the contents and the revision of the backup in a new era,
// answers 410 to watches from later revisions, and returns the lost writes of the operator and of targets.
func TestRestore(t *testing.T) {
	s := New()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	s.Set("config", "main", 1)
	s.Set("servers", "i-1", "ready")
	s.Set("servers", "i-2", "ready")
	copied := s.Revision()
	s.Set("config", "main", 2)
	s.Set("config", "main", 3)
	s.Remove("servers", "i-1")
	status, era, _ := call(t, server.URL, "POST", "/objects/own", `{"metadata":{"name":"mine"},"spec":{}}`)
	require.Equal(t, http.StatusCreated, status)
	require.Equal(t, "1", era)
	s.Set("servers", "i-3", "ready")
	before := s.Revision()

	lost := s.RestoreAt(copied)
	require.Equal(t, copied, s.Revision())
	require.Equal(t, []string{"i-1", "i-2"}, s.Names("servers"))
	require.Empty(t, s.Names("own"))
	var named []string
	for _, w := range lost {
		named = append(named, w.Name)
	}
	require.Equal(t, []string{"main", "i-1", "i-3"}, named)
	status, era, _ = call(t, server.URL, "GET", fmt.Sprintf("/objects/config?watch=%d&waitMs=1", before), "")
	require.Equal(t, http.StatusGone, status)
	require.Equal(t, "2", era)
	status, _, _ = call(t, server.URL, "GET", fmt.Sprintf("/objects/config?watch=%d&waitMs=1", copied), "")
	require.Equal(t, http.StatusOK, status)

	for _, w := range lost {
		s.Reapply(w)
	}
	require.Equal(t, []string{"i-2", "i-3"}, s.Names("servers"))
	_, _, body := call(t, server.URL, "GET", "/objects/config/main", "")
	require.Contains(t, body, fmt.Sprintf(`"revision":%d`, copied+1))
	require.Contains(t, body, `"spec":3`)
}

// TestRemoveBeforeReapply checks that Reapply does not create an object that was lost in a restore and then
// removed.
func TestRemoveBeforeReapply(t *testing.T) {
	s := New()
	s.Set("servers", "i-1", "ready")
	copied := s.Revision()
	s.Set("servers", "i-2", "ready")
	lost := s.RestoreAt(copied)
	s.Remove("servers", "i-2")
	for _, w := range lost {
		s.Reapply(w)
	}
	require.Equal(t, []string{"i-1"}, s.Names("servers"))
}
