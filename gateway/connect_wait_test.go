package gateway_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/link"
	"github.com/rainford/rainford/internal/standin/origin"
)

// TestWaitForConnectionsIsBounded guards against a request that waits for one connection after the other
// while some targets can be connected to and others can't: no request takes longer than maxAnswerTime,
// whichever targets are cut off.
func TestWaitForConnectionsIsBounded(t *testing.T) {
	for _, c := range []struct {
		name string
		// isCut reports whether a server is cut off, the i-th of its hall.
		isCut func(s *origin.Server, i int) bool
	}{
		{"one-target", func(s *origin.Server, i int) bool { return s.Zone == "a1" && i == 0 }},
		{"two-of-each-hall", func(_ *origin.Server, i int) bool { return i < 2 }},
		{"two-of-each-hall-nearby", func(s *origin.Server, i int) bool { return s.Zone != "b1" && i < 2 }},
		{"one-hall", func(s *origin.Server, _ int) bool { return s.Zone == "a2" }},
		{"one-region", func(s *origin.Server, _ int) bool { return s.Zone != "b1" }},
		{"all-but-one-target", func(s *origin.Server, i int) bool { return s.Zone != "b1" || i > 0 }},
	} {
		for _, parallel := range []int{1, 8} {
			t.Run(fmt.Sprint(c.name, "-", parallel), func(t *testing.T) {
				t.Parallel()
				s := newCutSite(t)
				in := s.instances["n1"]
				cut := make(map[string]bool)
				for i, server := range s.servers {
					cut[server.Addr()] = c.isCut(server, i%3)
				}
				s.links["n1"].Cut(link.HangNew, func(addr string) bool { return cut[addr] })
				result := &tally{}
				var sent sync.WaitGroup
				for sender := range parallel {
					sent.Go(func() {
						for i := range 30 {
							began := time.Now()
							got := in.sendKey(fmt.Sprint(sender, "-", i))
							result.add(got, time.Since(began))
						}
					})
				}
				sent.Wait()
				require.Less(t, result.longest, maxAnswerTime)
				if parallel == 1 {
					require.Equal(t, 30, result.served, "refused: %v, broken: %v", result.refused, result.broken)
				}
			})
		}
	}
}

// TestRequestsAreServedBesideWaitsForConnections guards against requests that are refused because others, which
// wait for connections that can't be opened, have taken the slots of all targets: another instance serves them.
func TestRequestsAreServedBesideWaitsForConnections(t *testing.T) {
	const burst = 60
	s := newCutSite(t)
	in := s.instances["n1"]
	s.links["n1"].Cut(link.HangNew, s.hallIs("a1", "a2"))
	result := &tally{}
	var sent sync.WaitGroup
	send := func(key string) {
		sent.Go(func() {
			began := time.Now()
			result.add(in.sendKey(key), time.Since(began))
		})
	}
	for i := range 3 {
		send(fmt.Sprint("first", i))
	}
	time.Sleep(noticeOfSlowDial)
	for i := range burst {
		send(fmt.Sprint(i))
	}
	sent.Wait()
	require.GreaterOrEqual(t, 50*result.served, 49*(burst+3), "refused: %d, longest answer %v", len(result.refused), result.longest)
}

// noticeOfSlowDial is the time after which the opening of a connection is noticed to take long, and a little more.
const noticeOfSlowDial = 200 * time.Millisecond
