package feed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/feed"
)

// TestVerificationsBackOff checks that a replica that stays in doubt is listed at once, then ever more rarely,
// and at once again after a long time without doubt.
func TestVerificationsBackOff(t *testing.T) {
	var v feed.Verification
	now := time.Unix(1_800_000_000, 0)
	for _, interval := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
		require.True(t, v.Due(now))
		v.Done(now)
		require.False(t, v.Due(now.Add(interval-time.Millisecond)))
		now = now.Add(interval)
	}
	for range 10 {
		v.Done(now)
	}
	require.False(t, v.Due(now.Add(5*time.Minute-time.Millisecond)))
	require.True(t, v.Due(now.Add(5*time.Minute)))
	now = now.Add(time.Hour)
	v.Done(now)
	require.True(t, v.Due(now.Add(2*time.Second)))
}
