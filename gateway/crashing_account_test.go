package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/objects"
)

const (
	// floodTime is how long an account sends requests that crash targets. floodEvery is the
	// interval between these requests.
	floodTime  = 8 * time.Second
	floodEvery = 100 * time.Millisecond
	// floodRestartDelay is the time between a target's crash and its restart.
	floodRestartDelay = 3 * time.Second
	// floodObjects is the number of objects that other requests read meanwhile.
	floodObjects = 50
	// maxFloodCrashes is the largest number of targets that may crash under the requests.
	maxFloodCrashes = 30
)

// TestFloodOfCrashingRequests guards against an account that sends ten requests per second, all
// different, each of which crashes the target that runs it. Ordinary requests of the same account
// and of another account have to be served meanwhile.
func TestFloodOfCrashingRequests(t *testing.T) {
	s := newSite(t)
	s.configureAccounts(1, map[string]objects.Tenant{"ada": {APIKeys: []string{adaKey}}, "ben": {APIKeys: []string{benKey}}})
	v := newRestartingTargets(s, 40, isCrashing)
	v.restartDelay = floodRestartDelay
	var instances []*instance
	for i, hall := range []string{"a1", "a1", "a2", "b1"} {
		instances = append(instances, s.instance(fmt.Sprint("n", i), hall))
	}
	for _, in := range instances {
		in.awaitReady()
		require.Eventually(t, func() bool { return in.aliveCount() == "4" }, wait, poll)
		in.awaitKey(adaKey, "/x/", 200)
	}
	get := func(key string) func(in *instance, n int) reply {
		return func(in *instance, n int) reply {
			object := fmt.Sprint(n * 37 % floodObjects)
			return in.sendHeaders("/x/"+object+"/", http.Header{"Credential": {key}, "Affinity-Key": {object}})
		}
	}
	own, other := startLoadOf(instances, 4, get(adaKey)), startLoadOf(instances, 4, get(benKey))
	// All objects are read before the flood, so that their requests count as answered.
	require.Eventually(t, func() bool { return own.count() >= 6*floodObjects && other.count() >= 6*floodObjects }, wait, poll)
	var sent int
	for end := time.Now().Add(floodTime); time.Now().Before(end); sent++ {
		n := sent
		go instances[n%len(instances)].sendHeaders(fmt.Sprint(crashPath, n), http.Header{"Credential": {adaKey}, "Affinity-Key": {fmt.Sprint("e", n)}})
		time.Sleep(floodEvery)
	}
	ownServed, ownAll := own.stop()
	otherServed, otherAll := other.stop()
	t.Logf("%d targets crashed under %d requests; %d of %d requests of the account served, %d of %d of the other account", v.crashCount(), sent, ownServed, ownAll, otherServed, otherAll)
	require.LessOrEqual(t, v.crashCount(), maxFloodCrashes)
	require.GreaterOrEqual(t, float64(otherServed), 0.97*float64(otherAll))
	require.GreaterOrEqual(t, float64(ownServed), 0.9*float64(ownAll))
}

// TestAccountsBesideCrashes crashes targets in waves independently of requests, while two accounts
// send requests that all differ, one account ten times as many as the other. It checks that at most
// one in a hundred requests is refused because of crashes under other requests of its account.
func TestAccountsBesideCrashes(t *testing.T) {
	s := newSite(t)
	s.configureAccounts(1, map[string]objects.Tenant{"ada": {APIKeys: []string{adaKey}}, "ben": {APIKeys: []string{benKey}}})
	v := newRestartingTargets(s, 20, func(*http.Request) bool { return false })
	var instances []*instance
	for i, hall := range []string{"a1", "a1", "a2", "b1"} {
		instances = append(instances, s.instance(fmt.Sprint("n", i), hall))
	}
	for _, in := range instances {
		in.awaitReady()
		in.awaitKey(adaKey, "/x/", 200)
	}
	var next atomic.Int64
	post := func(key string) func(in *instance, _ int) reply {
		return func(in *instance, _ int) reply {
			n := fmt.Sprint(next.Add(1))
			return in.sendWith(t.Context(), s.newID(), "POST", "/once/", n, http.Header{"Credential": {key}, "Affinity-Key": {n}})
		}
	}
	busy, rare := startLoadOf(instances, 10, post(adaKey)), startLoadOf(instances, 1, post(benKey))
	for range 8 {
		time.Sleep(500 * time.Millisecond)
		v.crashOne()
		v.crashOne()
		v.crashOne()
	}
	busyServed, busyAll := busy.stop()
	rareServed, rareAll := rare.stop()
	refused := 0
	for _, in := range instances {
		refused += in.counted("rainford_refusals_total", `reason="account-ends-targets"`)
	}
	t.Logf("%d targets crashed; %d of %d and %d of %d served, %d refused for their account", v.crashCount(), busyServed, busyAll, rareServed, rareAll, refused)
	require.LessOrEqual(t, float64(refused), 0.01*float64(busyAll+rareAll))
}

// counted returns the sum of a metric's series that have a label.
func (in *instance) counted(name, label string) int {
	sum := 0
	for _, line := range strings.Split(in.scrape(), "\n") {
		if !strings.HasPrefix(line, name+"{") || !strings.Contains(line, label) {
			continue
		}
		n, err := strconv.ParseFloat(line[strings.LastIndex(line, " ")+1:], 64)
		require.NoError(in.site.t, err)
		sum += int(n)
	}
	return sum
}
