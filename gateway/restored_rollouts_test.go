package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/objects"
)

// TestVerdictSurvivesRestore checks that a verdict that is in force is not revoked if the store is restored
// from a backup that lacks it, or lacks even the order, and that the verdict is written again.
func TestVerdictSurvivesRestore(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name              string
		bad               bool
		verdict           string
		backupBeforeEnd   bool
		backupBeforeOrder bool
	}{
		{name: "rolled back", bad: true, verdict: "rolled_back", backupBeforeEnd: true},
		{name: "rolled back, the order lost", bad: true, verdict: "rolled_back", backupBeforeOrder: true},
		{name: "succeeded", verdict: "succeeded", backupBeforeEnd: true},
		{name: "succeeded, the order lost", verdict: "succeeded", backupBeforeOrder: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			v := newRolloutSite(t, 3)
			stop := v.load()
			defer stop()
			// The restored store repeats as many changes, so that the order gets another revision.
			backup := v.store.Revision()
			v.store.Set("other", "o", 1)
			v.startRollout()
			if c.bad {
				for _, server := range v.new {
					failHalf(server)
				}
			}
			v.awaitState("running")
			if c.backupBeforeEnd {
				backup = v.store.Revision()
			}
			v.awaitState(c.verdict)
			time.Sleep(time.Second)
			toOld, toNew := v.toOld.Load(), v.toNew.Load()
			for _, lost := range v.store.RestoreAt(backup) {
				if lost.Kind != "other" {
					v.store.Reapply(lost)
				}
			}
			v.awaitState(c.verdict)
			time.Sleep(rolloutTime)
			require.Equal(t, objects.RolloutStatus{State: c.verdict, TargetVersion: "v2"}, v.state())
			if c.bad {
				require.Equal(t, toNew, v.toNew.Load())
			} else {
				require.Equal(t, toOld, v.toOld.Load())
			}
		})
	}
}
