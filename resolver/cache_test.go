package resolver

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ownAddr = "10.0.0.1:9002"

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	query = Query{Region: "north", Hall: "north-1"}
)

func newCache(t require.TestingT) *Cache {
	c, err := New(ownAddr)
	require.NoError(t, err)
	return c
}

func TestNewRejectsAddress(t *testing.T) {
	for _, own := range []string{"", "10.0.0.1", ":9002", "10.0.0.1:"} {
		_, err := New(own)
		require.Error(t, err, own)
	}
}

// TestLookup guards against responses that are used for too long, and against fetches that are not
// needed or are missing. Ages are those of a response at the time of the look-up.
func TestLookup(t *testing.T) {
	body := []byte("response")
	for _, test := range []struct {
		name string
		age  time.Duration
		// fetching and failed state that a fetch is in progress, or failed just before.
		fetching, failed bool
		want             Answer
	}{
		{"fresh", FreshTime, false, false, Answer{Body: body}},
		{"stale", FreshTime + 1, false, false, Answer{Body: body, Fetch: true}},
		{"stale, fetch in progress", StaleTime, true, false, Answer{Body: body}},
		{"stale, fetch failed", StaleTime, false, true, Answer{Body: body}},
		{"old", StaleTime + 1, false, false, Answer{Fetch: true, Wait: true}},
		{"old, fetch in progress", StaleTime + 1, true, false, Answer{Wait: true}},
		{"old, fetch failed", StaleTime + 1, false, true, Answer{Body: body}},
		{"oldest, fetch failed", MaxAge, false, true, Answer{Body: body}},
		{"too old, fetch failed", MaxAge + 1, false, true, Answer{}},
		{"too old", MaxAge + 1, false, false, Answer{Fetch: true, Wait: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCache(t)
			require.Equal(t, Answer{Fetch: true, Wait: true}, c.Lookup(query, start))
			c.Store(query, ownAddr, Response{Body: body}, start)
			now := start.Add(test.age)
			if test.fetching || test.failed {
				require.True(t, c.Lookup(query, now).Fetch)
			}
			if test.failed {
				c.Abandon(query, now)
			}
			require.Equal(t, test.want, c.Lookup(query, now))
		})
	}
}

// TestFailedFetchIsRetried guards against one fetch for each look-up while no instance can be
// reached, and against a failure that is never followed by another fetch.
func TestFailedFetchIsRetried(t *testing.T) {
	c := newCache(t)
	require.True(t, c.Lookup(query, start).Fetch)
	c.Abandon(query, start)
	require.Equal(t, Answer{}, c.Lookup(query, start.Add(retryInterval-1)))
	require.Equal(t, Answer{Fetch: true, Wait: true}, c.Lookup(query, start.Add(retryInterval)))
}

// TestQueriesAreBounded guards against memory that grows with the queries of clients, and against
// the eviction of a query that is being fetched or is in use.
func TestQueriesAreBounded(t *testing.T) {
	c := newCache(t)
	now := start
	numbered := func(i int) Query { return Query{Hall: fmt.Sprint(i)} }
	for i := range maxQueries {
		now = now.Add(time.Millisecond)
		require.True(t, c.Lookup(numbered(i), now).Fetch)
	}
	require.Equal(t, Answer{}, c.Lookup(query, now), "all queries are being fetched")
	for i := range maxQueries {
		c.Store(numbered(i), ownAddr, Response{Body: []byte("b")}, now)
	}
	require.NotNil(t, c.Lookup(numbered(0), now.Add(time.Millisecond)).Body)
	require.True(t, c.Lookup(query, now.Add(2*time.Millisecond)).Fetch)
	require.Equal(t, maxQueries, c.Len())
	require.NotNil(t, c.Last(numbered(0), now), "used last")
	require.Nil(t, c.Last(numbered(1), now), "least recently used")
}

// repeated returns hosts of which each is repeated n times.
func repeated(n int, hosts ...string) []string {
	var out []string
	for _, host := range hosts {
		for range n {
			out = append(out, host)
		}
	}
	return out
}

