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
	// propagationTime is the time within which all connected instances have to know what a target
	// has reported to one of them.
	propagationTime = time.Second
	// backoffGrace allows for requests that are in flight when a target requests a back-off.
	// maxDuringBackoff is the number of requests that may arrive after that, until the back-off
	// ends.
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// maxUsualRetryAfter is the longest Retry-After of a refusal without back-off: three and a half
// times the typical latency of 200 ms.
const maxUsualRetryAfter = 700 * time.Millisecond

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// arrivals records the requests that have reached a target.
type arrivals struct {
	mu       sync.Mutex
	at       []time.Time
	rejected []bool
}

// watchArrivals starts recording the requests that reach a target.
func watchArrivals(server *origin.Server) *arrivals {
	v := &arrivals{}
	server.SetObserver(func(a origin.Arrival) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.at = append(v.at, a.At)
		v.rejected = append(v.rejected, !a.Executed)
	})
	return v
}

// after returns the number of requests that arrived more than d after the first one.
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

// maxAfterRejection returns the largest number of requests that arrived between backoffGrace and
// length after a rejected request.
func (v *arrivals) maxAfterRejection(length time.Duration) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	most := 0
	for i, rejected := range v.rejected {
		n := 0
		for _, at := range v.at[i:] {
			if d := at.Sub(v.at[i]); rejected && d > backoffGrace && d < length {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// read reads one of a hundred objects.
func (in *instance) read(n int) reply {
	key := http.Header{"Affinity-Key": {strconv.Itoa(n * 37 % 100)}}
	return in.sendWith(context.Background(), in.site.newID(), "GET", "/x/", "", key)
}

// readSite starts instances in the given halls and count targets in the same halls.
func readSite(t *testing.T, count int, halls ...string) ([]*instance, []*origin.Server) {
	s := newSite(t)
	s.configure(1, route{prefix: "/x/", service: "s", kind: "idempotent"})
	var servers []*origin.Server
	for i := range count {
		server := s.server(fmt.Sprint("i-", i), "s", halls[i%len(halls)])
		server.SetServiceTime(5 * time.Millisecond)
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

// TestNoRequestsAfterLeavingReport guards against requests to a target that has announced in its
// responses that it leaves.
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
			leavingTarget := servers[0]
			l := startLoadOf(instances, 8, (*instance).read)
			defer l.stop()
			leavingTarget.SetScript(func(*http.Request) origin.Fault { return c.fault })
			leavingTarget.SetExtraHeaders(func(*http.Request) string { return "Server-Leaving: 1\r\n" })
			arrived := watchArrivals(leavingTarget)
			time.Sleep(3 * propagationTime)
			t.Logf("%d of %d later than %v", arrived.after(propagationTime), arrived.after(-1), propagationTime)
			require.NotZero(t, arrived.after(-1))
			require.Zero(t, arrived.after(propagationTime), "requests that reached a leaving target")
		})
	}
}

// TestRequestedBackoffIsKept guards against requests to a target that has requested a back-off by
// Retry-After.
//
// When instances ignored the requested time and paused each such target for a fixed 150 ms, they
// retried a rejected request there within milliseconds, and sent the next request for the target's
// keys there after the pause. Seven of 24 targets that rejected all requests with a back-off of 3 s
// got 1,124 requests in nine seconds, and one in fourteen reads was refused although the other
// targets had free slots.
func TestRequestedBackoffIsKept(t *testing.T) {
	const backoff = 2 * time.Second
	instances, servers := readSite(t, 4, "a1")
	target := servers[0]
	target.SetScript(func(*http.Request) origin.Fault { return origin.Shed })
	target.SetExtraHeaders(func(*http.Request) string { return "Retry-After: 2.0\r\n" })
	arrived := watchArrivals(target)
	l := startLoadOf(instances, 4, (*instance).read)
	time.Sleep(2 * backoff)
	served, all := l.stop()
	t.Logf("%d requests during a back-off, %d of %d served", arrived.maxAfterRejection(backoff), served, all)
	require.NotZero(t, arrived.after(-1))
	require.LessOrEqual(t, arrived.maxAfterRejection(backoff), maxDuringBackoff, "requests during a back-off")
	require.GreaterOrEqual(t, served*100, all*99, "served by the other targets")
}

// TestAllTargetsInBackoff checks that a request is refused when all targets of its service are in
// back-off, that the Retry-After covers the time until the first target is available again, and
// that no target gets a request until then.
func TestAllTargetsInBackoff(t *testing.T) {
	const backoff = 2 * time.Second
	instances, servers := readSite(t, 3, "a1")
	var arrived []*arrivals
	for _, server := range servers {
		v := watchArrivals(server)
		arrived = append(arrived, v)
		server.SetExtraHeaders(func(*http.Request) string { return "Retry-After: 2\r\n" })
		server.SetScript(func(*http.Request) origin.Fault {
			if v.after(-1) == 0 {
				return origin.Shed
			}
			return origin.None
		})
	}
	key := 0
	allInBackoff := func() bool {
		key++
		instances[0].read(key)
		for _, v := range arrived {
			if v.after(-1) == 0 {
				return false
			}
		}
		return true
	}
	require.Eventually(t, allInBackoff, wait, poll)
	got := instances[0].read(1)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	first := time.Now().Add(backoff)
	for _, v := range arrived {
		first = earliest(first, v.at[0].Add(backoff))
	}
	require.GreaterOrEqual(t, retryAfter, time.Until(first).Seconds()-0.01, "seconds until the first target is available, rounded")
	require.Less(t, retryAfter, 2*backoff.Seconds()+maxUsualRetryAfter.Seconds(), "at most twice the back-off plus the usual Retry-After")
	require.Eventually(t, func() bool { return instances[0].read(1).status == http.StatusOK }, wait, poll)
	for _, v := range arrived {
		require.LessOrEqual(t, v.maxAfterRejection(backoff), 0, "requests during a back-off")
	}
}
