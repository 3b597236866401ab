package rollout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/rollout"
)

var begin = time.Unix(1_000_000, 0)

var order = rollout.Order{Service: "s", Version: "v2", Duration: 10 * time.Second, Made: 3}

// stage returns a stage in which half of all requests go to new targets.
func stage(number, beat uint32) rollout.Stage {
	return rollout.Stage{Order: order.ID(), Number: number, Beat: beat, Phase: rollout.Moving, Senders: 1, Keys: 1, Draw: 0.5, Targets: 1, Leader: "l"}
}

// TestStageLapses checks that an instance that hears of no leader goes back to the old targets.
func TestStageLapses(t *testing.T) {
	f := rollout.NewFollower(begin, "n1", order)
	split, _ := f.Split(begin)
	require.Equal(t, rollout.Split{Version: "v2"}, split, "before any stage")
	require.True(t, f.Hear(begin, stage(1, 1)))
	split, until := f.Split(begin)
	require.Equal(t, 0.5, split.Draw)
	require.False(t, f.Hear(begin.Add(time.Second), stage(1, 2)), "the same stage told again")
	_, later := f.Split(begin.Add(time.Second))
	require.True(t, later.After(until))
	split, _ = f.Split(later)
	require.Equal(t, rollout.Split{Version: "v2"}, split)
	require.False(t, f.Hear(later, stage(1, 2)), "what was heard before is no new word of the leader")
	split, _ = f.Split(later)
	require.Zero(t, split.Draw)
}

// TestRollbackStays checks that nothing follows a rollback, whatever comes late.
func TestRollbackStays(t *testing.T) {
	f := rollout.NewFollower(begin, "n1", order)
	back := stage(2, 1)
	back.Phase, back.Keys, back.Draw = rollout.Back, 0, 0
	require.True(t, f.Hear(begin, stage(5, 1)))
	require.True(t, f.Hear(begin, back), "a rollback goes before stages with higher numbers")
	require.False(t, f.Hear(begin, stage(9, 1)))
	split, until := f.Split(begin.Add(time.Hour))
	require.Equal(t, rollout.Split{Version: "v2", Over: true}, split)
	require.True(t, until.IsZero())
}

// TestVerdictStays checks that the first verdict of the store counts.
func TestVerdictStays(t *testing.T) {
	f := rollout.NewFollower(begin, "n1", order)
	f.Learn(rollout.Running)
	f.Learn(rollout.Succeeded)
	f.Learn(rollout.RolledBack)
	require.Equal(t, rollout.Succeeded, f.Verdict())
	split, _ := f.Split(begin)
	require.True(t, split.Over && split.All())
}

// TestWithdrawnOrder checks that a version whose order is taken back gets nothing.
func TestWithdrawnOrder(t *testing.T) {
	f := rollout.NewFollower(begin, "n1", order)
	f.Hear(begin, stage(1, 1))
	f.Withdraw()
	split, _ := f.Split(begin)
	require.Equal(t, rollout.Split{Version: "v2", Over: true}, split)
}

// TestOneOfTwoLeaders checks that instances that hear of two leaders follow the same one, in whatever
// order they hear of them.
func TestOneOfTwoLeaders(t *testing.T) {
	a, b := stage(1, 1), stage(1, 7)
	a.Leader, b.Leader = "a", "b"
	for _, heard := range [][]rollout.Stage{{a, b}, {b, a}, {b, a, b}, {a, b, a}} {
		f := rollout.NewFollower(begin, "n1", order)
		for _, s := range heard {
			f.Hear(begin, s)
		}
		require.Equal(t, "a", f.Stage().Leader)
	}
}

// TestOtherOrders checks that stages of another order count for nothing.
func TestOtherOrders(t *testing.T) {
	f := rollout.NewFollower(begin, "n1", order)
	later := order
	later.Made++
	other := stage(1, 1)
	other.Order = later.ID()
	require.False(t, f.Hear(begin, other))
	require.Equal(t, rollout.Waiting, f.Stage().Phase)
}