func addrsOf(hosts ...string) []string {
	var out []string
	for _, host := range hosts {
		out = append(out, host+":9002")
	}
	return out
}

// TestCandidates guards against fetches that don't ask the own instance first, that ask no instance
// of another hall while those of the own hall hang, and that wait for the same failed instance
// again and again.
func TestCandidates(t *testing.T) {
	hall := append(repeated(5, "10.0.0.1", "10.0.0.2", "10.0.0.3"), "10.1.0.1", "10.2.0.1")
	for _, test := range []struct {
		name   string
		hosts  []string
		failed []string
		// want lists the sets of addresses from which the candidates are taken, in order.
		want [][]string
	}{
		{"nothing is known", nil, nil, [][]string{addrsOf("10.0.0.1")}},
		{"nothing is known and the own one failed", nil, addrsOf("10.0.0.1"), [][]string{addrsOf("10.0.0.1")}},
		{"near and distant ones alternate", hall, nil, [][]string{
			addrsOf("10.0.0.1"), addrsOf("10.0.0.2", "10.0.0.3"), addrsOf("10.1.0.1", "10.2.0.1"),
			addrsOf("10.0.0.2", "10.0.0.3"), addrsOf("10.1.0.1", "10.2.0.1"),
		}},
		{"failed ones are last", hall, addrsOf("10.0.0.1", "10.0.0.2"), [][]string{
			addrsOf("10.1.0.1", "10.2.0.1", "10.0.0.3"), addrsOf("10.1.0.1", "10.2.0.1", "10.0.0.3"),
			addrsOf("10.1.0.1", "10.2.0.1"), addrsOf("10.0.0.1"), addrsOf("10.0.0.2"),
		}},
		{"a response for another hall names distant ones", append(repeated(5, "10.1.0.1", "10.1.0.2"), "10.0.0.1"), nil, [][]string{
			addrsOf("10.0.0.1"), addrsOf("10.1.0.1", "10.1.0.2"), addrsOf("10.1.0.1", "10.1.0.2"),
		}},
		{"the number is bounded", []string{"h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9"}, nil, [][]string{
			addrsOf("10.0.0.1"), nil, nil, nil, nil, nil, nil, nil,
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(20) {
				c := newCache(t)
				c.Lookup(query, start)
				c.Store(query, ownAddr, Response{Body: []byte("b"), Hosts: test.hosts}, start)
				for i, addr := range test.failed {
					c.Failed(addr, start.Add(time.Duration(i)))
				}
				got := c.Candidates(start.Add(failureTime), rand.New(rand.NewPCG(seed, 0)))
				require.Len(t, got, len(test.want))
				seen := make(map[string]bool)
				for i, addr := range got {
					require.False(t, seen[addr], "%v has duplicates", got)
					seen[addr] = true
					if test.want[i] != nil {
						require.Contains(t, test.want[i], addr, "%v", got)
					}
				}
			}
		})
	}
}

// TestResponseForAnotherHall guards against instances of another hall that are taken for near ones,
// since the response for that hall repeats them and names the own one too.
func TestResponseForAnotherHall(t *testing.T) {
	c := newCache(t)
	c.Lookup(query, start)
	hosts := append(repeated(5, "10.1.0.1", "10.1.0.2"), "10.0.0.1", "10.2.0.1")
	c.Store(query, ownAddr, Response{Body: []byte("b"), Hosts: hosts}, start)
	second := make(map[string]bool)
	for seed := range uint64(50) {
		second[c.Candidates(start, rand.New(rand.NewPCG(seed, 0)))[1]] = true
	}
	require.Len(t, second, 3, "all are distant, in random order")
}

