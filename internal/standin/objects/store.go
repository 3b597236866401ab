package objects

import (
	"encoding/json"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// Metadata is the part of an object that the store maintains, except for Name and Finalizers, which the
// writer sets. CreatedRevision is the revision of the object's first write.
type Metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	CreatedRevision int64    `json:"made"`
	Finalizers      []string `json:"finalizers"`
	Deleting        bool     `json:"deleting"`
}

// Object is an object of the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Event is a change of an object. Deleted is true for its removal.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"gone"`

	kind     string
	revision int64
}

// Faults are the simulated failures of the store. The zero value has none.
type Faults struct {
	// Down answers every request with status 503.
	Down bool
	// Silent leaves every request without a response until its connection ends.
	Silent bool
	// LoseAnswers carries out every request, and loses the answers that come due while it is set, those
	// of watches that were pending before included. Their connections say nothing further.
	LoseAnswers bool
	// Delay is added to the response time of every request.
	Delay time.Duration
	// LoseReplies executes writes and then closes the connection without a response.
	LoseReplies bool
	// Refuse holds the IP addresses of clients whose requests get status 503.
	Refuse map[string]bool
}

// Store is an in-memory object store and the http.Handler of its interface. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]*Object
	history  []Event
	// compactedRevision is the revision up to which the history has been discarded.
	compactedRevision int64
	// era is sent with all responses. Each restore from a backup increments it.
	era atomic.Int64
	// restoredAt is the time of the last restore.
	restoredAt time.Time
	// undo is the undo log of the writes of the last undoRetention, in their order. writtenSinceRestore
	// holds the objects that the operator or targets have written or removed since the last restore.
	undo                []undoEntry
	writtenSinceRestore map[objectKey]bool
	changed             chan struct{}
	faults              Faults
	// pageSize is the number of items in a page of a list, and maxPageAge the age of the oldest pages of
	// stale lists.
	pageSize   int
	maxPageAge time.Duration
	calls      int
	// watches counts the pending watches by kind.
	watches map[string]int
}

// New returns an empty store.
func New() *Store {
	s := &Store{kinds: make(map[string]map[string]*Object), writtenSinceRestore: make(map[objectKey]bool), changed: make(chan struct{}), pageSize: defaultPageSize,
		watches: make(map[string]int)}
	s.era.Store(initialEra)
	return s
}

// SetPages sets the number of items in a page of a list, and the age of the oldest pages of stale lists, which is
// at most undoRetention. By default the pages of all lists are as of now.
func (s *Store) SetPages(size int, maxAge time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize, s.maxPageAge = size, maxAge
}

// SetFaults replaces the simulated faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// AcceptsWrites reports whether the store answers. It is false while the store is down or silent.
func (s *Store) AcceptsWrites() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.faults.Down && !s.faults.Silent
}

// Calls returns the number of HTTP requests received, including those that failed.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Watches returns the number of pending watches of a kind. Each returns the next change of its kind, also one that
// is made after SetFaults.
func (s *Store) Watches(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches[kind]
}

// countWatch adds n to the number of pending watches of a kind.
func (s *Store) countWatch(kind string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches[kind] += n
}

// CompactHistory discards the history of changes. Watches from an earlier revision get status 410.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.wakeWatches()
}

// Set writes an object's spec on behalf of the operator or a target, whatever the object's revision, and
// returns the new revision. It panics if spec can't be marshaled to JSON.
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

// Status returns the status of an object, or nil if it has none or does not exist.
func (s *Store) Status(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	if o == nil {
		return nil
	}
	return o.Status
}

// SetStatus replaces the status of an object, which must exist.
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

// Remove removes an object on behalf of the operator or a target, even if it has finalizers.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Reapply must not create the object again if a restore has lost it.
	s.writtenSinceRestore[objectKey{kind, name}] = true
	if o := s.kinds[kind][name]; o != nil {
		s.erase(kind, *o)
		s.markExternal()
	}
}

// Names returns the names of a kind's objects in ascending order.
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

// commit stores o with the next revision and returns it. The caller holds mu.
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

// position is the store's era and revision at one time.
type position struct{ era, revision int64 }

// events returns the changes of a kind after a revision, the store's current position, whether the history
// covers all changes after that revision, and a channel that is closed at the next change.
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
