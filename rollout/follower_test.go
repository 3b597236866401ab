package rollout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/rollout"
)

var begin = time.Unix(1_000_000, 0)

var order = rollout.Order{Service: "s", Version: "v2", Duration: 10 * time.Second, Generation: 3}

// stage returns a stage in which half of all requests go to new targets.
func stage(number, beat uint32) rollout.Stage {
	return rollout.Stage{Order: order.ID(), Number: number, Heartbeat: beat, Phase: rollout.Moving, InstanceShare: 1, KeyShare: 1, RequestShare: 0.5, TargetShare: 1, Leader: "l"}
}

// TestStageExpires checks that an instance returns to the old targets when a stage is no longer
// announced.
func TestStageExpires(t *testing.T) {
	f := rollout.NewFollower(begin, "n1", order)
	split, _ := f.Split(begin)
	require.Equal(t, rollout.Split{Version: "v2"}, split, "before the first stage")
	require.True(t, f.HandleStage(begin, stage(1, 1)))
	split, until := f.Split(begin)
	require.Equal(t, 0.5, split.RequestShare)
	require.False(t, f.HandleStage(begin.Add(time.Second), stage(1, 2)), "a repeated announcement of the same stage")
	_, later := f.Split(begin.Add(time.Second))
	require.True(t, later.After(until))
	split, _ = f.Split(later)
	require.Equal(t, rollout.Split{Version: "v2"}, split)
	require.False(t, f.HandleStage(later, stage(1, 2)), "an announcement that was already received doesn't renew the stage")
	split, _ = f.Split(later)
	require.Zero(t, split.RequestShare)
}

// TestRollbackIsFinal checks that no stage replaces a rollback, not even one with a higher number
// that arrives later.
func TestRollbackIsFinal(t *testing.T) {
	f := rollout.NewFollower(begin, "n1", order)
	back := stage(2, 1)
	back.Phase, back.KeyShare, back.RequestShare = rollout.Reverted, 0, 0
	require.True(t, f.HandleStage(begin, stage(5, 1)))
	require.True(t, f.HandleStage(begin, back), "a rollback replaces stages with higher numbers")
	require.False(t, f.HandleStage(begin, stage(9, 1)))
	split, until := f.Split(begin.Add(time.Hour))
	require.Equal(t, rollout.Split{Version: "v2", Ended: true}, split)
	require.True(t, until.IsZero())
}

// TestFirstVerdictIsFinal checks that a verdict in the store isn't replaced by a later one.
func TestFirstVerdictIsFinal(t *testing.T) {
	f := rollout.NewFollower(begin, "n1", order)
	f.SetState(rollout.Running)
	f.SetState(rollout.Succeeded)
	f.SetState(rollout.RolledBack)
	require.Equal(t, rollout.Succeeded, f.Verdict())
	split, _ := f.Split(begin)
	require.True(t, split.Ended && split.AllNew())
}

// TestWithdrawnOrder checks that the version of a withdrawn order gets no requests.
func TestWithdrawnOrder(t *testing.T) {
	f := rollout.NewFollower(begin, "n1", order)
	f.HandleStage(begin, stage(1, 1))
	f.Withdraw()
	split, _ := f.Split(begin)
	require.Equal(t, rollout.Split{Version: "v2", Ended: true}, split)
}

// TestConcurrentLeaders checks that all instances follow the same one of two leaders, in whatever
// order the announcements arrive.
func TestConcurrentLeaders(t *testing.T) {
	a, b := stage(1, 1), stage(1, 7)
	a.Leader, b.Leader = "a", "b"
	for _, heard := range [][]rollout.Stage{{a, b}, {b, a}, {b, a, b}, {a, b, a}} {
		f := rollout.NewFollower(begin, "n1", order)
		for _, s := range heard {
			f.HandleStage(begin, s)
		}
		require.Equal(t, "a", f.Stage().Leader)
	}
}

// TestIgnoresOtherOrders checks that stages of another order are ignored.
func TestIgnoresOtherOrders(t *testing.T) {
	f := rollout.NewFollower(begin, "n1", order)
	later := order
	later.Generation++
	other := stage(1, 1)
	other.Order = later.ID()
	require.False(t, f.HandleStage(begin, other))
	require.Equal(t, rollout.Waiting, f.Stage().Phase)
}

