package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/link"
)

// TestTargetsAreUsedOnceTheyAreBack guards against targets that stay suspected after the links to them
// are back.
func TestTargetsAreUsedOnceTheyAreBack(t *testing.T) {
	s := newCutSite(t)
	s.loadAll(500 * time.Millisecond)
	s.loseTargets(t, link.Reset, "n1", "n2", "n3")
	// With no instance to hand over to, each target is tried and suspected again and again.
	s.loadAll(4 * time.Second)
	for _, name := range []string{"n1", "n2", "n3"} {
		s.links[name].Restore()
	}
	for _, in := range s.instances {
		require.Eventually(t, func() bool { return in.metric("rainford_targets_lost") == 0 }, 2*time.Second, poll)
	}
	for name, c := range s.loadAll(500 * time.Millisecond) {
		require.Equal(t, c.sent, c.served, name)
	}
}
