package feed_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/feed"
)

// store is the reference. It records every state that the store has had.
type store struct {
	at      feed.Position
	states  map[feed.Position]map[string]string
	changes map[feed.Position]feed.Change
}

func newStore() *store {
	return &store{states: map[feed.Position]map[string]string{{}: {}}, changes: map[feed.Position]feed.Change{}}
}

func (s *store) write(name, value string, gone bool) {
	next := maps.Clone(s.states[s.at])
	if gone {
		delete(next, name)
	} else {
		next[name] = value
	}
	s.at.Revision++
	s.states[s.at] = next
	s.changes[s.at] = feed.Change{Object: feed.Object{Name: name, Value: []byte(value)}, Removed: gone}
}

// restore simulates a restore from a backup that lacks the latest writes.
func (s *store) restore(lost int64) {
	copied := feed.At(s.at.Era, max(s.at.Revision-lost, 0))
	state := s.states[copied]
	if state == nil {
		// The previous era had fewer writes.
		return
	}
	s.at = feed.At(s.at.Era+1, copied.Revision)
	s.states[s.at] = state
}

// deltaSince returns the delta that a watch from a position of the current era delivers.
func (s *store) deltaSince(from feed.Position) feed.Delta {
	d := feed.Delta{From: from, To: s.at}
	for r := from.Revision + 1; r <= s.at.Revision; r++ {
		d.Changes = append(d.Changes, s.changes[feed.At(s.at.Era, r)])
	}
	return d
}

func (s *store) fullDelta() feed.Delta {
	d := feed.Delta{To: s.at, Full: true}
	for name, value := range s.states[s.at] {
		d.Changes = append(d.Changes, feed.Change{Object: feed.Object{Name: name, Value: []byte(value)}})
	}
	return d
}

func objectsOf(r *feed.Replica) map[string]string {
	out := map[string]string{}
	r.Range(func(o feed.Object) { out[o.Name] = string(o.Value) })
	return out
}

// TestReplicasFollowTheStore checks that replicas converge to the store. Each of
// five replicas watches the store, lists it anew, requests deltas from the others, and
// receives earlier deltas late or again, while the store is restored from backups. Every
// replica must always hold exactly one of the states of the store, and must never move to
// an earlier state, where a state of a later era counts as later. At the end one replica lists the
// store and the others request its changes, and all must hold the state of the store.
func TestReplicasFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		replicas := make([]*feed.Replica, 5)
		for i := range replicas {
			replicas[i] = feed.NewReplica("k")
		}
		var wire []feed.Delta
		check := func(r *feed.Replica, before feed.Position) {
			require.False(t, before.After(r.Position()))
			if !r.Position().IsZero() {
				require.Equal(t, s.states[r.Position()], objectsOf(r))
			}
			for _, other := range replicas {
				require.Equal(t, maps.Equal(objectsOf(r), objectsOf(other)), r.Digest() == other.Digest())
			}
		}
		take := func(r *feed.Replica, d feed.Delta) {
			before := r.Position()
			_, ok := r.Apply(d)
			require.Equal(t, ok, !d.To.After(r.Position()))
			check(r, before)
		}
		watch := func(r *feed.Replica) {
			if r.Position().IsZero() || r.Position().Era != s.at.Era {
				return
			}
			d := s.deltaSince(r.Position())
			wire = append(wire, d)
			take(r, d)
		}
		list := func(r *feed.Replica) {
			d := s.fullDelta()
			before, digest := r.Position(), r.Digest()
			_, ok := r.Apply(d)
			require.True(t, ok)
			check(r, before)
			wire = append(wire, d)
			if !before.IsZero() && r.Position().After(before) {
				wire = append(wire, r.DeltaSince(before, digest))
			}
		}
		ask := func(r, other *feed.Replica) {
			if !other.Position().After(r.Position()) {
				return
			}
			d := other.DeltaSince(r.Position(), r.Digest())
			if r.Digest() == other.Digest() && r.Len() > 0 {
				require.Empty(t, d.Changes)
			}
			wire = append(wire, d)
			take(r, d)
			require.Equal(t, other.Position(), r.Position())
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := replicas[rapid.IntRange(0, 4).Draw(t, "replica")]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				name := fmt.Sprint("o", rapid.IntRange(0, 3).Draw(t, "name"))
				s.write(name, fmt.Sprint(s.at), rapid.IntRange(0, 3).Draw(t, "gone") == 0)
			case 2:
				watch(r)
			case 3:
				list(r)
			case 4: // A delta arrives late or again.
				if len(wire) > 0 {
					take(r, wire[rapid.IntRange(0, len(wire)-1).Draw(t, "delta")])
				}
			case 5: // A replica requests its missing changes from another one.
				ask(r, replicas[rapid.IntRange(0, 4).Draw(t, "other")])
			case 6:
				s.restore(rapid.Int64Range(0, 10).Draw(t, "lost"))
			}
		}
		s.write("last", "1", false)
		list(replicas[0])
		for _, r := range replicas[1:] {
			ask(r, replicas[0])
			require.Equal(t, s.states[s.at], objectsOf(r))
		}
	})
}

func TestGapIsRejected(t *testing.T) {
	r := feed.NewReplica("k")
	_, ok := r.Apply(feed.Delta{From: feed.At(0, 0), To: feed.At(0, 3)})
	require.False(t, ok, "an incremental delta does not apply to an empty replica")
	_, ok = r.Apply(feed.Delta{To: feed.At(0, 3), Full: true})
	require.True(t, ok)
	_, ok = r.Apply(feed.Delta{From: feed.At(0, 4), To: feed.At(0, 6)})
	require.False(t, ok)
	require.Equal(t, feed.At(0, 3), r.Position())
}

