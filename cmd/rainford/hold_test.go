package main

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/platform"
	"github.com/rainford/rainford/quarantine"
)

// TestHold checks that hold list prints the quarantined requests, that hold release releases one
// of them by its content under the operator's name, and that a released request cannot be
// released again.
func TestHold(t *testing.T) {
	server := httptest.NewServer(objects.New())
	t.Cleanup(server.Close)
	addr := server.Listener.Addr().String()
	hold := func(code int, args ...string) string {
		var out, errOut bytes.Buffer
		got := run(t.Context(), append([]string{"hold"}, args...), nil, &out, &errOut)
		require.Equal(t, code, got, errOut.String())
		return out.String() + errOut.String()
	}
	at := "objects://" + addr
	require.Empty(t, hold(exitOK, "list", "-platform", at))
	store := platform.NewObjects(addr)
	for _, uri := range []string{"/a/", "/b/"} {
		record := quarantine.StoredRecord{Digest: quarantine.Content{URI: uri}.Digest()}
		for i := range 3 {
			record.Crashes = append(record.Crashes, quarantine.StoredCrash{Target: quarantine.TargetID(i), At: time.Now().UnixMilli(), Trial: i == 2})
		}
		_, err := store.Put(t.Context(), record.Key(), 0, record)
		require.NoError(t, err)
	}
	content := quarantine.Content{URI: "/a/"}.Digest().String()
	listed := hold(exitOK, "list", "-platform", at)
	require.Equal(t, 2, strings.Count(listed, "3 targets ended"))
	require.Contains(t, listed, content)
	hold(exitUsage, "release", "-platform", at, "-who", "", content)
	hold(exitFailure, "release", "-platform", at, "-who", "ama", "ffff")
	time.Sleep(2 * time.Millisecond)
	require.Contains(t, hold(exitOK, "release", "-platform", at, "-who", "ama", content), content+" released")
	require.Contains(t, hold(exitOK, "list", "-platform", at), "released by ama at")
	hold(exitFailure, "release", "-platform", at, "-who", "ama", content)
	require.Contains(t, hold(exitOK, "list", "-platform", at, "-json"), `"by": "ama"`)
}
