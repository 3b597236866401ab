package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/catalog"
)

// TestAwaitReady checks that a request waits a small fraction of its time for an instance that has just
// started, and continues as soon as the instance is ready.
func TestAwaitReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gateway{readiness: readiness{reached: make(chan struct{})}}
		began := time.Now()
		g.awaitReady(t.Context(), 6400*time.Millisecond)
		require.Equal(t, 100*time.Millisecond, time.Since(began))

		began = time.Now()
		go func() {
			time.Sleep(40 * time.Millisecond)
			router, err := catalog.NewRouter(&catalog.Config{})
			assert.NoError(t, err)
			g.router.Store(router)
			g.signalReady()
			time.Sleep(20 * time.Millisecond)
			g.readiness.targetsLoaded.Store(true)
			g.signalReady()
		}()
		g.awaitReady(t.Context(), 6400*time.Millisecond)
		require.Equal(t, 60*time.Millisecond, time.Since(began))
		began = time.Now()
		g.awaitReady(t.Context(), 6400*time.Millisecond)
		g.signalReady()
		require.Zero(t, time.Since(began))
	})
}
