package platformstore

import (
	"encoding/json"
	"maps"
	"sort"
	"strings"
	"sync"

	"github.com/rainford/rainford/objectstore"
)

// Store holds the objects. NewStore creates one; the zero value can't be used.
// Store is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]objectstore.Object
	previous map[string]objectstore.Object
	changed  chan struct{}
	// era starts at 1 and is incremented by each restore from a backup.
	era    int64
	reads  rateLimiter
	writes rateLimiter
}

// NewStore returns an empty store in era 1.
func NewStore() *Store {
	return &Store{
		objects:  make(map[string]objectstore.Object),
		previous: make(map[string]objectstore.Object),
		changed:  make(chan struct{}),
		era:      1,
	}
}

// Backup holds the contents and the revision of a store at one time.
type Backup struct {
	revision          int64
	objects, previous map[string]objectstore.Object
}

// Backup returns a backup of the store's current contents.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{revision: s.revision, objects: maps.Clone(s.objects), previous: maps.Clone(s.previous)}
}

// Restore restores the store from a backup. Later writes are lost, and their revisions are assigned again to
// other writes, in a new era.
func (s *Store) Restore(c Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.objects, s.previous = c.revision, maps.Clone(c.objects), maps.Clone(c.previous)
	s.era++
	s.wakeWatches()
}

// Era returns the store's era: one more than the number of restores from a backup.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Get returns the object under key and whether it exists. If stale is set, Get
// returns the object as it was before its last write, provided that there was one.
func (s *Store) Get(key string, stale bool) (objectstore.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[key]
	if old, had := s.previous[key]; stale && had {
		return old, true
	}
	return obj, ok && !obj.Deleted
}

// List returns the objects whose keys have the prefix, in the order of their keys.
func (s *Store) List(prefix string) objectstore.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := objectstore.Listing{Revision: s.revision}
	for key, obj := range s.objects {
		if strings.HasPrefix(key, prefix) && !obj.Deleted {
			out.Objects = append(out.Objects, obj)
		}
	}
	sort.Slice(out.Objects, func(i, j int) bool { return out.Objects[i].Key < out.Objects[j].Key })
	return out
}

// Changes returns the objects whose keys have one of the prefixes and that were
// written or deleted after a revision. The channel is closed at the next write
// of any object.
func (s *Store) Changes(prefixes []string, after int64) (objectstore.Listing, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := objectstore.Listing{Revision: s.revision}
	for key, obj := range s.objects {
		if obj.Version > after && hasAnyPrefix(key, prefixes) {
			out.Objects = append(out.Objects, obj)
		}
	}
	sort.Slice(out.Objects, func(i, j int) bool { return out.Objects[i].Version < out.Objects[j].Version })
	return out, s.changed
}

// Previous returns the state before the last write of each object whose key has
// one of the prefixes.
func (s *Store) Previous(prefixes []string) []objectstore.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []objectstore.Object
	for key, obj := range s.previous {
		if hasAnyPrefix(key, prefixes) {
			out = append(out, obj)
		}
	}
	return out
}

// Put writes value if the object is at version, where 0 means that it does not
// exist. Otherwise Put returns the current object and false.
func (s *Store) Put(key string, version int64, value json.RawMessage) (objectstore.Object, bool) {
	return s.write(objectstore.Object{Key: key, Version: version, Value: value})
}

// Delete removes the object if it is at version. Otherwise Delete returns the
// current object and false.
func (s *Store) Delete(key string, version int64) (objectstore.Object, bool) {
	return s.write(objectstore.Object{Key: key, Version: version, Deleted: true})
}

func (s *Store) write(next objectstore.Object) (objectstore.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[next.Key]
	if current.Deleted {
		current = objectstore.Object{Key: next.Key}
	}
	if current.Version != next.Version {
		return current, false
	}
	if current.Version != 0 {
		s.previous[next.Key] = current
	}
	s.revision++
	next.Version = s.revision
	s.objects[next.Key] = next
	s.wakeWatches()
	return next, true
}

// WakeWatches makes all waiting watches check for changes and faults again, as a write does.
func (s *Store) WakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeWatches()
}

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func hasAnyPrefix(key string, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}