// TestFailureExpires guards against an instance that is not asked any more after it has recovered.
func TestFailureExpires(t *testing.T) {
	c := newCache(t)
	c.Lookup(query, start)
	c.Store(query, ownAddr, Response{Body: []byte("b"), Hosts: []string{"10.0.0.2"}}, start)
	rnd := rand.New(rand.NewPCG(1, 1))
	c.Failed(ownAddr, start)
	require.Equal(t, addrsOf("10.0.0.2", "10.0.0.1"), c.Candidates(start.Add(failureTime), rnd))
	require.Equal(t, addrsOf("10.0.0.1", "10.0.0.2"), c.Candidates(start.Add(failureTime+1), rnd))
	c.Failed(ownAddr, start)
	c.Store(query, ownAddr, Response{Hosts: []string{"10.0.0.2"}}, start)
	require.Equal(t, addrsOf("10.0.0.1", "10.0.0.2"), c.Candidates(start, rnd))
}

// TestAnswersAreYoung checks for random sequences of look-ups and fetches that no answer is older
// than MaxAge, that there is at most one fetch of a query at a time, that a look-up waits only for
// a fetch in progress, and that a look-up is only refused if there is no response that is young
// enough.
func TestAnswersAreYoung(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCache(t)
		now := start
		fetching := make(map[Query]time.Time)
		latest := make(map[Query]time.Time)
		checkAge := func(q Query, body []byte, waits bool) {
			at, ok := latest[q]
			young := ok && now.Sub(at) <= MaxAge
			if body != nil {
				require.True(t, young)
				require.Equal(t, at.String(), string(body))
			} else {
				require.True(t, waits || !young)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			q := Query{Hall: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "hall")}
			askedAt, inProgress := fetching[q]
			switch {
			case !inProgress || rapid.Bool().Draw(t, "lookup"):
				a := c.Lookup(q, now)
				require.False(t, a.Fetch && inProgress)
				if a.Fetch {
					fetching[q] = now
				}
				_, inProgress = fetching[q]
				require.True(t, inProgress || !a.Wait)
				checkAge(q, a.Body, a.Wait)
			case rapid.Bool().Draw(t, "responds"):
				c.Store(q, ownAddr, Response{Body: []byte(askedAt.String())}, askedAt)
				latest[q] = askedAt
				delete(fetching, q)
				checkAge(q, c.Last(q, now), false)
			default:
				c.Abandon(q, now)
				delete(fetching, q)
				checkAge(q, c.Last(q, now), false)
			}
		}
	})
}

// TestCachedLookupAllocatesNothing guards against garbage in the most frequent case.
func TestCachedLookupAllocatesNothing(t *testing.T) {
	c := newCache(t)
	c.Lookup(query, start)
	c.Store(query, ownAddr, Response{Body: []byte("b")}, start)
	require.Zero(t, testing.AllocsPerRun(100, func() { c.Lookup(query, start) }))
}

func BenchmarkLookup(b *testing.B) {
	c := newCache(b)
	c.Lookup(query, start)
	c.Store(query, ownAddr, Response{Body: []byte("b")}, start)
	b.ReportAllocs()
	for b.Loop() {
		c.Lookup(query, start)
	}
}

// TestNamedInstancesAreRemembered guards against a process that knows no instance but its own, which has ended,
// since the last response, of an instance that had just started, names no other.
func TestNamedInstancesAreRemembered(t *testing.T) {
	c := newCache(t)
	c.Lookup(query, start)
	c.Store(query, ownAddr, Response{Body: []byte("b"), Hosts: []string{"10.0.0.2", "10.0.0.3"}}, start)
	later := start.Add(10 * time.Second)
	c.Store(query, ownAddr, Response{Body: []byte("b"), Hosts: []string{"10.0.0.1"}}, later)
	rnd := rand.New(rand.NewPCG(1, 1))
	require.ElementsMatch(t, addrsOf("10.0.0.1", "10.0.0.2", "10.0.0.3"), c.Candidates(later, rnd))
	forgotten := start.Add(namedTime + time.Second)
	c.Store(query, ownAddr, Response{Body: []byte("b"), Hosts: []string{"10.0.0.1"}}, forgotten)
	require.Equal(t, addrsOf("10.0.0.1"), c.Candidates(forgotten, rnd))
}
