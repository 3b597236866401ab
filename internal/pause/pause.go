// Package pause provides sleeps that a context can end early.
package pause

import (
	"context"
	"time"
)

// For sleeps for d, or until ctx is done. It reports whether d has elapsed.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Until sleeps until t, or until ctx is done. It reports whether t was reached. If t has already
// passed, it reports whether ctx is not done.
func Until(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	return For(ctx, d)
}
