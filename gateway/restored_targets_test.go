package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/feed"
)

// sequencedEntry is the entry of a target as sequencedCodec decodes it.
type sequencedEntry struct {
	Born, Sequence int64
	Leaves         bool
}

// sequencedCodec decodes entries that are ordered within an incarnation by a sequence number.
type sequencedCodec struct{ plainCodec }

func (sequencedCodec) Target(name string, raw []byte) (catalog.Target, error) {
	var e sequencedEntry
	if err := json.Unmarshal(raw, &e); err != nil {
		return catalog.Target{}, &catalog.EntryError{Field: "entry", Problem: "can't be read"}
	}
	return catalog.Target{ID: catalog.IncarnationID(name, e.Born), Name: name, StartedAt: e.Born, Sequence: e.Sequence,
		Service: "s", Addr: "x", Hall: "a1", Slots: 3, Leaving: e.Leaves}, nil
}

// entryChange returns the change by which a target writes its entry.
func entryChange(name string, e sequencedEntry) feed.Change {
	raw, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return feed.Change{Object: feed.Object{Name: name, Value: raw}}
}

func removalChange(name string) feed.Change {
	return feed.Change{Object: feed.Object{Name: name}, Removed: true}
}

// listDelta returns the delta of a list of targets at a position, and watchDelta that of a watch with the
// next position.
func listDelta(at feed.Position, changes ...feed.Change) feed.Delta {
	return feed.Delta{Kind: KindTargets, To: at, Full: true, Changes: changes}
}

func watchDelta(from feed.Position, changes ...feed.Change) feed.Delta {
	return feed.Delta{Kind: KindTargets, From: from, To: feed.At(from.Era, from.Revision+1), Changes: changes}
}

// TestTargetsSurviveRestore checks whether an instance uses a target after the store was restored from a
// backup. What the instance knew before the restore holds until the target writes a newer entry.
func TestTargetsSurviveRestore(t *testing.T) {
	var (
		ready   = sequencedEntry{Sequence: 1}
		leaves  = sequencedEntry{Sequence: 2, Leaves: true}
		back    = sequencedEntry{Sequence: 3}
		newer   = sequencedEntry{Sequence: 9}
		again   = sequencedEntry{Born: 5, Sequence: 1}
		leavesA = sequencedEntry{Born: 5, Sequence: 2, Leaves: true}
		reborn  = sequencedEntry{Born: 6, Sequence: 1}
	)
	cases := []struct {
		name string
		// before is received in the first era, restored is the list of the backup, and after follows it.
		before, restored, after []feed.Change
		used                    bool
	}{
		{name: "nothing was lost", before: []feed.Change{entryChange("i", ready)}, restored: []feed.Change{entryChange("i", ready)}, used: true},
		{name: "left after the backup", before: []feed.Change{entryChange("i", ready), entryChange("i", leaves)}, restored: []feed.Change{entryChange("i", ready)}},
		{name: "left after the backup, and announces it again", before: []feed.Change{entryChange("i", ready), entryChange("i", leaves)},
			restored: []feed.Change{entryChange("i", ready)}, after: []feed.Change{entryChange("i", leaves)}},
		{name: "left after the backup, and is ready again", before: []feed.Change{entryChange("i", ready), entryChange("i", leaves)},
			restored: []feed.Change{entryChange("i", ready)}, after: []feed.Change{entryChange("i", back)}, used: true},
		{name: "left after the backup, and was ready again before the list", before: []feed.Change{entryChange("i", ready), entryChange("i", leaves)},
			restored: []feed.Change{entryChange("i", back)}, used: true},
		{name: "left after the backup, and has restarted", before: []feed.Change{entryChange("i", again), entryChange("i", leavesA)},
			restored: []feed.Change{entryChange("i", reborn)}, used: true},
		{name: "removed after the backup", before: []feed.Change{entryChange("i", ready), removalChange("i")}, restored: []feed.Change{entryChange("i", ready)}},
		{name: "left and was removed after the backup", before: []feed.Change{entryChange("i", ready), entryChange("i", leaves), removalChange("i")},
			restored: []feed.Change{entryChange("i", ready)}},
		{name: "removed after the backup, and is removed again", before: []feed.Change{entryChange("i", ready), removalChange("i")},
			restored: []feed.Change{entryChange("i", ready)}, after: []feed.Change{removalChange("i")}},
		{name: "expired after the backup, and writes again", before: []feed.Change{entryChange("i", ready), removalChange("i")},
			restored: []feed.Change{entryChange("i", ready)}, after: []feed.Change{entryChange("i", newer)}, used: true},
		{name: "expired after the backup, and wrote again before the list", before: []feed.Change{entryChange("i", ready), removalChange("i")},
			restored: []feed.Change{entryChange("i", newer)}, used: true},
		{name: "removed after the backup, and has restarted", before: []feed.Change{entryChange("i", again), removalChange("i")},
			restored: []feed.Change{entryChange("i", reborn)}, used: true},
		{name: "started after the backup", before: []feed.Change{entryChange("i", ready)}, used: true},
		{name: "started after the backup, and leaves", before: []feed.Change{entryChange("i", leaves)}},
		{name: "started after the backup, and writes again", before: []feed.Change{entryChange("i", ready)}, after: []feed.Change{entryChange("i", ready)}, used: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGateway(t)
			g.codec = sequencedCodec{}
			other := entryChange("other", sequencedEntry{Sequence: 1})
			at := feed.At(1, 10)
			g.applyDelta(listDelta(at, other), sourceStore)
			for _, change := range c.before {
				d := watchDelta(at, change)
				require.True(t, g.applyDelta(d, sourceStore))
				at = d.To
			}
			at = feed.At(2, 10)
			require.True(t, g.applyDelta(listDelta(at, append(c.restored, other)...), sourceStore))
			for _, change := range c.after {
				d := watchDelta(at, change)
				require.True(t, g.applyDelta(d, sourceStore))
				at = d.To
			}
			require.Equal(t, c.used, g.usesTarget("i"))
			require.True(t, g.usesTarget("other"))
		})
	}
}

// usesTarget reports whether requests may be sent to the target with the given name.
func (g *Gateway) usesTarget(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	spec, ok := g.targetList.specs[name]
	return ok && !spec.Leaving
}

// TestTargetHoldsExpireAfterRestore checks that the instance follows the restored store once all holds have
// ended. A target that the store lacks is removed. A target that was removed before the restore and is listed
// again is used, unless it has announced its departure.
func TestTargetHoldsExpireAfterRestore(t *testing.T) {
	t.Parallel()
	g := newTestGateway(t)
	g.codec = sequencedCodec{}
	at := feed.At(1, 10)
	entry := sequencedEntry{Sequence: 1}
	g.applyDelta(listDelta(at, entryChange("lapsed", entry), entryChange("leaves", entry), entryChange("new", entry)), sourceStore)
	g.applyDelta(watchDelta(at, removalChange("lapsed"), entryChange("leaves", sequencedEntry{Sequence: 2, Leaves: true})), sourceStore)
	g.applyDelta(listDelta(feed.At(2, 10), entryChange("lapsed", entry), entryChange("leaves", entry)), sourceStore)
	require.True(t, g.usesTarget("new"))
	require.False(t, g.usesTarget("lapsed"))
	require.Eventually(t, func() bool { return !g.usesTarget("new") && g.usesTarget("lapsed") }, 20*time.Second, 10*time.Millisecond)
	require.False(t, g.usesTarget("leaves"))
}
