package gateway

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/upstream"
)

// incarnationEntry is the entry of a target as incarnationCodec decodes it.
type incarnationEntry struct {
	Born    int64
	Leaves  bool
	Foreign bool
}

// incarnationCodec decodes entries that hold the start time of a target.
type incarnationCodec struct{ plainCodec }

func (incarnationCodec) Target(name string, raw []byte) (catalog.Target, error) {
	var e incarnationEntry
	err := json.Unmarshal(raw, &e)
	if err != nil || e.Foreign {
		return catalog.Target{}, &catalog.EntryError{Field: "state", Problem: "says nothing known"}
	}
	return catalog.Target{ID: catalog.IncarnationID(name, e.Born), Name: name, StartedAt: e.Born, Service: "s", Addr: "x", Hall: "a1", Slots: 3, Leaving: e.Leaves}, nil
}

// modelStore is a model of a store that holds one entry, with the full history of its changes.
type modelStore struct {
	changes []feed.Change
}

func (s *modelStore) write(e *incarnationEntry) {
	c := feed.Change{Object: feed.Object{Name: "i-1"}, Removed: e == nil}
	if e != nil {
		raw, err := json.Marshal(e)
		if err != nil {
			panic(err)
		}
		c.Value = raw
	}
	s.changes = append(s.changes, c)
}

// at returns the current position of the store.
func (s *modelStore) at() feed.Position { return feed.At(0, int64(len(s.changes))) }

// since returns the delta that a watch from a position returns.
func (s *modelStore) since(from feed.Position) feed.Delta {
	return feed.Delta{Kind: KindTargets, From: from, To: s.at(), Changes: s.changes[from.Revision:]}
}

// list returns the delta that a list returns.
func (s *modelStore) list() feed.Delta {
	d := feed.Delta{Kind: KindTargets, To: s.at(), Full: true}
	if last := s.changes[len(s.changes)-1]; !last.Removed {
		d.Changes = append(d.Changes, last)
	}
	return d
}

// reference determines what an instance should use, from the changes that it has received, one by one.
type reference struct {
	// latest is the latest start seen, and used the entry that should be used, or nil for none.
	latest int64
	used   *incarnationEntry
	// departed holds the incarnations that are known to have announced their departure themselves.
	departed map[string]bool
}

// shouldSend reports whether the instance should send requests to the listed target.
func (r *reference) shouldSend() bool {
	return r.used != nil && !r.used.Leaves && !r.departed[catalog.IncarnationID("i-1", r.used.Born)]
}

// deliver applies a delta by a naive rule: an entry holds unless it belongs to an earlier start than
// one that was seen before.
func (r *reference) deliver(d feed.Delta) {
	if d.Full && len(d.Changes) == 0 {
		r.used = nil
	}
	for _, c := range d.Changes {
		var e incarnationEntry
		switch {
		case c.Removed:
			r.used = nil
			continue
		case json.Unmarshal(c.Value, &e) != nil || e.Foreign:
			r.used = nil
			continue
		}
		if e.Born >= r.latest {
			r.latest, r.used = e.Born, &e
		}
	}
}

// modelInstance is an instance with its reference.
type modelInstance struct {
	*Gateway
	reference
}

// deliver applies a delta to the instance, and to its reference if it advances the replica.
func (in *modelInstance) deliver(d feed.Delta, source string) {
	before := in.replicas[KindTargets].Position()
	if in.applyDelta(d, source) && in.replicas[KindTargets].Position().After(before) {
		in.reference.deliver(d)
	}
}

func (in *modelInstance) closeListeners() {
	l := in.listeners
	for _, open := range []net.Listener{l.front, l.lookup, l.ready, l.peer, l.admin} {
		_ = open.Close()
	}
}

func (in *modelInstance) check(t *rapid.T) {
	spec, listed := in.targetList.specs["i-1"]
	require.Equal(t, in.used != nil, listed)
	if listed {
		require.Equal(t, *in.used, incarnationEntry{Born: spec.StartedAt, Leaves: spec.Leaving})
	}
	got, ok := in.chosenTarget()
	require.Equal(t, in.shouldSend(), ok)
	if ok {
		require.Equal(t, spec.ID, got)
	}
}

