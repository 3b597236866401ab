package gateway

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/peer"
)

// randomValue returns n bytes that compression does not shorten.
func randomValue(rng *rand.Rand, n int) []byte {
	value := make([]byte, n)
	for i := range value {
		value[i] = byte(rng.Uint32())
	}
	return value
}

// setTo returns a change that sets an object.
func setTo(name string, value []byte) feed.Change {
	return feed.Change{Object: feed.Object{Name: name, Value: value}}
}

// nextOfKind returns the next delta of a kind that the peer receives.
func (n *fakePeer) nextOfKind(t *testing.T, kind feed.Kind) feed.Delta {
	for {
		if d := n.nextDelta(t); d.Kind == kind {
			return d
		}
	}
}

// valuesOf returns the values of a replica's objects by name.
func valuesOf(r *feed.Replica) map[string]string {
	out := make(map[string]string)
	r.Range(func(o feed.Object) { out[o.Name] = string(o.Value) })
	return out
}

// TestManyChangesOfLargeObjectAreAnswered guards against an instance that keeps an old configuration for good: it
// lacks so many changes of a large object that all of them together exceed a message.
func TestManyChangesOfLargeObjectAreAnswered(t *testing.T) {
	g, other := newTestGateway(t), newFakePeer(t, "n2")
	rng := rand.New(rand.NewPCG(1, 1))
	behind := feed.NewReplica(KindTable)
	first := feed.Delta{Kind: KindTable, To: feed.At(0, 1), Full: true, Changes: []feed.Change{setTo("o", nil)}}
	require.True(t, g.applyDelta(first, sourceStore))
	behind.Apply(first)
	for at := range int64(25) {
		d := feed.Delta{Kind: KindTable, From: feed.At(0, at+1), To: feed.At(0, at+2), Changes: []feed.Change{setTo("o", randomValue(rng, 64<<10))}}
		require.True(t, g.applyDelta(d, sourceStore))
	}
	from, digest := behind.Missing()
	g.Receive(other.addr, &peer.DeltaRequest{Kind: KindTable, Position: from, Digest: digest, ReplyTo: other.addr})
	_, ok := behind.Apply(other.nextOfKind(t, KindTable))
	require.True(t, ok)
	require.Equal(t, valuesOf(g.replicas[KindTable]), valuesOf(behind))
}

// TestManyChangesInOneReadArePushed guards against a change that the others don't get because one read of the
// store has returned so many changes of a large object that they exceed a message.
func TestManyChangesInOneReadArePushed(t *testing.T) {
	g := newTestGateway(t)
	g.watch.setWatching(true)
	other := newFakePeer(t, "n2")
	other.gossip(g, 1)
	rng := rand.New(rand.NewPCG(1, 1))
	first := feed.Delta{Kind: KindTable, To: feed.At(0, 1), Full: true, Changes: []feed.Change{setTo("o", nil)}}
	require.True(t, g.applyDelta(first, sourceStore))
	read := feed.Delta{Kind: KindTable, From: feed.At(0, 1), To: feed.At(0, 25)}
	for range 24 {
		read.Changes = append(read.Changes, setTo("o", randomValue(rng, 260<<10)))
	}
	require.True(t, g.applyDelta(read, sourceStore))
	d := other.nextOfKind(t, KindTable)
	require.Equal(t, read.To, d.To)
	require.Equal(t, read.Changes[23:], d.Changes)
}

// TestLargeStateArrivesInParts guards against an instance that never gets objects which exceed a message
// together. A push that can't be sent tells the others that they are behind. They request the parts.
func TestLargeStateArrivesInParts(t *testing.T) {
	g, h := newTestGateway(t), newTestGateway(t)
	g.watch.setWatching(true)
	other := newFakePeer(t, "n2")
	other.gossip(g, 1)
	rng := rand.New(rand.NewPCG(1, 1))
	first := feed.Delta{Kind: KindTable, To: feed.At(0, 1), Full: true, Changes: []feed.Change{setTo("o", nil)}}
	read := feed.Delta{Kind: KindTable, From: feed.At(0, 1), To: feed.At(0, 25)}
	for i := range 24 {
		read.Changes = append(read.Changes, setTo(fmt.Sprint("o", i), randomValue(rng, 260<<10)))
	}
	for _, d := range []feed.Delta{first, read} {
		require.True(t, g.applyDelta(d, sourceStore))
	}
	require.True(t, h.applyDelta(first, sourceStore))
	push, err := peer.NewDelta(other.nextOfKind(t, KindTable))
	require.NoError(t, err)
	go func() {
		for range other.messages {
			// The requests for parts are answered below.
		}
	}()
	h.Receive(other.addr, push)
	for range 2 * len(read.Changes) {
		g.mu.Lock()
		message, err := packPart(g.replicas[KindTable], h.replication[KindTable].assembly.Query(h.replicas[KindTable]))
		g.mu.Unlock()
		require.NoError(t, err)
		h.Receive(other.addr, message)
		if h.position(KindTable) == read.To {
			break
		}
	}
	require.Equal(t, valuesOf(g.replicas[KindTable]), valuesOf(h.replicas[KindTable]))
}

// lagging is a replica that requests what it lacks from others, over messages that may be lost or repeated.
type lagging struct {
	t        *rapid.T
	replica  *feed.Replica
	assembly feed.Assembly
	earlier  []feed.Delta
	messages int
}

