package gateway

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/catalog"
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

// TestChecksCoverHalls guards against an instance that takes all targets for lost because the check has drawn
// targets of cut halls only. An instance whose hall is cut off reaches that hall alone.
func TestChecksCoverHalls(t *testing.T) {
	g := newTestGateway(t)
	for hall, n := range map[string]int{"a1": 2, "a2": 50, "b1": 50, "b2": 1} {
		for i := range n {
			id := fmt.Sprint(hall, "-", i)
			g.targetList.specs[id] = &catalog.Target{ID: id, Name: id, Hall: hall}
		}
	}
	for range 50 {
		halls := make(map[string]int)
		sample := g.sampleTargets(reach.CheckTargets)
		require.Len(t, sample, reach.CheckTargets)
		require.Equal(t, "a1", sample[0].Hall, "the own hall comes first")
		for _, target := range sample {
			halls[target.Hall]++
		}
		require.Len(t, halls, 4)
	}
	g.evacuated["a2"] = true
	require.Len(t, g.sampleTargets(100), 53)
	require.Len(t, g.sampleHall("b1", 6), 6)
	require.Empty(t, g.sampleHall("a2", 6))
}

// TestStoppedProcessLosesNothing guards against lost targets or halls because the process did not run for half
// a second: its checks end late, and are repeated.
func TestStoppedProcessLosesNothing(t *testing.T) {
	g := newTestGateway(t)
	r := g.reach
	r.log, r.halls.log = slog.New(slog.DiscardHandler), slog.New(slog.DiscardHandler)
	var targets []reach.Target
	for i := range 10 {
		targets = append(targets, reach.Target{ID: fmt.Sprint("i-", i), Hall: "a1"})
	}
	r.sample = func(n int) []reach.Target { return targets[:n] }
	r.halls.sample = func(_ string, n int) []reach.Target { return targets[:n] }
	stopped := func(reach.Target) error {
		time.Sleep(500 * time.Millisecond)
		return os.ErrDeadlineExceeded
	}
	r.connect, r.halls.connect = stopped, stopped
	for i := range 3 {
		r.dialIsSlow(upstream.Choice{ID: fmt.Sprint("i-", i), Hall: "a1"})
	}
	r.check(reach.CheckTargets)
	require.False(t, r.isLost())
	require.Positive(t, r.checkSize(), "the check is repeated")
	check, due := r.halls.nextCheck()
	require.True(t, due)
	r.halls.check(check)
	require.False(t, r.hasLostHalls())
	r.halls.connect = func(reach.Target) error { return os.ErrDeadlineExceeded }
	check, due = r.halls.nextCheck()
	require.True(t, due, "the check is repeated at once")
	r.halls.check(check)
	require.True(t, r.isHallLost("a1"), "the process runs and no target can be connected to")
}
