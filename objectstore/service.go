package objectstore

import (
	"context"
	"time"
)

// Service is a versioned object service. Client calls one over HTTP; adapters
// implement the interface with the store of another platform.
type Service interface {
	// Get reads one object. It returns ErrNotFound if there is none.
	Get(ctx context.Context, key string) (Object, error)
	// List reads all objects whose keys begin with prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Watch returns the objects below the prefixes that changed after a
	// revision. If there are none, it waits for a change, up to wait.
	Watch(ctx context.Context, prefixes []string, after int64, wait time.Duration) (Listing, error)
	// Put writes value under key if the object is at version. Version 0 means
	// that the object must not exist.
	Put(ctx context.Context, key string, version int64, value any) (Object, error)
	// Delete removes the object if it is at version.
	Delete(ctx context.Context, key string, version int64) error
}

var _ Service = (*Client)(nil)
