package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/quarantine"
)

// TestCoordinatorAfterFailedTrial checks that an instance replaces an unresponsive coordinator only
// for the first trial of a request. After a failed trial, each side of a network partition would
// grant another one.
func TestCoordinatorAfterFailedTrial(t *testing.T) {
	g := newTestGateway(t)
	now := time.Now()
	for _, name := range []string{"n1", "n2", "n3"} {
		g.registered[name] = fleet.Member{Name: name, Hall: "a1", Region: "a", PeerAddr: "127.0.0.1:1"}
	}
	for _, uri := range []string{"/a/", "/b/", "/c/", "/d/", "/e/", "/f/"} {
		d := quarantine.Content{URI: uri}.Digest()
		coordinator := g.coordinatorFor(now, d, false)
		if coordinator.Name == "n1" {
			continue
		}
		g.markUnresponsive(coordinator.Name)
		require.NotEqual(t, coordinator.Name, g.coordinatorFor(now, d, false).Name)
		require.Equal(t, coordinator.Name, g.coordinatorFor(now, d, true).Name)
		delete(g.quarantine.unresponsive, coordinator.Name)
	}
}
