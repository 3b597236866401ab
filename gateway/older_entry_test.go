package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/peer"
)

// TestLateWriteDoesNotBringTargetBack guards against requests to a target that has stated that it leaves, after
// the store has done an earlier write of the target late. In any order of a target's writes, and of the removal
// of its entry, the write with the highest sequence number so far holds.
func TestLateWriteDoesNotBringTargetBack(t *testing.T) {
	g := newTestGateway(t)
	g.codec = sequencedCodec{}
	at := feed.At(1, 10)
	g.applyDelta(listDelta(at, entryChange("other", sequencedEntry{Sequence: 1})), sourceStore)
	targets := 0
	rapid.Check(t, func(rt *rapid.T) {
		targets++
		name := fmt.Sprint("i-", targets)
		leavesFrom := rapid.Int64Range(2, 6).Draw(rt, "leaves from")
		highest, listed := int64(0), false
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			c := removalChange(name)
			if rapid.IntRange(0, 3).Draw(rt, "step") > 0 {
				sequence := rapid.Int64Range(1, 8).Draw(rt, "sequence")
				c = entryChange(name, sequencedEntry{Sequence: sequence, Leaves: sequence >= leavesFrom})
				listed = listed || sequence >= highest
				highest = max(highest, sequence)
			} else {
				listed = false
			}
			d := watchDelta(at, c)
			require.True(rt, g.applyDelta(d, sourceStore))
			at = d.To
			require.Equal(rt, listed && highest < leavesFrom, g.usesTarget(name))
		}
	})
}

func TestOlderEntryThatStaysListedIsUsed(t *testing.T) {
	t.Parallel()
	g := newTestGateway(t)
	g.codec = sequencedCodec{}
	at := feed.At(1, 10)
	g.applyDelta(listDelta(at, entryChange("i", sequencedEntry{Sequence: 9}), entryChange("gone", sequencedEntry{Sequence: 9})), sourceStore)
	d := watchDelta(at, removalChange("i"), removalChange("gone"), entryChange("i", sequencedEntry{Sequence: 2}), entryChange("gone", sequencedEntry{Sequence: 2}))
	require.True(t, g.applyDelta(d, sourceStore))
	require.False(t, g.usesTarget("i"), "an earlier write that was done late")
	require.True(t, g.applyDelta(watchDelta(d.To, removalChange("gone")), sourceStore))
	require.Eventually(t, func() bool { return g.usesTarget("i") }, 2*entryTTL, 10*time.Millisecond, "its writer keeps it alive")
	require.False(t, g.usesTarget("gone"))
}

// TestLateWriteDoesNotCancelHeldRemoval guards against a removed target that is used again because the store
// has done an earlier write of it while its removal was held.
func TestLateWriteDoesNotCancelHeldRemoval(t *testing.T) {
	g := newTestGateway(t)
	g.codec = sequencedCodec{}
	at := feed.At(1, 10)
	g.applyDelta(listDelta(at, entryChange("i", sequencedEntry{Sequence: 9}), entryChange("reborn", sequencedEntry{Born: 5, Sequence: 1})), sourceStore)
	g.mu.Lock()
	g.heldChanges[KindTargets].removals.Inherit(g.clock.Now(), 250*time.Millisecond, 0)
	g.mu.Unlock()
	removed := watchDelta(at, removalChange("i"), removalChange("reborn"))
	require.True(t, g.applyDelta(removed, sourceStore))
	late := watchDelta(removed.To, entryChange("i", sequencedEntry{Sequence: 2}), entryChange("reborn", sequencedEntry{Born: 4, Sequence: 9}))
	require.True(t, g.applyDelta(late, sourceStore))
	require.Eventually(t, func() bool { return !g.usesTarget("i") && !g.usesTarget("reborn") }, entryTTL/2, time.Millisecond)
}

// TestLateRemovalIsHardlyHeld guards against a removal that an instance learns late, and then holds for as long as
// the one that it hears it from, which has just come back from an outage of its own.
func TestLateRemovalIsHardlyHeld(t *testing.T) {
	g := newTestGateway(t)
	g.codec = sequencedCodec{}
	at := feed.At(1, 10)
	g.applyDelta(listDelta(at, entryChange("i", sequencedEntry{Sequence: 9})), sourceStore)
	removed := watchDelta(at, removalChange("i"))
	g.mu.Lock()
	g.catchUp[KindTargets].AddSource(g.clock.Now().Add(-2*time.Second), at, feed.Source{Addr: "n2", Position: removed.To})
	g.mu.Unlock()
	message, err := peer.NewDelta(removed)
	require.NoError(t, err)
	message.RemovalHold = time.Minute
	g.receiveDelta("n2", message)
	require.False(t, g.usesTarget("i"))
}
