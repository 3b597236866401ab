package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/feed"
)

func (g *Gateway) isEvacuated(hall string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evacuated[hall]
}

// TestEvacuationsSurviveRestore checks which halls are evacuated after the store was restored from a backup,
// directly afterwards and once all holds have ended.
func TestEvacuationsSurviveRestore(t *testing.T) {
	t.Parallel()
	evacuated := feed.Change{Object: feed.Object{Name: "a1", Value: []byte("{}")}}
	takenBack := removalChange("a1")
	cases := []struct {
		name string
		// before is received in the first era, restored is the list of the backup, and after follows it.
		before, restored, after []feed.Change
		now, inTheEnd           bool
	}{
		{name: "begun before the backup", before: []feed.Change{evacuated}, restored: []feed.Change{evacuated}, now: true, inTheEnd: true},
		{name: "begun after the backup", before: []feed.Change{evacuated}, now: true},
		{name: "begun after the backup, and again", before: []feed.Change{evacuated}, after: []feed.Change{evacuated}, now: true, inTheEnd: true},
		{name: "begun after the backup, again, and ended", before: []feed.Change{evacuated}, after: []feed.Change{evacuated, takenBack}},
		{name: "ended after the backup", before: []feed.Change{evacuated, takenBack}, restored: []feed.Change{evacuated}, inTheEnd: true},
		{name: "ended after the backup, and again", before: []feed.Change{evacuated, takenBack}, restored: []feed.Change{evacuated}, after: []feed.Change{takenBack}},
		{name: "begun in the new era", restored: []feed.Change{evacuated}, now: true, inTheEnd: true},
		{name: "begun after the list", after: []feed.Change{evacuated}, now: true, inTheEnd: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := newTestGateway(t)
			at := feed.At(1, 10)
			take := func(d feed.Delta) {
				d.Kind = KindEvacuations
				require.True(t, g.applyDelta(d, sourceStore))
				at = d.To
			}
			take(listDelta(at))
			for _, change := range c.before {
				take(watchDelta(at, change))
			}
			take(listDelta(feed.At(2, 10), c.restored...))
			for _, change := range c.after {
				take(watchDelta(at, change))
			}
			require.Equal(t, c.now, g.isEvacuated("a1"))
			if c.now != c.inTheEnd {
				require.Eventually(t, func() bool { return g.isEvacuated("a1") == c.inTheEnd }, 20*time.Second, 10*time.Millisecond)
			}
			time.Sleep(3 * time.Second)
			require.Equal(t, c.inTheEnd, g.isEvacuated("a1"))
		})
	}
}
