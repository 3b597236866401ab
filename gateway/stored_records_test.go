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

// storedRecords returns the keys of the quarantine records in the store.
func (s *site) storedRecords() []string {
	var out []string
	for _, name := range s.store.Names("rainford-objects") {
		if key := strings.ReplaceAll(name, "~", "/"); strings.HasPrefix(key, quarantine.StoredPrefix) {
			out = append(out, key)
		}
	}
	return out
}

// holdCrashingRequest sends a request that crashes targets until the store has a record of its
// failed trial.
func holdCrashingRequest(t *testing.T, v *restartingTargets, instances []*instance) {
	for i := range 20 {
		instances[i%len(instances)].send("GET", crashPath, "")
	}
	require.Eventually(t, func() bool { return len(v.site.storedRecords()) > 0 }, wait, poll)
}

// TestHeldRequestSurvivesFullRestart stops all instances while a request is held, and checks that
// instances that start afterwards do not send it.
func TestHeldRequestSurvivesFullRestart(t *testing.T) {
	v, instances := newCrashSite(t, "idempotent", isCrashing)
	holdCrashingRequest(t, v, instances)
	for _, in := range instances {
		in.stop()
	}
	for _, in := range instances {
		<-in.done
	}
	before := v.crashCount()
	var restarted []*instance
	for i, hall := range []string{"a1", "a2", "b1"} {
		restarted = append(restarted, v.site.instance("m"+string(rune('0'+i)), hall))
	}
	for _, in := range restarted {
		in.awaitReady()
		in.awaitStatus("/x/", 200)
		for range 3 {
			require.Equal(t, 503, in.send("GET", crashPath, "").status)
		}
	}
	require.Equal(t, before, v.crashCount())
}

// TestOperatorReleasesHeldRequest checks that all instances send a held request again after an
// operator has released it.
func TestOperatorReleasesHeldRequest(t *testing.T) {
	var fixed atomic.Bool
	v, instances := newCrashSite(t, "idempotent", func(r *http.Request) bool { return isCrashing(r) && !fixed.Load() })
	holdCrashingRequest(t, v, instances)
	fixed.Store(true)
	require.Equal(t, 503, instances[0].send("GET", crashPath, "").status)
	key := v.site.storedRecords()[0]
	record, err := quarantine.ParseStoredRecord(key, []byte("{}"))
	require.NoError(t, err)
	release := quarantine.StoredRecord{Digest: record.Digest, Released: time.Now().UnixMilli(), ReleasedBy: "ama"}
	_, err = platform.NewObjects(v.site.addr).Put(t.Context(), release.Key(), 0, release)
	require.NoError(t, err)
	for _, in := range instances {
		in.awaitStatus(crashPath, 200)
	}
}
