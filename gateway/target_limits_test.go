package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/origin"
)

const (
	// limitPropagationTime is the time after a target's first announcement within which all
	// instances have to keep its limit. limitWindow is the length of the windows in which requests
	// are counted.
	limitPropagationTime = 2 * time.Second
	limitWindow          = 4 * time.Second
	// limitSlack is the number of requests that may arrive in any window beyond one and a half
	// times the limit.
	limitSlack = 5
)

// maxRequests returns the number of requests that may arrive within limitWindow.
func maxRequests(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds()) + limitSlack }

// maxInWindow returns the largest number of requests that arrived in a window of the given length,
// over all windows that begin at least wait after the first request.
func (v *arrivals) maxInWindow(wait, length time.Duration) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := slices.SortedFunc(slices.Values(v.at), time.Time.Compare)
	largest := 0
	for i, from := range at {
		if from.Sub(at[0]) < wait {
			continue
		}
		n := 0
		for _, later := range at[i:] {
			if later.Sub(from) < length {
				n++
			}
		}
		largest = max(largest, n)
	}
	return largest
}

// announceLimit makes a target announce a limit in each response.
func announceLimit(server *origin.Server, perSecond float64) {
	server.SetExtraHeaders(func(*http.Request) string { return fmt.Sprintf("Server-Limit: %g\r\n", perSecond) })
}

// TestTargetLimitIsKept guards against instances that send as many requests as before to a target
// that announces a limit.
func TestTargetLimitIsKept(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name      string
		perSecond float64
		halls     []string
		fault     origin.Fault
	}{
		{"one instance", 5, []string{"a1"}, origin.None},
		{"four instances", 4.7, []string{"a1", "a1", "a2", "b1"}, origin.None},
		{"twelve instances", 2, slices.Repeat([]string{"a1", "a1", "a2", "b1"}, 3), origin.None},
		{"less than one a second", 0.5, []string{"a1", "a1", "a2", "b1"}, origin.None},
		{"in failures", 6.2, []string{"a1", "a1", "a2", "b1"}, origin.Failed},
		{"in rejections", 6.2, []string{"a1", "a1", "a2", "b1"}, origin.Shed},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			instances, servers := readSite(t, 4, c.halls...)
			limitedTarget := servers[0]
			l := startLoadOf(instances, 8, (*instance).read)
			limitedTarget.SetScript(func(*http.Request) origin.Fault { return c.fault })
			announceLimit(limitedTarget, c.perSecond)
			seen := watchArrivals(limitedTarget)
			time.Sleep(limitPropagationTime + 2*limitWindow)
			served, all := l.stop()
			arrived := seen.maxInWindow(limitPropagationTime, limitWindow)
			t.Logf("%d in %v, %d allowed; %d of %d served", arrived, limitWindow, maxRequests(c.perSecond), served, all)
			require.LessOrEqual(t, arrived, maxRequests(c.perSecond))
			require.NotZero(t, arrived, "the limit is used")
			if c.fault != origin.Failed {
				require.GreaterOrEqual(t, served*100, all*99, "the other targets have free slots")
			}
		})
	}
}

// TestAllTargetsLimited checks that instances use at least 90 % of the targets' limits if there are
// more requests than all limits together allow, and never exceed a limit.
func TestAllTargetsLimited(t *testing.T) {
	t.Parallel()
	const perSecond = 20
	instances, servers := readSite(t, 4, "a1", "a1", "a2", "b1")
	l := startLoadOf(instances, 8, (*instance).read)
	var seen []*arrivals
	for _, server := range servers {
		announceLimit(server, perSecond)
		seen = append(seen, watchArrivals(server))
	}
	defer l.stop()
	all := float64(len(servers)) * perSecond * limitWindow.Seconds()
	used := func() bool {
		sum := 0
		for _, v := range seen {
			arrived := v.maxInWindow(limitPropagationTime, limitWindow)
			require.LessOrEqual(t, arrived, maxRequests(perSecond))
			sum += arrived
		}
		t.Logf("%d in %v at all targets", sum, limitWindow)
		return float64(sum) >= 0.9*all
	}
	time.Sleep(limitPropagationTime + limitWindow)
	require.Eventually(t, used, 4*limitWindow, limitWindow)
}

