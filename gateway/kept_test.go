package gateway_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/platform"
	"github.com/rainford/rainford/quarantine"
)

// keptObjects returns the keys under which the store keeps held requests.
func (s *site) keptObjects() []string {
	var out []string
	for _, name := range s.store.Names("rainford-objects") {
		if key := strings.ReplaceAll(name, "~", "/"); strings.HasPrefix(key, quarantine.StoredPrefix) {
			out = append(out, key)
		}
	}
	return out
}

// holdEnding sends a request that ends targets until a trial of it has failed and the store
// keeps that.
func holdEnding(t *testing.T, v *reviving, instances []*instance) {
	for i := range 20 {
		instances[i%len(instances)].send("GET", endingPath, "")
	}
	require.Eventually(t, func() bool { return len(v.site.keptObjects()) > 0 }, wait, poll)
}

// TestHeldSurvivesRestartOfAll ends all instances at once after a request was held back, and
// checks that those that start afterwards do not send it.
func TestHeldSurvivesRestartOfAll(t *testing.T) {
	v, instances := endingSite(t, "idempotent", isEnding)
	holdEnding(t, v, instances)
	for _, in := range instances {
		in.stop()
	}
	for _, in := range instances {
		<-in.done
	}
	before := v.endedSoFar()
	var again []*instance
	for i, hall := range []string{"a1", "a2", "b1"} {
		again = append(again, v.site.instance("m"+string(rune('0'+i)), hall))
	}
	for _, in := range again {
		in.awaitReady()
		in.awaitStatus("/x/", 200)
		for range 3 {
			require.Equal(t, 503, in.send("GET", endingPath, "").status)
		}
	}
	require.Equal(t, before, v.endedSoFar())
}

// TestReleased has an operator release a held request, and checks that all instances send it
// again at once.
func TestReleased(t *testing.T) {
	var mended atomic.Bool
	v, instances := endingSite(t, "idempotent", func(r *http.Request) bool { return isEnding(r) && !mended.Load() })
	holdEnding(t, v, instances)
	mended.Store(true)
	require.Equal(t, 503, instances[0].send("GET", endingPath, "").status)
	key := v.site.keptObjects()[0]
	kept, err := quarantine.ParseStoredRecord(key, []byte("{}"))
	require.NoError(t, err)
	release := quarantine.StoredRecord{Digest: kept.Digest, Released: time.Now().UnixMilli(), ReleasedBy: "ama"}
	_, err = platform.NewObjects(v.site.addr).Put(t.Context(), release.Key(), 0, release)
	require.NoError(t, err)
	for _, in := range instances {
		in.awaitStatus(endingPath, 200)
	}
}
