package objectstore

import (
	"encoding/json"
	"errors"
	"fmt"
)

// MaxValueBytes is the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// Object is one versioned value of the service.
type Object struct {
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	// Deleted marks the removal of the object in the response to a watch.
	Deleted bool `json:"deleted,omitempty"`
}

// inEra returns the object with a version that contains the service's era. The version of o is
// the number that the service has assigned.
func (o Object) inEra(era int64) Object {
	o.Version = versionOf(era, o.Version)
	return o
}

// Listing is the result of a list or a watch.
type Listing struct {
	Objects []Object `json:"objects"`
	// Revision is the service's revision that the listing reflects. The next
	// watch continues from it.
	Revision int64 `json:"revision"`
}

// inEra returns the listing with versions and a revision that contain the service's era.
// It changes the objects of l in place.
func (l Listing) inEra(era int64) Listing {
	for i := range l.Objects {
		l.Objects[i] = l.Objects[i].inEra(era)
	}
	l.Revision = versionOf(era, l.Revision)
	return l
}

// WriteRequest is the body of a conditional write.
type WriteRequest struct {
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Errors that callers test for with errors.Is.
var (
	// ErrNotFound means that no object has the key.
	ErrNotFound = errors.New("objectstore: no such object")
	// ErrUnavailable means that the service did not accept the call. Nothing
	// was changed.
	ErrUnavailable = errors.New("objectstore: unavailable")
	// ErrUncertain means that a write was sent but no valid response was
	// received. The write may have taken effect.
	ErrUncertain = errors.New("objectstore: write may have taken effect")
	// ErrTooLarge means that a value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("objectstore: value too large")
)

// ConflictError reports that a conditional write named another version than the
// object's present one. The write had no effect.
type ConflictError struct {
	Key string
	// Current is the present object of the service. Its Version is 0 if there
	// is none.
	Current Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("objectstore: conflicting write: %s is at version %d", e.Key, e.Current.Version)
}
