package gateway

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/feed"
)

// restoreCodec decodes configurations that consist of a version only, and targets as sequencedCodec does.
type restoreCodec struct{ sequencedCodec }

func (restoreCodec) Config(_ string, raw []byte) (*catalog.Config, error) {
	var version catalog.Version
	err := json.Unmarshal(raw, &version)
	return &catalog.Config{Version: version}, err
}

// objectKey identifies an object of restoreModel.
type objectKey struct {
	kind feed.Kind
	name string
}

// storeState is the contents of a store at a position.
type storeState struct {
	at      feed.Position
	objects map[objectKey]string
}

// storeWrite is one write to the store, or one removal.
type storeWrite struct {
	objectKey
	value   string
	removed bool
}

// restoreModel is a model of a store that can be restored from backups. It holds the writes of the current
// era and all earlier states of it.
type restoreModel struct {
	storeState
	writes []storeWrite
	past   []storeState
	// lostWrites are the writes that restores have lost, in the order in which to write them again.
	lostWrites []storeWrite
}

func (s *restoreModel) write(w storeWrite) {
	s.past = append(s.past, storeState{at: s.at, objects: maps.Clone(s.objects)})
	s.at.Revision++
	s.writes = append(s.writes, w)
	if w.removed {
		delete(s.objects, w.objectKey)
	} else {
		s.objects[w.objectKey] = w.value
	}
}

// restore restores the store from a backup that lacks the given number of latest writes of its era.
func (s *restoreModel) restore(lost int) {
	lost = min(lost, len(s.writes))
	if lost == 0 {
		s.at.Era++
		s.writes = nil
		return
	}
	// Writes of this era that repeat lost ones and are lost again are added once more.
	s.lostWrites = append(slices.Clone(s.writes[len(s.writes)-lost:]), s.lostWrites...)
	backup := s.past[len(s.past)-lost]
	s.past = nil
	s.writes = nil
	s.objects = maps.Clone(backup.objects)
	s.at = feed.At(s.at.Era+1, backup.at.Revision)
}

// rewriteNext repeats the first lost write, unless a later lost write is to the same object.
func (s *restoreModel) rewriteNext() {
	if len(s.lostWrites) == 0 {
		return
	}
	w := s.lostWrites[0]
	s.lostWrites = s.lostWrites[1:]
	if !slices.ContainsFunc(s.lostWrites, func(later storeWrite) bool { return later.objectKey == w.objectKey }) {
		s.write(w)
	}
}

// since returns the delta that a watch from a position returns, and false if the store lacks that history.
func (s *restoreModel) since(kind feed.Kind, from feed.Position) (feed.Delta, bool) {
	firstRevision := s.at.Revision - int64(len(s.writes))
	if from.Era != s.at.Era || from.Revision < firstRevision || from.IsZero() {
		return feed.Delta{}, false
	}
	d := feed.Delta{Kind: kind, From: from, To: s.at}
	for _, w := range s.writes[from.Revision-firstRevision:] {
		if w.kind == kind {
			d.Changes = append(d.Changes, w.change())
		}
	}
	return d, true
}

func (w storeWrite) change() feed.Change {
	return feed.Change{Object: feed.Object{Name: w.name, Value: []byte(w.value)}, Removed: w.removed}
}

func (s *restoreModel) list(kind feed.Kind) feed.Delta {
	d := feed.Delta{Kind: kind, To: s.at, Full: true}
	for o, value := range s.objects {
		if o.kind == kind {
			d.Changes = append(d.Changes, storeWrite{objectKey: o, value: value}.change())
		}
	}
	return d
}

// restoredInstance is an instance with the highest version of its configuration, the targets that it has
// used, and those of them that are known to have left or to have been removed.
type restoredInstance struct {
	*Gateway
	version  catalog.Version
	known    map[string]bool
	departed map[string]bool
}

// read makes an instance watch a kind, or list it if the store has another history.
func (in *restoredInstance) read(s *restoreModel, kind feed.Kind) {
	d, ok := s.since(kind, in.replicas[kind].Position())
	if !ok {
		d = s.list(kind)
	}
	in.applyDelta(d, sourceStore)
}

// check requires that the version of the configuration never decreases, and that no target is used that was
// known to leave or to have been removed.
func (in *restoredInstance) check(t require.TestingT) {
	for name := range in.known {
		if spec, listed := in.targetList.specs[name]; !listed || spec.Leaving {
			in.departed[name] = true
		}
	}
	for _, name := range in.usableTargets() {
		in.known[name] = true
		require.False(t, in.departed[name], name)
	}

	if router := in.router.Load(); router != nil {
		require.GreaterOrEqual(t, router.Config().Version, in.version)
		in.version = router.Config().Version
	}
}

