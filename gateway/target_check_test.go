package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/link"
)

// TestSilentTargetIsFoundByConnection guards against requests that may run at most once, and therefore are not
// hedged, and that are sent to targets from which nothing comes back, one after the other at each instance,
// until some of them have timed out.
func TestSilentTargetIsFoundByConnection(t *testing.T) {
	// A connection breaks on its own after link.UnackedTimeout.
	const foundWithin, judged = 1500 * time.Millisecond, time.Second
	// At the low rate an instance sends about two requests a second to each target, on connections that are
	// open. At a high one new connections are needed, which can't be opened and show the fault.
	const highRate, lowRate = 10 * time.Millisecond, 50 * time.Millisecond
	s := newCutSite(t)
	// The instances learn how long requests take.
	s.loadOnce(time.Second, highRate)
	silent := map[string]bool{s.servers[0].Addr(): true, s.servers[3].Addr(): true}
	for _, l := range s.links {
		l.Cut(link.OneWay, func(addr string) bool { return silent[addr] })
	}
	first := make(chan *tally, 1)
	go func() { first <- s.loadOnce(foundWithin, lowRate) }()
	time.Sleep(foundWithin)
	c := s.loadOnce(judged, lowRate)
	requireServed(t, c, "while two of nine targets are silent")
	s.requireTrueOutcomes(t, map[string]*tally{"later": c, "at once": <-first})
	found := 0
	for name, in := range s.instances {
		require.Zero(t, in.metric("rainford_targets_lost"), name)
		found += max(0, in.counted("rainford_silent_targets_total", `hall="`+s.servers[0].Zone+`"`))
	}
	require.Positive(t, found, "the first instance that finds out tells the others")
}

// loadOnce sends requests that may run at most once for a time, one in each interval to each instance, and
// returns once all are answered.
func (s *cutSite) loadOnce(length, interval time.Duration) *tally {
	c := &tally{}
	var wg sync.WaitGroup
	for began := time.Now(); time.Since(began) < length; time.Sleep(interval) {
		for _, in := range s.instances {
			c.sent++
			header := http.Header{"Affinity-Key": {fmt.Sprint(c.sent % 40)}}
			wg.Go(func() {
				began := time.Now()
				got := in.sendWith(s.t.Context(), s.newID(), "POST", oncePath, "", header)
				c.add(got, time.Since(began))
			})
		}
	}
	wg.Wait()
	return c
}