// chosenTarget returns the ID of the target that the instance chooses for a request, and false if there
// is none. The request is abandoned at once.
func (in *modelInstance) chosenTarget() (string, bool) {
	p := in.pools.get("s")
	if p == nil {
		return "", false
	}
	d := p.acquire(context.Background(), upstream.Request{Deadline: in.clock.Now().Add(time.Minute)})
	if d.Action != upstream.Send {
		return "", false
	}
	p.release(d.Target.ID, upstream.Result{Outcome: upstream.Abandoned})
	return d.Target.ID, true
}

// announceLeaving sends a request to the chosen target, whose response announces its departure.
func (in *modelInstance) announceLeaving() {
	target, ok := in.chosenTarget()
	if !ok {
		return
	}
	p := in.pools.get("s")
	d := p.acquire(context.Background(), upstream.Request{Deadline: in.clock.Now().Add(time.Minute)})
	p.release(d.Target.ID, upstream.Result{Outcome: upstream.Answered, SelfReport: availability.SelfReport{Leaving: true}})
	in.recordDeparture(target)
	in.departed[target] = true
}

// receiveDeparturesOf delivers the departures that another instance knows.
func (in *modelInstance) receiveDeparturesOf(other *modelInstance) {
	in.receiveDepartures(in.clock.Now(), other.departures.all(other.clock.Now()))
	for target := range other.departed {
		in.departed[target] = true
	}
}

// TestIncarnationsInAnyOrder simulates a target that restarts under the same ID. In between there are late
// writes of earlier incarnations, foreign writes and removals, and the target announces departures in
// its responses. Three instances learn of all this from watches, lists, responses, and each other's
// deltas and gossip. The test compares each instance with a naive reference: no instance returns to an
// earlier incarnation or to one that is leaving. All instances agree once the latest incarnation has
// written last.
func TestIncarnationsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := &modelStore{}
		store.write(&incarnationEntry{Born: 1})
		var instances []*modelInstance
		for range 3 {
			in := &modelInstance{Gateway: newTestGateway(t), reference: reference{departed: make(map[string]bool)}}
			defer in.closeListeners()
			in.codec = incarnationCodec{}
			in.deliver(store.list(), sourceStore)
			instances = append(instances, in)
		}
		pick := func(label string) *modelInstance { return instances[rapid.IntRange(0, 2).Draw(rt, label)] }
		newest := int64(1)
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			switch rapid.SampledFrom([]string{"start", "late", "leave", "gone", "foreign", "watch", "watch", "list", "delta", "answer", "answer", "tell", "tell"}).Draw(rt, "step") {
			case "start":
				newest++
				store.write(&incarnationEntry{Born: newest})
			case "late":
				store.write(&incarnationEntry{Born: rapid.Int64Range(1, newest).Draw(rt, "born"), Leaves: rapid.Bool().Draw(rt, "leaves")})
			case "leave":
				store.write(&incarnationEntry{Born: newest, Leaves: true})
			case "gone":
				store.write(nil)
			case "foreign":
				store.write(&incarnationEntry{Foreign: true})
			case "watch":
				in := pick("instance")
				in.deliver(store.since(in.replicas[KindTargets].Position()), sourceStore)
			case "list":
				pick("instance").deliver(store.list(), sourceStore)
			case "delta":
				from, to := pick("from"), pick("to")
				replica := to.replicas[KindTargets]
				to.deliver(from.replicas[KindTargets].DeltaSince(replica.Position(), replica.Digest()), "other")
			case "answer":
				pick("instance").announceLeaving()
			case "tell":
				pick("to").receiveDeparturesOf(pick("from"))
			}
			for _, in := range instances {
				in.check(rt)
			}
		}
		newest++
		store.write(&incarnationEntry{Born: newest})
		for _, in := range instances {
			in.deliver(store.since(in.replicas[KindTargets].Position()), sourceStore)
			in.check(rt)
			require.Equal(rt, newest, in.targetList.specs["i-1"].StartedAt)
		}
	})
}
