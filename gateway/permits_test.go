package gateway_test

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
	"github.com/rainford/rainford/ratelimit"
)

// limitedSite starts three instances in two halls, with an account that has the given rate limit.
func limitedSite(t *testing.T, rate, burst float64) (*site, *origin.Server, []*instance) {
	s := newSite(t)
	s.limit(1, rate, burst)
	server := s.server("i-1", "s", "a1")
	server.Slots = 500
	s.record(server, "ready")
	first := func(c *gateway.Config) {
		c.FirstStart = true
		c.RegionOf = map[string]string{"a1": "a", "a2": "a"}
	}
	var instances []*instance
	for i, hall := range []string{"a1", "a1", "a2"} {
		in := s.instance("n"+strconv.Itoa(i), hall, first)
		in.awaitKey(benKey, "/x/", 200)
		instances = append(instances, in)
	}
	return s, server, instances
}

// limit writes a configuration with a limited account, ada, and an unlimited one, ben.
func (s *site) limit(version int, rate, burst float64) {
	s.configureAccounts(version, map[string]objects.Tenant{
		"ada": {APIKeys: []string{adaKey}, RatePerS: rate, Burst: burst},
		"ben": {APIKeys: []string{benKey}},
	})
}

// flood sends requests with a key through all instances as fast as they respond, and returns the
// number of responses by status.
func flood(instances []*instance, key string, length time.Duration) map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	got := make(map[int]int)
	end := time.Now().Add(length)
	for _, in := range instances {
		for range 2 {
			wg.Go(func() {
				for time.Now().Before(end) {
					status := in.sendWithKey(key, "/x/").status
					mu.Lock()
					got[status]++
					mu.Unlock()
					time.Sleep(2 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	return got
}

// TestLimitHoldsOverAllInstances floods an account through all instances. It checks that the
// requests at the target stay within the limit in each window, and that at least 70 % of the limit
// is used.
func TestLimitHoldsOverAllInstances(t *testing.T) {
	const rate, burst, length = 40, 20, 3 * time.Second
	_, server, instances := limitedSite(t, rate, burst)
	var mu sync.Mutex
	var arrivals []time.Time
	server.SetObserver(func(a origin.Arrival) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, a.At)
	})
	got := flood(instances, adaKey, length)
	require.Positive(t, got[429], "%v", got)
	require.Equal(t, got[200], len(arrivals))
	require.GreaterOrEqual(t, float64(len(arrivals)), 0.7*rate*length.Seconds(), "%v", got)
	bound, limit := gateway.Defaults().Limits, ratelimit.Limit{Rate: rate, Burst: burst}
	for i := range arrivals {
		end := i
		for end < len(arrivals) && arrivals[end].Sub(arrivals[i]) <= time.Second {
			end++
		}
		// The bound covers a window of one second plus the lifetime of permits.
		require.LessOrEqual(t, float64(end-i), rate*(1+bound.PermitLifetime(limit).Seconds())+burst+bound.Slack)
	}
}

// TestUnlimitedAccountIsUnaffected checks that an account beyond its limit does not affect another
// account.
func TestUnlimitedAccountIsUnaffected(t *testing.T) {
	_, _, instances := limitedSite(t, 10, 5)
	done := make(chan map[int]int)
	go func() { done <- flood(instances, adaKey, time.Second) }()
	got := flood(instances, benKey, time.Second)
	hot := <-done
	require.Positive(t, hot[429])
	require.Zero(t, len(got)-1, "all responses have the same status: %v", got)
	require.Positive(t, got[200])
}

// TestDemandBelowLimitIsServedAnywhere sends 90 % of an account's limit through one instance, which
// exceeds the share of its hall. After the demand has moved to that instance, its owner has to
// borrow the rest.
func TestDemandBelowLimitIsServedAnywhere(t *testing.T) {
	const rate = 60
	_, _, instances := limitedSite(t, rate, 0)
	for _, in := range instances[:2] {
		var refused, served atomic.Int64
		var wg sync.WaitGroup
		startedAt := time.Now()
		// No request may be refused from one second after the demand has moved.
		settled := startedAt.Add(time.Second)
		ticker := time.NewTicker(time.Second * 10 / (9 * rate))
		for now := range ticker.C {
			if now.Sub(startedAt) > 3*time.Second {
				break
			}
			wg.Go(func() {
				status := in.sendWithKey(adaKey, "/x/").status
				if now.After(settled) && status != 200 {
					refused.Add(1)
				}
				served.Add(1)
			})
		}
		ticker.Stop()
		wg.Wait()
		require.Zero(t, refused.Load(), "refused requests of %d", served.Load())
	}
}

// TestRefusalHasRetryAfter checks the Retry-After of a request beyond the limit.
func TestRefusalHasRetryAfter(t *testing.T) {
	_, _, instances := limitedSite(t, 4, 1)
	in := instances[0]
	var got reply
	require.Eventually(t, func() bool {
		got = in.sendWithKey(adaKey, "/x/")
		return got.status == 429
	}, wait, poll)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Positive(t, after)
	require.LessOrEqual(t, after, 5.0)
}

// TestLoweredLimitIsInForce checks that a lowered limit takes effect, and that a removed limit no
// longer does.
func TestLoweredLimitIsInForce(t *testing.T) {
	s, _, instances := limitedSite(t, 10_000, 10_000)
	require.Zero(t, flood(instances, adaKey, 500*time.Millisecond)[429])
	s.limit(2, 2, 1)
	for _, in := range instances {
		require.Eventually(t, func() bool { return in.sendWithKey(adaKey, "/x/").status == 429 }, wait, poll)
	}
	time.Sleep(time.Second)
	got := flood(instances, adaKey, time.Second)
	require.LessOrEqual(t, got[200], 2+1+20)
	s.limit(3, 0, 0)
	for _, in := range instances {
		in.awaitKey(adaKey, "/x/", 200)
	}
}

// TestOwnersUnreachable checks that the requests of an account are refused as not run if no owner
// replies, and that a remaining owner is found.
func TestOwnersUnreachable(t *testing.T) {
	_, _, instances := limitedSite(t, 1000, 1000)
	in := instances[0]
	in.awaitKey(adaKey, "/x/", 200)
	for _, other := range instances[1:] {
		other.stop()
		<-other.done
	}
	// Either the own hall's share remains, or no owner is left.
	require.Eventually(t, func() bool {
		got := in.sendWithKey(adaKey, "/x/")
		return got.status == 200 || got.status == 503 && got.header.Get("Retry-After") != ""
	}, wait, poll)
}
