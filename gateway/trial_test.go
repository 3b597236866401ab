package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/quarantine"
)

// TestCoordinatorAfterFailedTrial checks that an instance that does not reach the warden of a request
// takes another one for its first trial only: after a failed one each part of a fleet that is
// cut in two would grant one.
func TestCoordinatorAfterFailedTrial(t *testing.T) {
	g := newTestGateway(t)
	now := time.Now()
	for _, name := range []string{"n1", "n2", "n3"} {
		g.registered[name] = fleet.Member{Name: name, Hall: "a1", Region: "a", PeerAddr: "127.0.0.1:1"}
	}
	for _, uri := range []string{"/a/", "/b/", "/c/", "/d/", "/e/", "/f/"} {
		d := quarantine.Content{URI: uri}.Digest()
		first := g.coordinatorFor(now, d, false)
		if first.Name == "n1" {
			continue
		}
		g.markUnresponsive(first.Name)
		require.NotEqual(t, first.Name, g.coordinatorFor(now, d, false).Name)
		require.Equal(t, first.Name, g.coordinatorFor(now, d, true).Name)
		delete(g.quarantine.unresponsive, first.Name)
	}
}
