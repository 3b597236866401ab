package gateway_test

import (
	"flag"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
)

// restoredInstances is the number of instances of TestRestoreAtSize, which logs its measurements.
var restoredInstances = flag.Int("restored-instances", 6, "instances of TestRestoreAtSize")

// TestRestoreAtSize checks that after a restore of the store a new configuration comes into force at all
// instances, and that the instances whose entries are lost register again. It logs how long this takes and
// how many calls to the store it costs.
func TestRestoreAtSize(t *testing.T) {
	t.Parallel()
	s := &restoredSite{site: newSite(t), version: 1}
	s.servers = []*origin.Server{s.server("s1", "s", "a1"), s.server("s2", "s", "b1")}
	s.server("o1", "other", "a1")
	s.configureNext()
	first := s.instance("n0", "a1")
	seed := func(c *gateway.Config) { c.Seeds = []string{first.config.PeerListen} }
	s.instances = []*instance{first}
	for i := 1; i < *restoredInstances; i++ {
		hall := []string{"a1", "a2", "b1"}[i%3]
		s.instances = append(s.instances, s.instance(fmt.Sprint("n", i), hall, seed))
	}
	for _, in := range s.instances {
		in.awaitStatus("/x/", http.StatusOK)
	}
	registered := func() bool { return len(s.store.Names("rainford-instances")) == *restoredInstances }
	require.Eventually(t, registered, wait, poll)
	backup := s.store.Revision() - int64(*restoredInstances)/2
	for i := range 8 {
		s.configureNext(fmt.Sprint("before", i))
		s.record(s.servers[1], objects.Ready)
	}
	for _, in := range s.instances {
		in.awaitStatus("/before7/", http.StatusOK)
	}
	calls, began := s.store.Calls(), time.Now()
	for _, lost := range s.store.RestoreAt(backup) {
		s.store.Reapply(lost)
	}
	missing := *restoredInstances - len(s.store.Names("rainford-instances"))
	s.configureNext("after")
	for _, in := range s.instances {
		in.awaitStatus("/after/", http.StatusOK)
	}
	inForce := time.Since(began)
	require.Eventually(t, registered, wait, poll)
	t.Logf("%d instances: in force after %v, %d registered again after %v, %d calls", *restoredInstances,
		inForce.Round(time.Millisecond), missing, time.Since(began).Round(time.Millisecond), s.store.Calls()-calls)
}
