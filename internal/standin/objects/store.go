package objects

import (
	"encoding/json"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// Metadata is the part of an object that the store keeps.
type Metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	CreatedRevision int64    `json:"made"`
	Finalizers      []string `json:"finalizers"`
	Deleting        bool     `json:"deleting"`
}

// Object is one object.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Event is a change of an object.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"gone"`

	kind     string
	revision int64
}

// Faults are what is wrong with the store. The zero value is a sound store.
type Faults struct {
	// Down answers every call with 503.
	Down bool
	// Silent gives no answer at all.
	Silent bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseReplies does writes and gives no answer to them.
	LoseReplies bool
	// Refuse turns away callers from these IP addresses.
	Refuse map[string]bool
}

// Store is the store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]*Object
	history  []Event
	// compactedRevision is the revision up to which the history is gone.
	compactedRevision int64
	// era is told in all answers. It rises when the store is restored from a copy.
	era atomic.Int64
	// undo holds what the latest writes replaced, the latest last, and rewritten the objects that the
	// operator and servers have written since the store was last restored.
	undo                []undoEntry
	writtenSinceRestore map[objectKey]bool
	changed             chan struct{}
	faults              Faults
	calls               int
}

// New returns an empty store.
func New() *Store {
	s := &Store{kinds: make(map[string]map[string]*Object), writtenSinceRestore: make(map[objectKey]bool), changed: make(chan struct{})}
	s.era.Store(initialEra)
	return s
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls taken.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// CompactHistory drops the history: watches from before now get 410.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.wakeWatches()
}

// Set writes an object as the operator or a server does and returns the revision.
func (s *Store) Set(kind, name string, spec any) int64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	if o == nil {
		o = &Object{Metadata: Metadata{Name: name}}
	}
	next := *o
	next.Spec = raw
	s.commit(kind, next)
	s.markExternal()
	return s.revision
}

// Status returns the status of an object, nil if there is none.
func (s *Store) Status(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	if o == nil {
		return nil
	}
	return o.Status
}

// SetStatus replaces the status of an object that is there.
func (s *Store) SetStatus(kind, name string, status any) {
	raw, err := json.Marshal(status)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.kinds[kind][name]
	next.Status = raw
	s.commit(kind, next)
	s.markExternal()
}

// Remove removes an object whatever its finalizers.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// One that a restore has lost is not to be written again.
	s.writtenSinceRestore[objectKey{kind, name}] = true
	if o := s.kinds[kind][name]; o != nil {
		s.erase(kind, *o)
		s.markExternal()
	}
}

// Names returns the names of a kind's objects, in order.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names(kind)
}

func (s *Store) names(kind string) []string {
	out := make([]string, 0, len(s.kinds[kind]))
	for name := range s.kinds[kind] {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// commit stores o as the next revision. The caller holds mu.
func (s *Store) commit(kind string, o Object) Object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.CreatedRevision == 0 {
		o.Metadata.CreatedRevision = s.revision
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]*Object)
	}
	s.recordUndo(kind, o.Metadata.Name)
	s.kinds[kind][o.Metadata.Name] = &o
	s.history = append(s.history, Event{Object: o, kind: kind, revision: s.revision})
	s.wakeWatches()
	return o
}

func (s *Store) erase(kind string, o Object) {
	s.revision++
	s.recordUndo(kind, o.Metadata.Name)
	delete(s.kinds[kind], o.Metadata.Name)
	s.history = append(s.history, Event{Object: o, Deleted: true, kind: kind, revision: s.revision})
	s.wakeWatches()
}

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// position is where the store's counters are.
type position struct{ era, revision int64 }

// events returns the changes of a kind after a revision, where the store is, whether it has that
// revision and the history after it, and a channel that is closed with the next change.
func (s *Store) events(kind string, after int64) (events []Event, at position, known bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.history {
		if e.kind == kind && e.revision > after {
			events = append(events, e)
		}
	}
	return events, position{s.era.Load(), s.revision}, s.compactedRevision <= after && after <= s.revision, s.changed
}
