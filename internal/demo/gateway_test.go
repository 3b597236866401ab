package demo

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRunGateways runs the demo of the gateways and checks that no invariant was
// violated, that more than half of the requests were served, and that each fault
// had an effect.
func TestRunGateways(t *testing.T) {
	report, err := RunGateways(context.Background(), GatewayOptions{Duration: 9 * time.Second, Rate: 100, Progress: io.Discard})
	require.NoError(t, err)
	require.Empty(t, report.Broken)
	require.Greater(t, report.Served, report.Requests/2)
	require.Positive(t, report.TurnedAway)
	require.Positive(t, report.KeyGone)
	require.Positive(t, report.Ended)
	require.Positive(t, report.Rested)
	require.Len(t, report.ByHall, len(gatewayHalls))
}
