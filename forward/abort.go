package forward

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrAborted is the error of an attempt that Aborter.Abort has ended.
var ErrAborted = errors.New("forward: attempt was aborted")

// Aborter ends one attempt from another goroutine. It costs no allocation, unlike a context of the
// attempt's own. The zero value is ready. It is safe for concurrent use.
type Aborter struct {
	mu      sync.Mutex
	aborted bool
	// cancel ends the opening of a connection while that is in progress, and conn is the connection while
	// the request is on it.
	cancel context.CancelFunc
	conn   *conn
}

// Abort ends the attempt at once, by closing its connection. It has no effect on an attempt that has
// ended. An attempt that begins later ends without being sent.
func (a *Aborter) Abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	if a.cancel != nil {
		a.cancel()
	}
	if a.conn != nil {
		// The exchange then fails and closes the connection.
		_ = a.conn.SetDeadline(time.Unix(1, 0))
	}
}

// Aborted reports whether Abort was called. A nil Aborter is never aborted.
func (a *Aborter) Aborted() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.aborted
}

// set sets what Abort ends, nil for nothing, and reports whether Abort has not been called.
func (a *Aborter) set(cancel context.CancelFunc, cn *conn) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel, a.conn = cancel, cn
	return !a.aborted
}