// TestAgeIsShared checks that an instance that hears late of an order learns how old it is.
func TestAgeIsShared(t *testing.T) {
	f := rollout.NewFollower(begin, "n1", order)
	s := stage(1, 1)
	s.Age = 4 * time.Second
	f.Hear(begin, s)
	require.Equal(t, begin.Add(-4*time.Second), f.Since())
}

// TestReports checks when an instance reports, and that it tells each thing once.
func TestReports(t *testing.T) {
	f := rollout.NewFollower(begin, "n1", order)
	_, _, ok := f.Report(begin, 0)
	require.False(t, ok, "nobody leads yet")
	f.Hear(begin, stage(1, 1))
	f.Sent(true)
	f.Sent(false)
	f.EndedNew(rollout.Observation{Key: 1})
	f.EndedOld(rollout.Observation{Route: 4, Took: 30})
	f.EndedOld(rollout.Observation{Route: 4, Outcome: rollout.Failed})
	r, leader, ok := f.Report(begin, 3)
	require.True(t, ok)
	require.Equal(t, "l", leader)
	require.Equal(t, rollout.Report{Order: order.ID(), From: "n1", Stage: 1, Sent: 2, SentNew: 1, AtOld: 3, New: rollout.Observations{{Key: 1}},
		Old: rollout.Tallies{{Route: 4, Answered: 1, Failed: 1, Times: rollout.Times{30: 1}}}}, r)
	_, _, ok = f.Report(begin.Add(time.Second), 3)
	require.False(t, ok, "nothing has happened since")
	f.Sent(true)
	r, _, ok = f.Report(begin.Add(2*time.Second), 3)
	require.True(t, ok)
	require.Equal(t, uint32(3), r.Sent)
	require.Empty(t, r.New)
}

// TestTellsOnceThatItHasMoved checks that an instance that takes no part before tells the leader once
// that no request of it is at an old target any more.
func TestTellsOnceThatItHasMoved(t *testing.T) {
	f := rollout.NewFollower(begin, "n1", order)
	moved := stage(4, 1)
	moved.Phase, moved.Draw, moved.Senders = rollout.Moved, 1, 0
	f.Hear(begin, moved)
	f.Sent(true)
	_, _, ok := f.Report(begin, 1)
	require.False(t, ok)
	r, _, ok := f.Report(begin.Add(time.Second), 0)
	require.True(t, ok)
	require.Equal(t, uint32(4), r.Stage)
	f.Sent(true)
	_, _, ok = f.Report(begin.Add(2*time.Second), 0)
	require.False(t, ok)
}

// TestLeaderThatBeginsAnewIsTold checks that a leader that had stopped to lead, and begins anew at the same
// address, is told what it was told before: it has forgotten that.
func TestLeaderThatBeginsAnewIsTold(t *testing.T) {
	f := rollout.NewFollower(begin, "n1", order)
	first, _ := rollout.NewLeader(begin, "l", f, rollout.DefaultBound).Decide(begin, rollout.Situation{Members: 1, Rate: 20, OldSlots: 9, NewSlots: 9})
	require.True(t, f.Hear(begin, first))
	f.Sent(true)
	f.EndedNew(rollout.Observation{Key: 1, Outcome: rollout.Failed})
	f.EndedOld(rollout.Observation{Route: 4, Took: 30})
	told, _, ok := f.Report(begin, 0)
	require.True(t, ok)
	later := begin.Add(time.Second)
	again, _ := rollout.NewLeader(later, "l", f, rollout.DefaultBound).Decide(later, rollout.Situation{Members: 1, Rate: 20, OldSlots: 9, NewSlots: 9})
	f.Hear(later, again)
	r, _, ok := f.Report(later, 0)
	require.True(t, ok)
	require.Equal(t, told.New, r.New)
	require.Equal(t, told.Old, r.Old)
}