// TestAdoptsOrderAge checks that an instance that sees an order late adopts its age from the stage.
func TestAdoptsOrderAge(t *testing.T) {
	f := rollout.NewFollower(begin, "n1", order)
	s := stage(1, 1)
	s.Age = 4 * time.Second
	f.HandleStage(begin, s)
	require.Equal(t, begin.Add(-4*time.Second), f.StartedAt())
}

// TestReports checks when an instance reports, and that it reports each event once.
func TestReports(t *testing.T) {
	f := rollout.NewFollower(begin, "n1", order)
	_, _, ok := f.Report(begin, 0)
	require.False(t, ok, "there is no leader yet")
	f.HandleStage(begin, stage(1, 1))
	f.RecordSent(true)
	f.RecordSent(false)
	f.RecordNew(rollout.Observation{Key: 1})
	f.RecordOld(rollout.Observation{Route: 4, Latency: 30})
	f.RecordOld(rollout.Observation{Route: 4, Outcome: rollout.Failed})
	r, leader, ok := f.Report(begin, 3)
	require.True(t, ok)
	require.Equal(t, "l", leader)
	require.Equal(t, rollout.Report{Order: order.ID(), From: "n1", Stage: 1, Sent: 2, SentNew: 1, InFlightOld: 3, New: rollout.Observations{{Key: 1}},
		Old: rollout.Tallies{{Route: 4, Answered: 1, Failed: 1, Latencies: rollout.LatencyHistogram{30: 1}}}}, r)
	_, _, ok = f.Report(begin.Add(time.Second), 3)
	require.False(t, ok, "nothing to report since the last report")
	f.RecordSent(true)
	r, _, ok = f.Report(begin.Add(2*time.Second), 3)
	require.True(t, ok)
	require.Equal(t, uint32(3), r.Sent)
	require.Empty(t, r.New)
}

// TestReportsEndOfMoveOnce checks that an instance that takes no part in the canary stages reports
// once that none of its requests is at an old target any more.
func TestReportsEndOfMoveOnce(t *testing.T) {
	f := rollout.NewFollower(begin, "n1", order)
	moved := stage(4, 1)
	moved.Phase, moved.RequestShare, moved.InstanceShare = rollout.Moved, 1, 0
	f.HandleStage(begin, moved)
	f.RecordSent(true)
	_, _, ok := f.Report(begin, 1)
	require.False(t, ok)
	r, _, ok := f.Report(begin.Add(time.Second), 0)
	require.True(t, ok)
	require.Equal(t, uint32(4), r.Stage)
	f.RecordSent(true)
	_, _, ok = f.Report(begin.Add(2*time.Second), 0)
	require.False(t, ok)
}

// TestReportsAgainToRestartedLeader guards against lost observations when an instance stops leading
// and then leads again at the same address. The new leader starts without observations, so the
// followers have to send again what they sent to the former one.
func TestReportsAgainToRestartedLeader(t *testing.T) {
	f := rollout.NewFollower(begin, "n1", order)
	// The first leader has led for long enough to begin the canary phase.
	first, _ := rollout.NewLeader(begin.Add(-time.Second), "l", f, rollout.DefaultExposureBound).Decide(begin, rollout.FleetState{Instances: 1, Rate: 20, OldSlots: 9, NewSlots: 9})
	require.True(t, f.HandleStage(begin, first))
	f.RecordSent(true)
	f.RecordNew(rollout.Observation{Key: 1, Outcome: rollout.Failed})
	f.RecordOld(rollout.Observation{Route: 4, Latency: 30})
	reported, _, ok := f.Report(begin, 0)
	require.True(t, ok)
	later := begin.Add(time.Second)
	again, _ := rollout.NewLeader(later, "l", f, rollout.DefaultExposureBound).Decide(later, rollout.FleetState{Instances: 1, Rate: 20, OldSlots: 9, NewSlots: 9})
	f.HandleStage(later, again)
	r, _, ok := f.Report(later, 0)
	require.True(t, ok)
	require.Equal(t, reported.New, r.New)
	require.Equal(t, reported.Old, r.Old)
}
