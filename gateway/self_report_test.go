package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/origin"
)

const (
	// propagationTime is within how long all instances in touch are to know what a target has
	// told one of them.
	propagationTime = time.Second
	// backoffGrace is for requests that are on their way when a target asks for rest, and
	// mostInRest is the number of those that may arrive later, until the rest is over.
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// maxUsualRetryAfter is the longest time after which a refused request is told to come back where no
// target rests: three and a half usual times of 200 ms.
const maxUsualRetryAfter = 700 * time.Millisecond

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// arrivals are the requests that have reached a target.
type arrivals struct {
	mu       sync.Mutex
	at       []time.Time
	rejected []bool
}

// watchArrivals notes what reaches a target from now on.
func watchArrivals(server *origin.Server) *arrivals {
	v := &arrivals{}
	server.SetObserver(func(a origin.Arrival) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.at = append(v.at, a.At)
		v.rejected = append(v.rejected, !a.Ran)
	})
	return v
}

// after returns the number of requests that arrived later than a time after the first one.
func (v *arrivals) after(d time.Duration) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, at := range v.at {
		if at.Sub(v.at[0]) > d {
			n++
		}
	}
	return n
}

// maxAfterRejection returns the largest number of requests that arrived between restGrace and length
// after one that was turned away.
func (v *arrivals) maxAfterRejection(length time.Duration) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	most := 0
	for i, turned := range v.rejected {
		n := 0
		for _, at := range v.at[i:] {
			if d := at.Sub(v.at[i]); turned && d > backoffGrace && d < length {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// read sends a read of one of a hundred objects.
func (in *instance) read(n int) reply {
	key := http.Header{"Affinity-Key": {strconv.Itoa(n * 37 % 100)}}
	return in.sendWith(context.Background(), in.site.newID(), "GET", "/x/", "", key)
}

// readSite is instances in halls before count targets of the same halls.
func readSite(t *testing.T, count int, halls ...string) ([]*instance, []*origin.Server) {
	s := newSite(t)
	s.configure(1, route{prefix: "/x/", service: "s", kind: "idempotent"})
	var servers []*origin.Server
	for i := range count {
		server := s.server(fmt.Sprint("i-", i), "s", halls[i%len(halls)])
		server.SetWork(5 * time.Millisecond)
		servers = append(servers, server)
	}
	var instances []*instance
	for i, hall := range halls {
		instances = append(instances, s.instance(fmt.Sprint("n", i), hall))
	}
	for _, in := range instances {
		in.awaitReady()
		require.Eventually(t, func() bool { return in.aliveCount() == strconv.Itoa(len(halls)) }, wait, poll)
		in.awaitStatus("/x/", 200)
	}
	return instances, servers
}

// TestNoRequestsAfterLeavingReport guards against requests to a target that has said in its answers that it leaves.
func TestNoRequestsAfterLeavingReport(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault origin.Fault
	}{
		{"in successes", origin.None},
		{"in failures", origin.Failed},
		{"in rejections", origin.Shed},
	} {
		t.Run(c.name, func(t *testing.T) {
			instances, servers := readSite(t, 12, "a1", "a1", "a2", "b1")
			leaver := servers[0]
			l := startLoadOf(instances, 8, (*instance).read)
			defer l.stop()
			leaver.SetScript(func(*http.Request) origin.Fault { return c.fault })
			leaver.SetSays(func(*http.Request) string { return "Server-Leaving: 1\r\n" })
			seen := watchArrivals(leaver)
			time.Sleep(3 * propagationTime)
			t.Logf("%d of %d later than %v", seen.after(propagationTime), seen.after(-1), propagationTime)
			require.NotZero(t, seen.after(-1))
			require.Zero(t, seen.after(propagationTime), "requests that reached a target that leaves")
		})
	}
}

// TestRequestedBackoffIsKept is the story of a target that asks for rest and gets none.
//
// What users saw: for nine seconds seven of 24 targets turned away all they got, each time
// with the wish to get nothing for 3 s. They got 1,124 requests in that time, and one in
// fourteen reads was refused in the end although the other targets had room.
//
// Order of events: a target answers 503, not run, and asks for 3 s of rest. The instance
// tries the same request there once more within milliseconds, pauses the target for 150 ms,
// and sends the next request of its keys there; and so on.
//
// Cause: what a target asks for was not read; a pause of a fixed length stood in for it.
//
// Evidence: all 479 pauses in the lines are of 149 ms, whatever 'rest_ms' says, and the
// attempts of the pairs of an instance and such a target lie as far apart as the pauses.
func TestRequestedBackoffIsKept(t *testing.T) {
	const rest = 2 * time.Second
	instances, servers := readSite(t, 4, "a1")
	tired := servers[0]
	tired.SetScript(func(*http.Request) origin.Fault { return origin.Shed })
	tired.SetSays(func(*http.Request) string { return "Retry-After: 2.0\r\n" })
	seen := watchArrivals(tired)
	l := startLoadOf(instances, 4, (*instance).read)
	time.Sleep(2 * rest)
	served, all := l.stop()
	t.Logf("%d requests within a rest, %d of %d served", seen.maxAfterRejection(rest), served, all)
	require.NotZero(t, seen.after(-1))
	require.LessOrEqual(t, seen.maxAfterRejection(rest), maxDuringBackoff, "requests within a rest")
	require.GreaterOrEqual(t, served*100, all*99, "served by the others")
}

// TestAllTargetsInBackoff checks that a request is refused when all targets of its service rest, that
// its caller is told when the first of them is back, and that none of them gets anything
// until then.
func TestAllTargetsInBackoff(t *testing.T) {
	const rest = 2 * time.Second
	instances, servers := readSite(t, 3, "a1")
	var seen []*arrivals
	for _, server := range servers {
		v := watchArrivals(server)
		seen = append(seen, v)
		server.SetSays(func(*http.Request) string { return "Retry-After: 2\r\n" })
		server.SetScript(func(*http.Request) origin.Fault {
			if v.after(-1) == 0 {
				return origin.Shed
			}
			return origin.None
		})
	}
	key := 0
	allRest := func() bool {
		key++
		instances[0].read(key)
		for _, v := range seen {
			if v.after(-1) == 0 {
				return false
			}
		}
		return true
	}
	require.Eventually(t, allRest, wait, poll)
	got := instances[0].read(1)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	told, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	first := time.Now().Add(rest)
	for _, v := range seen {
		first = earliest(first, v.at[0].Add(rest))
	}
	require.GreaterOrEqual(t, told, time.Until(first).Seconds()-0.01, "seconds until the first target is back, rounded")
	require.Less(t, told, 2*rest.Seconds()+maxUsualRetryAfter.Seconds(), "at most as long again, and the usual time to come back")
	require.Eventually(t, func() bool { return instances[0].read(1).status == http.StatusOK }, wait, poll)
	for _, v := range seen {
		require.LessOrEqual(t, v.maxAfterRejection(rest), 0, "requests within a rest")
	}
}