// TestTargetLimitIsLowered checks that a lowered limit is kept from two seconds after its first
// announcement.
func TestTargetLimitIsLowered(t *testing.T) {
	t.Parallel()
	instances, servers := readSite(t, 4, "a1", "a1", "a2", "b1")
	l := startLoadOf(instances, 8, (*instance).read)
	defer l.stop()
	announceLimit(servers[0], 40)
	time.Sleep(limitPropagationTime)
	announceLimit(servers[0], 4)
	seen := watchArrivals(servers[0])
	time.Sleep(limitPropagationTime + 2*limitWindow)
	arrived := seen.maxInWindow(limitPropagationTime, limitWindow)
	t.Logf("%d in %v, %d allowed", arrived, limitWindow, maxRequests(4))
	require.LessOrEqual(t, arrived, maxRequests(4))
}

// firstTargetShare returns the fraction of requests that the first target receives, measured over
// the given time.
func firstTargetShare(servers []*origin.Server, length time.Duration) float64 {
	var seen []*arrivals
	for _, server := range servers {
		seen = append(seen, watchArrivals(server))
	}
	time.Sleep(length)
	all := 0
	for _, v := range seen {
		all += v.after(-1)
	}
	return float64(seen[0].after(-1)) / float64(max(all, 1))
}

// TestTargetLimitIsWithdrawn checks that a target that stops announcing a limit receives its usual
// share of the requests again.
func TestTargetLimitIsWithdrawn(t *testing.T) {
	t.Parallel()
	instances, servers := readSite(t, 4, "a1", "a1", "a2", "b1")
	l := startLoadOf(instances, 8, (*instance).read)
	defer l.stop()
	usual := firstTargetShare(servers, limitPropagationTime)
	for _, perSecond := range []float64{2, 0.5} {
		announceLimit(servers[0], perSecond)
		time.Sleep(limitPropagationTime)
		require.Less(t, firstTargetShare(servers, limitPropagationTime), usual/2, "the limit is kept")
		servers[0].SetExtraHeaders(func(*http.Request) string { return "" })
		withdrawnAt := time.Now()
		restored := func() bool { return firstTargetShare(servers, time.Second) >= 0.7*usual }
		require.Eventually(t, restored, wait, poll)
		t.Logf("usual share again after %v", time.Since(withdrawnAt))
	}
}

// arrivalTimes collects arrival times. It is safe for concurrent use.
type arrivalTimes struct {
	mu sync.Mutex
	at []time.Time
}

func (s *arrivalTimes) add(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = append(s.at, at)
}

// TestTargetLimitIsKeptByOtherInstances checks that a limit is also kept by instances that learned
// of it only from other instances, and by an instance that starts later.
func TestTargetLimitIsKeptByOtherInstances(t *testing.T) {
	t.Parallel()
	const perSecond = 2
	instances, servers := readSite(t, 1, "a1", "a2", "b1")
	announceLimit(servers[0], perSecond)
	require.Equal(t, 200, instances[0].read(1).status)
	time.Sleep(propagationTime)
	late := instances[0].site.instance("late", "b1")
	late.awaitReady()
	var seen arrivalTimes
	servers[0].SetObserver(func(a origin.Arrival) { seen.add(a.At) })
	l := startLoadOf([]*instance{instances[1], instances[2], late}, 8, (*instance).read)
	time.Sleep(limitWindow)
	served, all := l.stop()
	t.Logf("%d in %v, %d allowed; %d of %d served", len(seen.at), limitWindow, maxRequests(perSecond), served, all)
	require.LessOrEqual(t, len(seen.at), maxRequests(perSecond))
	require.NotEmpty(t, seen.at)
}
