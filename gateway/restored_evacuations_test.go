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

// TestEvacuationsSurviveRestore checks which halls are emptied after the store came back from a copy, at
// once and once nothing is held back any more.
func TestEvacuationsSurviveRestore(t *testing.T) {
	t.Parallel()
	evacuated := feed.Change{Object: feed.Object{Name: "a1", Value: []byte("{}")}}
	takenBack := removalChange("a1")
	cases := []struct {
		name string
		// before comes in the first era, restored is the copy as listed, and after comes then.
		before, restored, after []feed.Change
		now, inTheEnd           bool
	}{
		{name: "asked for before the copy", before: []feed.Change{evacuated}, restored: []feed.Change{evacuated}, now: true, inTheEnd: true},
		{name: "asked for after the copy", before: []feed.Change{evacuated}, now: true},
		{name: "asked for after the copy, and again", before: []feed.Change{evacuated}, after: []feed.Change{evacuated}, now: true, inTheEnd: true},
		{name: "asked for after the copy, again, and taken back", before: []feed.Change{evacuated}, after: []feed.Change{evacuated, takenBack}},
		{name: "taken back after the copy", before: []feed.Change{evacuated, takenBack}, restored: []feed.Change{evacuated}, inTheEnd: true},
		{name: "taken back after the copy, and again", before: []feed.Change{evacuated, takenBack}, restored: []feed.Change{evacuated}, after: []feed.Change{takenBack}},
		{name: "asked for in the new era", restored: []feed.Change{evacuated}, now: true, inTheEnd: true},
		{name: "asked for after the list", after: []feed.Change{evacuated}, now: true, inTheEnd: true},
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