// ask requests the next part from a source. The reply is lost, or arrives after a repeated earlier one, as drawn.
func (l *lagging) ask(source *feed.Replica, lose, repeat bool) {
	packed, err := packPart(source, l.assembly.Query(l.replica))
	require.NoError(l.t, err)
	frame, err := peer.Encode(packed)
	require.NoError(l.t, err)
	l.messages++
	if lose {
		return
	}
	if repeat && len(l.earlier) > 0 {
		l.take(l.earlier[rapid.IntRange(0, len(l.earlier)-1).Draw(l.t, "earlier")])
	}
	arrived, err := peer.ReadFrame(bytes.NewReader(frame))
	require.NoError(l.t, err)
	d, err := arrived.(*peer.Delta).Unpack()
	require.NoError(l.t, err)
	l.earlier = append(l.earlier, d)
	l.take(d)
}

// take applies a delta, or adds a part.
func (l *lagging) take(d feed.Delta) {
	if !d.IsPart() {
		l.replica.Apply(d)
		return
	}
	if whole, done, _ := l.assembly.Add(d); done {
		l.replica.Apply(whole)
	}
}

// TestWhateverIsMissingArrives guards against a replica that stays behind for good, whatever it lacks. It draws
// the number, the sizes and the compressibility of the objects, the changes that the replica lacks, those made while it
// catches up, reads by which a source skips changes, sources of different ages, and lost and repeated messages.
// Each message can be sent, no state is reached that the store did not have at its position, and once the changes
// end, the replica has all of them after as many messages as its parts need.
func TestWhateverIsMissingArrives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(uint64(rapid.IntRange(0, 1<<30).Draw(t, "seed")), 1))
		names := rapid.SampledFrom([]int{1, 5, 100, 2000}).Draw(t, "names")
		size := min(rapid.SampledFrom([]int{40, 350, 60 << 10, 640 << 10, 1 << 20}).Draw(t, "bytes"), 6<<20/names)
		packs := rapid.Bool().Draw(t, "compressible")
		sources := []*feed.Replica{feed.NewReplica(KindTable), feed.NewReplica(KindTable)}
		states := make(map[feed.Position]map[string]string)
		current, at := make(map[string]string), feed.At(0, 1)
		value := func() []byte {
			if packs {
				return bytes.Repeat([]byte{byte(rng.Uint32())}, size)
			}
			return randomValue(rng, size)
		}
		for i := range names {
			current[fmt.Sprintf("o%05d", i)] = string(value())
		}
		list := func() feed.Delta {
			d := feed.Delta{Kind: KindTable, To: at, Full: true}
			for _, name := range slices.Sorted(maps.Keys(current)) {
				d.Changes = append(d.Changes, setTo(name, []byte(current[name])))
			}
			return d
		}
		change := func(n int) {
			d := feed.Delta{Kind: KindTable, From: at, To: feed.At(0, at.Revision+int64(n))}
			for range n {
				name := fmt.Sprintf("o%05d", rng.IntN(names))
				c := setTo(name, value())
				c.Removed = rng.IntN(5) == 0
				delete(current, name)
				if !c.Removed {
					current[name] = string(c.Value)
				}
				d.Changes = append(d.Changes, c)
			}
			at = d.To
			states[at] = maps.Clone(current)
			for i, source := range sources {
				if i > 0 && rng.IntN(2) == 0 {
					continue // This one is at an earlier state, and lists the store later.
				}
				if rng.IntN(10) == 0 {
					source.Apply(list())
				} else if _, ok := source.Apply(d); !ok {
					source.Apply(list())
				}
			}
		}
		states[at] = maps.Clone(current)
		for _, source := range sources {
			source.Apply(list())
		}
		l := &lagging{t: t, replica: feed.NewReplica(KindTable)}
		if rapid.Bool().Draw(t, "held") {
			l.replica.Apply(list())
		}
		for range rapid.IntRange(0, 60).Draw(t, "changes") {
			change(rng.IntN(3) + 1)
		}
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			change(rng.IntN(3))
			l.ask(sources[rng.IntN(2)], rng.IntN(4) == 0, rng.IntN(4) == 0)
			if p := l.replica.Position(); !p.IsZero() {
				require.Equal(t, states[p], valuesOf(l.replica))
			}
		}
		change(1)
		sources[0].Apply(list())
		l.messages = 0
		for sources[0].Position().After(l.replica.Position()) {
			l.ask(sources[0], false, false)
			require.Less(t, l.messages, 40, "6 MB in parts of at least half a message, twice over")
		}
		require.Equal(t, current, valuesOf(l.replica))
	})
}

// TestStuckReplicaReadsTheStore guards against an instance that stays behind because the others, who have the
// changes, don't answer its requests.
func TestStuckReplicaReadsTheStore(t *testing.T) {
	g := newTestGateway(t)
	require.True(t, g.applyDelta(feed.Delta{Kind: KindTargets, To: feed.At(0, 10), Full: true, Changes: []feed.Change{change("i-1", false)}}, sourceStore))
	silent := newFakePeer(t, "n0")
	require.False(t, g.needsVerification(KindTargets))
	require.Eventually(t, func() bool {
		silent.gossip(g, 12)
		return g.needsVerification(KindTargets)
	}, 10*time.Second, 50*time.Millisecond)
	require.True(t, g.applyDelta(feed.Delta{Kind: KindTargets, From: feed.At(0, 10), To: feed.At(0, 12), Changes: []feed.Change{change("i-2", false)}}, sourceStore))
	g.mu.Lock()
	g.catchUp[KindTargets].BehindFor(g.clock.Now(), g.replicas[KindTargets].Position())
	g.mu.Unlock()
	require.False(t, g.needsVerification(KindTargets))
}
