package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/rollout"
)

// The kinds of objects that instances replicate.
const (
	KindConfig      feed.Kind = "configuration"
	KindTargets     feed.Kind = "targets"
	KindEvacuations feed.Kind = "evacuations"
	KindInstances   feed.Kind = "instances"
	// KindTable covers rainford's own objects: the operators' routing table and the
	// records of the quarantine.
	KindTable feed.Kind = "table"
	// KindRollouts covers the rollout orders of services, with their states.
	KindRollouts feed.Kind = "rollouts"
)

// kinds are the kinds that every instance replicates, in the order of their positions in gossip
// messages.
var kinds = []feed.Kind{KindConfig, KindTargets, KindEvacuations, KindInstances, KindTable}

// kindsOf returns the kinds that an instance with the given settings replicates. If rollouts are
// enabled, KindRollouts is added as the last one, as in gossip messages.
func kindsOf(c Config) []feed.Kind {
	if !c.rolloutsEnabled() {
		return kinds
	}
	return append(slices.Clone(kinds), KindRollouts)
}

// ErrHistoryGone is returned by a watch if the store no longer has the changes after the
// requested position. The kind has to be listed again.
var ErrHistoryGone = errors.New("gateway: history gone")

// UnknownEra stands for the era of a store that has not answered yet.
const UnknownEra = -1

// ErrConflict is returned by a conditional write if the object has changed since the revision
// that the write is based on.
var ErrConflict = errors.New("gateway: object has changed")

// Store is the platform's store of objects, as an instance uses it.
type Store interface {
	// List returns all objects of a kind as a full delta.
	List(ctx context.Context, kind feed.Kind) (feed.Delta, error)
	// ListStale is like List, but the objects may be some seconds old. It costs the store
	// less than List.
	ListStale(ctx context.Context, kind feed.Kind) (feed.Delta, error)
	// Watch returns the changes after a position. If there are none, it waits for a change,
	// for at most the given time.
	Watch(ctx context.Context, kind feed.Kind, after feed.Position, wait time.Duration) (feed.Delta, error)
	// Probe returns an error if the store does not answer. It is the cheapest call.
	Probe(ctx context.Context) error
	// Get reads an object. If the object does not exist, the result has the revision 0.
	Get(ctx context.Context, kind feed.Kind, name string) (feed.Object, error)
	// Replace writes an object that exists. If the object has changed since the revision of
	// o, the error wraps ErrConflict.
	Replace(ctx context.Context, kind feed.Kind, o feed.Object) error
	// Create creates an object unless it exists.
	Create(ctx context.Context, kind feed.Kind, name string, spec any) error
	// Remove removes an object. It returns no error if the object does not exist.
	Remove(ctx context.Context, kind feed.Kind, name string) error
	// SetRolloutState writes the state of a rollout order. If the object has changed since
	// it was read, the error wraps ErrConflict.
	SetRolloutState(ctx context.Context, record rollout.Record, state rollout.State) error
	// Era returns the highest era that the store's responses have named. It is UnknownEra
	// before the first response, and 0 if the responses name none. The store begins a new
	// era when it is restored from a backup: what was written after the backup is lost, and
	// the revisions of these writes are assigned again.
	Era() int64
	// Calls returns the number of calls to the store so far.
	Calls() int64
}

// Codec converts between the platform's formats and the types of this module.
type Codec interface {
	forward.Codec
	Config(name string, raw []byte) (*catalog.Config, error)
	Target(name string, raw []byte) (catalog.Target, error)
	Rollout(name string, raw []byte) (rollout.Record, error)
	// Lookup decodes a client's look-up. It returns the client's region and hall, and
	// whether the request is a valid look-up.
	Lookup(r *http.Request) (region, hall string, ok bool)
	LookupAnswer(addrs []string, ttl time.Duration) ([]byte, error)
	// IsReady reports whether a request is a readiness check.
	IsReady(r *http.Request) bool
}