// TestEqualReplicasExchangeNoObjects checks a replica that was read from the store anew and
// so reflects a later revision than its neighbours, with the same objects. It must advance
// the neighbours to its own revision without sending these objects, so that the next change
// applies to them without a gap.
func TestEqualReplicasExchangeNoObjects(t *testing.T) {
	object := feed.Change{Object: feed.Object{Name: "o", Value: []byte("1")}}
	follower, anew := feed.NewReplica("k"), feed.NewReplica("k")
	follower.Apply(feed.Delta{Kind: "k", To: feed.At(0, 126), Full: true, Changes: []feed.Change{object}})
	anew.Apply(feed.Delta{Kind: "k", To: feed.At(0, 128), Full: true, Changes: []feed.Change{object}})
	d := anew.DeltaSince(follower.Position(), follower.Digest())
	require.Equal(t, feed.Delta{Kind: "k", From: feed.At(0, 126), To: feed.At(0, 128), Exact: true, Digest: follower.Digest()}, d)
	_, ok := follower.Apply(d)
	require.True(t, ok)
	object.Value = []byte("2")
	_, ok = follower.Apply(feed.Delta{Kind: "k", From: feed.At(0, 128), To: feed.At(0, 129), Changes: []feed.Change{object}})
	require.True(t, ok)
	require.Equal(t, feed.At(0, 129), follower.Position())
	require.True(t, anew.DeltaSince(feed.At(0, 126), follower.Digest()).Full, "the objects differ")
}

// TestPositionInsideExactDelta guards against objects that are never removed. A replica
// holds an object that was created and removed between the two states of an exact delta. The
// delta that it requests must lead to the same objects, whether or not the exact delta is
// empty and whatever the history holds before it.
func TestPositionInsideExactDelta(t *testing.T) {
	object := func(name string, gone bool) feed.Change {
		return feed.Change{Object: feed.Object{Name: name, Value: []byte("1")}, Removed: gone}
	}
	whole := func(to int64, names ...string) feed.Delta {
		d := feed.Delta{To: feed.At(0, to), Full: true}
		for _, name := range names {
			d.Changes = append(d.Changes, object(name, false))
		}
		return d
	}
	cases := []struct {
		name  string
		steps []feed.Delta
	}{
		{"exact delta with changes", []feed.Delta{whole(1), whole(5, "a")}},
		{"empty exact delta", []feed.Delta{whole(1), whole(5)}},
		{"empty exact delta after an incremental one", []feed.Delta{whole(1), {From: feed.At(0, 1), To: feed.At(0, 2), Changes: []feed.Change{object("a", false)}}, whole(5, "a")}},
		{"empty exact delta before an incremental one", []feed.Delta{whole(1), whole(5), {From: feed.At(0, 5), To: feed.At(0, 6), Changes: []feed.Change{object("a", false)}}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, within := feed.NewReplica(""), feed.NewReplica("")
			for _, d := range c.steps {
				_, ok := r.Apply(d)
				require.True(t, ok)
			}
			within.Apply(whole(3, "came and went"))
			_, ok := within.Apply(r.DeltaSince(within.Position(), within.Digest()))
			require.True(t, ok)
			require.Equal(t, objectsOf(r), objectsOf(within))
			require.Equal(t, r.Position(), within.Position())
		})
	}
}

// TestReplicaInDoubt checks what a replica that is in doubt sends. The changes of the store that it has applied are
// as good as any, whereas all of its objects, and the differences that led to them, are said to be torn or
// not sent.
func TestReplicaInDoubt(t *testing.T) {
	object := func(value string) []feed.Change {
		return []feed.Change{{Object: feed.Object{Name: "o", Value: []byte(value)}}}
	}
	r := feed.NewReplica("k")
	apply := func(d feed.Delta) {
		_, ok := r.Apply(d)
		require.True(t, ok)
	}
	apply(feed.Delta{Kind: "k", To: feed.At(0, 1), Full: true, Changes: object("1")})
	first := r.Digest()
	apply(feed.Delta{Kind: "k", To: feed.At(0, 5), Full: true, Changes: object("5")})
	apply(feed.Delta{Kind: "k", From: feed.At(0, 5), To: feed.At(0, 6), Changes: object("6")})
	require.True(t, r.DeltaSince(feed.At(0, 1), first).Exact)
	require.True(t, r.DeltaSince(feed.At(0, 1), first+1).Full, "other objects than those of the difference")
	r.MarkInDoubt()
	require.Equal(t, feed.Delta{Kind: "k", From: feed.At(0, 5), To: feed.At(0, 6), Changes: object("6")}, r.DeltaSince(feed.At(0, 5), 9))
	for _, digest := range []uint64{first, r.Digest()} {
		d := r.DeltaSince(feed.At(0, 1), digest)
		require.True(t, d.Full && d.Torn)
	}
	apply(feed.Delta{Kind: "k", To: feed.At(0, 6), Full: true, Torn: true, Changes: object("7")})
	require.True(t, r.InDoubt())
	require.Equal(t, map[string]string{"o": "6"}, objectsOf(r))
	apply(feed.Delta{Kind: "k", To: feed.At(0, 6), Full: true, Changes: object("7")})
	require.False(t, r.InDoubt())
	require.Equal(t, map[string]string{"o": "7"}, objectsOf(r))
	require.False(t, r.DeltaSince(feed.At(0, 1), 0).Torn)
}
