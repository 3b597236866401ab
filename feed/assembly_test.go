package feed_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/feed"
)

// TestPartsLeadToStatesOfTheStore draws the parts of a delta that a replica requests from three others, which watch the
// store or list it anew meanwhile. Objects have few names and values, so that they return to earlier states, and the
// store is restored from backups. Parts are lost and repeated. The replica always holds the state that the
// store had at its position, and reaches the last one.
func TestPartsLeadToStatesOfTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		write := func() {
			name := fmt.Sprint("o", rapid.IntRange(0, 5).Draw(t, "name"))
			s.write(name, fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "value")), rapid.IntRange(0, 2).Draw(t, "removed") == 0)
		}
		write()
		sources := []*feed.Replica{feed.NewReplica("k"), feed.NewReplica("k"), feed.NewReplica("k")}
		r := feed.NewReplica("k")
		for _, each := range append(sources, r) {
			each.Apply(s.fullDelta())
		}
		var a feed.Assembly
		var earlier []feed.Delta
		take := func(d feed.Delta) {
			whole, done := d, true
			if d.IsPart() {
				whole, done, _ = a.Add(d)
			}
			if done {
				r.Apply(whole)
			}
			require.Equal(t, s.states[r.Position()], objectsOf(r))
		}
		ask := func(source *feed.Replica) feed.Delta {
			q := a.Query(r)
			// A replica that is behind does not answer.
			if !source.Position().After(r.Position()) {
				return feed.Delta{}
			}
			d := source.Part(q, rapid.IntRange(1, 150).Draw(t, "bytes"))
			earlier = append(earlier, d)
			return d
		}
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			source := sources[rapid.IntRange(0, 2).Draw(t, "source")]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				write()
			case 2, 3:
				if source.Position().Era == s.at.Era {
					source.Apply(s.deltaSince(source.Position()))
				}
			case 4:
				source.Apply(s.fullDelta())
			case 5:
				s.restore(rapid.Int64Range(0, 5).Draw(t, "lost"))
			case 6:
				if len(earlier) > 0 {
					take(earlier[rapid.IntRange(0, len(earlier)-1).Draw(t, "earlier")])
				}
			case 7:
				ask(source)
			default:
				take(ask(source))
			}
		}
		write()
		sources[0].Apply(s.fullDelta())
		for range 20 {
			if sources[0].Position().After(r.Position()) {
				take(ask(sources[0]))
			}
		}
		require.Equal(t, s.at, r.Position())
		require.Equal(t, s.states[s.at], objectsOf(r))
	})
}

// TestPartsOfStateThatReturns guards against a replica that keeps the first parts of a difference which is none by the
// time of the next part.
func TestPartsOfStateThatReturns(t *testing.T) {
	state := func(to int64, value string) feed.Delta {
		d := feed.Delta{To: feed.At(0, to), Full: true}
		for i := range 6 {
			d.Changes = append(d.Changes, feed.Change{Object: feed.Object{Name: fmt.Sprint("o", i), Value: []byte(value)}})
		}
		return d
	}
	source, r := feed.NewReplica(""), feed.NewReplica("")
	r.Apply(state(1, "before"))
	source.Apply(state(1, "before"))
	source.Apply(state(5, "after"))
	var a feed.Assembly
	first := source.Part(a.Query(r), 100)
	require.True(t, first.Exact && first.IsPart())
	_, done, _ := a.Add(first)
	require.False(t, done)
	source.Apply(feed.Delta{From: feed.At(0, 5), To: feed.At(0, 6), Changes: state(6, "before").Changes})
	next := source.Part(a.Query(r), 100)
	if next.IsPart() {
		next, _, _ = a.Add(next)
	}
	_, ok := r.Apply(next)
	require.True(t, ok)
	require.Equal(t, source.Position(), r.Position())
	require.Equal(t, objectsOf(source), objectsOf(r))
}
