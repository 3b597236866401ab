package gateway

import (
	"errors"
	"fmt"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/reach"
	"github.com/rainford/rainford/upstream"
)

// TestMostTargetsUnreachable guards against an instance that takes all targets for lost while some of them
// answer, because it has checked others only.
func TestMostTargetsUnreachable(t *testing.T) {
	g := newTestGateway(t)
	r := g.reach
	r.log = slog.New(slog.DiscardHandler)
	var down []reach.Target
	for i := range 100 {
		down = append(down, reach.Target{ID: fmt.Sprint("down", i)})
	}
	r.sample = func(n int) []reach.Target { return down[:n] }
	r.connect = func(c reach.Target) error {
		if c.ID == "up" {
			return nil
		}
		return errors.New("down")
	}
	answer := func(id string) {
		r.start(upstream.Choice{ID: id})
		r.end(upstream.Choice{ID: id}, forward.Attempt{Sent: true, Reused: true, Response: &forward.Response{}})
	}
	answer("up")
	answer("down1")
	answer("down1")
	answer("down2")
	require.Len(t, r.targetsToCheck(reach.CheckTargets), reach.CheckTargets)
	r.check(reach.CheckTargets)
	require.False(t, r.isLost())
	answer("down3")
	r.check(reach.CheckTargets)
	require.True(t, r.isLost(), "none of the targets that answered last can be connected to")
}
