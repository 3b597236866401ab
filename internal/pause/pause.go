// Package pause provides waiting that ends with a context.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends. It reports whether the whole time passed.
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

// Until waits until t, or until ctx ends. It reports whether t was reached.
func Until(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	return For(ctx, d)
}
