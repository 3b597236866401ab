package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/objects"
)

// TestManyLargeChangesInSilenceReachAll guards against instances that never get the newest configuration: a large one,
// which compression shortens little, has changed many times while the store gave nobody an answer, so that the instances
// that read the store get all versions at once.
func TestManyLargeChangesInSilenceReachAll(t *testing.T) {
	const (
		bound   = 2500 * time.Millisecond
		changes = 24
		routes  = 500
	)
	s := newSite(t)
	rng := rand.New(rand.NewPCG(1, 1))
	fill := func() []route {
		all := []route{idempotentRoute}
		for range routes {
			prefix := "/"
			for range 16 {
				prefix += fmt.Sprintf("%016x", rng.Uint64())
			}
			all = append(all, route{prefix: prefix + "/", service: "s", kind: "idempotent"})
		}
		return all
	}
	s.configure(1, fill()...)
	s.server("i-1", "s", "a1")
	var fleet []*instance
	for i := range 6 {
		fleet = append(fleet, s.instance(fmt.Sprint("n", i+1), "a1"))
	}
	for _, in := range fleet {
		in.awaitStatus("/x/", 200)
	}
	time.Sleep(2 * time.Second)
	s.store.SetFaults(objects.Faults{Silent: true})
	for n := range changes {
		s.configure(n+2, fill()...)
		time.Sleep(75 * time.Millisecond)
	}
	s.configure(changes+2, append(fill(), route{prefix: "/new/", service: "s", kind: "idempotent"})...)
	s.store.SetFaults(objects.Faults{})
	from := time.Now()
	for _, in := range fleet {
		require.Eventually(t, func() bool { return in.send("GET", "/new/", "").status == 200 }, 2*wait, poll, in.config.Name)
		t.Logf("%s: %v", in.config.Name, time.Since(from))
	}
	require.Less(t, time.Since(from), bound)
}
