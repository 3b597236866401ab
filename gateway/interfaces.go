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
	// KindTable holds the product's own objects, the operators' table among
	// them.
	KindTable feed.Kind = "table"
	// KindRollouts are the orders to bring in new versions of services, with what has become of
	// them.
	KindRollouts feed.Kind = "rollouts"
)

// kinds are the kinds that every instance replicates, in the order in which they are read at the
// start.
var kinds = []feed.Kind{KindConfig, KindTargets, KindEvacuations, KindInstances, KindTable}

// kindsOf returns the kinds that an instance with the settings replicates. Where versions are brought
// in by order the orders are one more, and come last, as in messages.
func kindsOf(c Config) []feed.Kind {
	if !c.rolloutsEnabled() {
		return kinds
	}
	return append(slices.Clone(kinds), KindRollouts)
}

// ErrHistoryGone means that the store no longer has the changes after a
// position, so that the kind has to be listed again.
var ErrHistoryGone = errors.New("gateway: history gone")

// UnknownEra is the era of a store that has not answered yet.
const UnknownEra = -1

// ErrConflict means that an object has changed since the revision that a write named.
var ErrConflict = errors.New("gateway: object has changed")

// Store is what an instance needs of the platform's store.
type Store interface {
	List(ctx context.Context, kind feed.Kind) (feed.Delta, error)
	// ListStale returns the objects as they may have been some seconds ago, which
	// costs the store less.
	ListStale(ctx context.Context, kind feed.Kind) (feed.Delta, error)
	// Watch returns the changes after a position, or waits for one.
	Watch(ctx context.Context, kind feed.Kind, after feed.Position, wait time.Duration) (feed.Delta, error)
	// Probe tells whether the store answers. It is the cheapest call that there is.
	Probe(ctx context.Context) error
	// Get reads an object. One that is not there has the revision 0.
	Get(ctx context.Context, kind feed.Kind, name string) (feed.Object, error)
	// Replace writes an object unless it has changed since the revision that it names: then the error
	// wraps ErrConflict.
	Replace(ctx context.Context, kind feed.Kind, o feed.Object) error
	// Create makes an object unless it is there.
	Create(ctx context.Context, kind feed.Kind, name string, spec any) error
	// Remove removes an object. One that is not there is no error.
	Remove(ctx context.Context, kind feed.Kind, name string) error
	// SetRolloutState writes what has become of an order, unless the object has changed since it
	// was read: then the error wraps ErrConflict.
	SetRolloutState(ctx context.Context, record rollout.Record, state rollout.State) error
	// Era returns the highest era of the store that an answer to any call has named, UnknownEra
	// before the first answer and 0 if none names one.
	// The store begins a new era when it comes back from a copy: what was written after the copy
	// is gone, and its revisions are given out again.
	Era() int64
	// Calls returns the number of calls made.
	Calls() int64
}

// Codec turns the platform's formats into the product's types and back.
type Codec interface {
	forward.Codec
	Config(name string, raw []byte) (*catalog.Config, error)
	Target(name string, raw []byte) (catalog.Target, error)
	Rollout(name string, raw []byte) (rollout.Record, error)
	// Lookup decodes a look-up of a client.
	Lookup(r *http.Request) (region, hall string, ok bool)
	LookupAnswer(addrs []string, ttl time.Duration) ([]byte, error)
	// IsReady tells whether a call asks for readiness.
	IsReady(r *http.Request) bool
}
