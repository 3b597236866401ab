package gateway_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestClientSurvivesLostHall guards against clients that hold only addresses of their own hall: after
// all instances of the hall have ended, an address of the earlier response still works, and the
// instance there names those that remain.
func TestClientSurvivesLostHall(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute)
	s.server("i-1", "s", "a2")
	lost := []*instance{s.instance("n1", "a1"), s.instance("n2", "a1")}
	others := []*instance{s.instance("n3", "a2"), s.instance("n4", "b1")}
	all := append(slices.Clone(lost), others...)
	for _, in := range all {
		in.awaitStatus("/x/", 200)
	}
	var before []string
	require.Eventually(t, func() bool {
		before = addresses(t, lost[0])
		return slices.Contains(before, others[0].config.Listen) && slices.Contains(before, others[1].config.Listen) && slices.Contains(before, lost[1].config.Listen)
	}, wait, poll)
	for _, in := range lost {
		in.stop()
	}
	for _, in := range lost {
		<-in.done
	}
	served := map[string]bool{}
	for _, addr := range before {
		for _, in := range all {
			if in.config.Listen == addr && in.send(http.MethodGet, "/x/", "").status == http.StatusOK {
				served[addr] = true
			}
		}
	}
	require.Len(t, served, len(others), "of the addresses given before, those of other halls work")
	require.Eventually(t, func() bool {
		now := addresses(t, others[0])
		return !slices.Contains(now, lost[0].config.Listen) && !slices.Contains(now, lost[1].config.Listen) && slices.Contains(now, others[0].config.Listen)
	}, wait, 50*time.Millisecond)
}
