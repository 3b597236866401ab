package main

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/objects"
)

// TestRollout checks that an operator can start, list and abort a rollout, and that a rollout in
// progress is not replaced by another.
func TestRollout(t *testing.T) {
	store := objects.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	at := "objects://" + server.Listener.Addr().String()
	rollout := func(code int, args ...string) string {
		t.Helper()
		text, got := runCommand(t, append([]string{"rollout"}, args...)...)
		require.Equal(t, code, got, text)
		return text
	}
	require.Empty(t, rollout(exitOK, "status", "-platform", at))
	rollout(exitUsage, "start", "-platform", at, "s")
	rollout(exitUsage, "start", "-platform", at, "-duration", "-1s", "s", "v2")
	rollout(exitUsage, "status", "-platform", "http://127.0.0.1:1")
	require.Contains(t, rollout(exitOK, "start", "-platform", at, "-duration", "90s", "s", "v2"), "version v2 of s is to be brought in within 1m30s")
	require.Regexp(t, `s +version v2 +ordered +within 1m30s`, rollout(exitOK, "status", "-platform", at))
	require.Contains(t, rollout(exitFailure, "start", "-platform", at, "s", "v3"), "abort s first")
	store.SetStatus("rollouts", "s", objects.RolloutStatus{State: "rolled_back", TargetVersion: "v2"})
	require.Contains(t, rollout(exitFailure, "abort", "-platform", at, "s"), "has ended: rolled-back")
	rollout(exitOK, "start", "-platform", at, "s", "v3")
	require.Contains(t, rollout(exitOK, "status", "-platform", at, "-json"), `"version": "v3"`)
	require.Contains(t, rollout(exitOK, "abort", "-platform", at, "s"), "version v3 of s is not brought in any more")
	rollout(exitFailure, "abort", "-platform", at, "s")
}
