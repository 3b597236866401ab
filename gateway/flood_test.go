package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/objects"
)

const (
	// floodTime is for how long an account sends requests that all end their targets, and
	// floodEvery how far apart they are.
	floodTime  = 8 * time.Second
	floodEvery = 100 * time.Millisecond
	// floodRevived is how long after its end a target starts again.
	floodRevived = 3 * time.Second
	// mostFloodEnds is the largest number of targets that may end under them.
	mostFloodEnds = 30
)

// TestFloodOfEndingRequests has one account send ten requests a second, all different, each of
// which ends what runs it, beside its own good ones and those of another account.
func TestFloodOfEndingRequests(t *testing.T) {
	s := newSite(t)
	s.configureAccounts(1, map[string]objects.Tenant{"ada": {APIKeys: []string{adaKey}}, "ben": {APIKeys: []string{benKey}}})
	v := newReviving(s, 40, isEnding)
	v.after = floodRevived
	var instances []*instance
	for i, hall := range []string{"a1", "a1", "a2", "b1"} {
		instances = append(instances, s.instance(fmt.Sprint("n", i), hall))
	}
	for _, in := range instances {
		in.awaitReady()
		require.Eventually(t, func() bool { return in.alive() == "4" }, wait, poll)
		in.awaitKey(adaKey, "/x/", 200)
	}
	get := func(key string) func(in *instance, n int) reply {
		return func(in *instance, n int) reply {
			object := fmt.Sprint(n * 37 % 50)
			return in.sendHeaders("/x/"+object+"/", http.Header{"Credential": {key}, "Affinity-Key": {object}})
		}
	}
	own, other := startLoadOf(instances, 4, get(adaKey)), startLoadOf(instances, 4, get(benKey))
	time.Sleep(time.Second)
	var sent int
	for end := time.Now().Add(floodTime); time.Now().Before(end); sent++ {
		n := sent
		go instances[n%len(instances)].sendHeaders(fmt.Sprint(endingPath, n), http.Header{"Credential": {adaKey}, "Affinity-Key": {fmt.Sprint("e", n)}})
		time.Sleep(floodEvery)
	}
	ownServed, ownAll := own.stop()
	otherServed, otherAll := other.stop()
	t.Logf("%d targets ended under %d requests; %d of %d own ones served, %d of %d of the other account", v.endedSoFar(), sent, ownServed, ownAll, otherServed, otherAll)
	require.LessOrEqual(t, v.endedSoFar(), mostFloodEnds)
	require.GreaterOrEqual(t, float64(otherServed), 0.97*float64(otherAll))
	require.GreaterOrEqual(t, float64(ownServed), 0.9*float64(ownAll))
}
