package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
)

// restoredSite is a site of three ready instances. Service s has two servers and service other has one. Route
// /x leads to service s.
type restoredSite struct {
	*site
	instances []*instance
	servers   []*origin.Server
	// version is the version of the latest configuration.
	version int
}

func newRestoredSite(t *testing.T) *restoredSite {
	s := &restoredSite{site: newSite(t), version: 1}
	s.servers = []*origin.Server{s.server("s1", "s", "a1"), s.server("s2", "s", "b1")}
	s.server("o1", "other", "a1")
	s.configure(s.version, route{prefix: "/x/", service: "s", kind: "idempotent"})
	first := s.instance("n1", "a1")
	seed := func(c *gateway.Config) { c.Seeds = []string{first.config.PeerListen} }
	s.instances = []*instance{first, s.instance("n2", "a2", seed), s.instance("n3", "b1", seed)}
	for _, in := range s.instances {
		in.awaitReady()
		in.awaitStatus("/x/", http.StatusOK)
	}
	require.Eventually(t, func() bool { return len(s.store.Names("rainford-instances")) == 3 }, wait, poll)
	return s
}

// configureNext writes the next configuration, with a route to service other for each of the names.
func (s *restoredSite) configureNext(names ...string) {
	s.version++
	routes := []route{{prefix: "/x/", service: "s", kind: "idempotent"}}
	for _, name := range names {
		routes = append(routes, route{prefix: "/" + name + "/", service: "other", kind: "idempotent"})
	}
	s.configure(s.version, routes...)
}

// restore makes some changes, waits until all instances know them, and restores the store from a backup that
// lacks them. The operator and the servers then repeat their lost writes.
func (s *restoredSite) restore() {
	backup := s.store.Revision()
	for i := range 8 {
		s.configureNext(fmt.Sprint("before", i))
		s.record(s.servers[1], objects.Ready)
	}
	for _, in := range s.instances {
		in.awaitStatus("/before7/", http.StatusOK)
		in.awaitTargets(s.store.Revision())
	}
	for _, lost := range s.store.RestoreAt(backup) {
		s.store.Reapply(lost)
	}
}

// TestConfigurationAfterRestore checks that a configuration comes into force at all instances although its
// revision was already assigned before the store was restored.
func TestConfigurationAfterRestore(t *testing.T) {
	s := newRestoredSite(t)
	s.restore()
	s.configureNext("after")
	for _, in := range s.instances {
		in.awaitStatus("/after/", http.StatusOK)
		in.awaitStatus("/before7/", http.StatusNotFound)
	}
}

// TestDepartureAfterRestore checks that a target receives no more requests once its entry in a restored store
// says that it is leaving.
func TestDepartureAfterRestore(t *testing.T) {
	s := newRestoredSite(t)
	s.restore()
	leaving := s.servers[0]
	s.record(leaving, objects.Draining)
	require.Eventually(t, func() bool {
		before := len(leaving.Runs())
		for _, in := range s.instances {
			for range 8 {
				in.send("GET", "/x/", "")
			}
		}
		return len(leaving.Runs()) == before
	}, wait, poll)
}

// TestRestoredStoreIsNotReadInLoop checks that the rate of calls to the store soon returns to normal after a
// restore. The restored store refuses watches from positions of the previous era.
func TestRestoredStoreIsNotReadInLoop(t *testing.T) {
	s := newRestoredSite(t)
	s.restore()
	const window, mostCalls = time.Second, 30
	require.Eventually(t, func() bool {
		before := s.store.Calls()
		time.Sleep(window)
		return s.store.Calls()-before <= mostCalls
	}, wait, poll)
}