// usableTargets returns the names of the targets that requests may be sent to.
func (in *restoredInstance) usableTargets() []string {
	var out []string
	for name, spec := range in.targetList.specs {
		if !spec.Leaving {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// TestRestoresInAnyOrder restores a store from backups while configurations are written, targets start, leave
// and are removed, and lost writes are repeated, all in random order. Three instances learn of this from
// watches, lists and each other's deltas. The test checks that no instance returns to an earlier
// configuration, and that no instance uses a target that it knows to be leaving. Once all lost writes have
// been repeated, all instances use the targets that the store lists.
func TestRestoresInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := &restoreModel{storeState: storeState{at: feed.At(1, 0), objects: make(map[objectKey]string)}}
		version, sequence := 0, int64(0)
		configure := func() {
			version++
			store.write(storeWrite{objectKey: objectKey{KindConfig, "main"}, value: fmt.Sprint(version)})
		}
		writeTarget := func(name string, leaves bool) {
			sequence++
			raw, err := json.Marshal(sequencedEntry{Sequence: sequence, Leaves: leaves})
			require.NoError(rt, err)
			store.write(storeWrite{objectKey: objectKey{KindTargets, name}, value: string(raw)})
		}
		configure()
		writeTarget("i0", false)
		var instances []*restoredInstance
		for range 3 {
			in := &restoredInstance{Gateway: newTestGateway(t), known: make(map[string]bool), departed: make(map[string]bool)}
			defer (&modelInstance{Gateway: in.Gateway}).closeListeners()
			in.codec = restoreCodec{}
			in.read(store, KindConfig)
			in.read(store, KindTargets)
			instances = append(instances, in)
		}
		pick := func(label string) *restoredInstance { return instances[rapid.IntRange(0, 2).Draw(rt, label)] }
		pickKind := func() feed.Kind { return rapid.SampledFrom([]feed.Kind{KindConfig, KindTargets}).Draw(rt, "kind") }
		left := make(map[string]bool)
		targets := 1
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			name := fmt.Sprint("i", rapid.IntRange(0, targets-1).Draw(rt, "target"))
			switch rapid.SampledFrom([]string{"configure", "come", "leave", "go", "restore", "again", "again", "read", "read", "read", "delta", "delta"}).Draw(rt, "step") {
			case "configure":
				configure()
			case "come":
				writeTarget(fmt.Sprint("i", targets), false)
				targets++
			case "leave":
				if _, listed := store.objects[objectKey{KindTargets, name}]; listed && !left[name] {
					left[name] = true
					writeTarget(name, true)
				}
			case "go":
				if _, listed := store.objects[objectKey{KindTargets, name}]; listed {
					left[name] = true
					store.write(storeWrite{objectKey: objectKey{KindTargets, name}, removed: true})
				}
			case "restore":
				store.restore(rapid.IntRange(0, 12).Draw(rt, "lost"))
			case "again":
				store.rewriteNext()
			case "read":
				pick("instance").read(store, pickKind())
			case "delta":
				from, to, kind := pick("from"), pick("to"), pickKind()
				if from.replicas[kind].Position().After(to.replicas[kind].Position()) {
					to.applyDelta(from.replicas[kind].DeltaSince(to.replicas[kind].Position(), to.replicas[kind].Digest()), "other")
				}
			}
			for _, in := range instances {
				in.check(rt)
			}
		}
		for len(store.lostWrites) > 0 {
			store.rewriteNext()
		}
		configure()
		want := []string(nil)
		for o, value := range store.objects {
			var e sequencedEntry
			if o.kind == KindTargets && json.Unmarshal([]byte(value), &e) == nil && !e.Leaves {
				want = append(want, o.name)
			}
		}
		slices.Sort(want)
		for _, in := range instances {
			in.read(store, KindConfig)
			in.read(store, KindTargets)
			require.EqualValues(rt, version, in.router.Load().Config().Version)
			require.Equal(rt, store.at, in.replicas[KindConfig].Position())
			in.expireHolds()
			require.Equal(rt, want, in.usableTargets())
		}
	})
}

// expireHolds applies all changes of targets that are held.
func (in *restoredInstance) expireHolds() {
	h := in.heldChanges[KindTargets]
	later := time.Now().Add(time.Hour)
	in.applyTargets(later, h.expired(later, in.replicas[KindTargets]), provenance{source: sourceHoldExpired})
}
