package gateway

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/endpoints"
	"github.com/rainford/rainford/fleet"
)

// members returns n members of a hall in the given state.
func members(hall string, n int, state fleet.State, flags fleet.Flags) []fleet.Status {
	var out []fleet.Status
	for i := range n {
		addr := fmt.Sprint(hall, "-", state, "-", flags, "-", i)
		out = append(out, fleet.Status{Member: fleet.Member{Name: addr, Hall: hall, Region: hall[:1], FrontAddr: addr}, State: state, Flags: flags})
	}
	return out
}

// TestAddresses checks to which instances clients of hall a1 are directed: those of the hall, also
// those of the region if few of the hall serve, and those of other regions if the region has none.
// One instance of another hall and one of another region are added for clients that lose theirs.
// An instance that has just started includes members from which it has received nothing yet.
func TestAddresses(t *testing.T) {
	join := func(lists ...[]fleet.Status) []fleet.Status {
		var out []fleet.Status
		for _, list := range lists {
			out = append(out, list...)
		}
		return out
	}
	sameRegion := members("a2", 10, fleet.Alive, fleet.Ready)
	otherRegion := members("b1", 10, fleet.Alive, fleet.Ready)
	cases := []struct {
		name        string
		members     []fleet.Status
		discovering bool
		want        map[string]int
	}{
		{"the hall", join(members("a1", 10, fleet.Alive, fleet.Ready), sameRegion, otherRegion), false, map[string]int{"a1": 10, "a2": 1, "b1": 1}},
		{"one of the hall", join(members("a1", 1, fleet.Alive, fleet.Ready), sameRegion, otherRegion), false, map[string]int{"a1": 1, "a2": 10, "b1": 1}},
		{"all of a small hall", join(members("a1", 2, fleet.Alive, fleet.Ready), sameRegion, otherRegion), false, map[string]int{"a1": 2, "a2": 1, "b1": 1}},
		{"few of the hall are left", join(members("a1", 4, fleet.Alive, fleet.Ready), members("a1", 6, fleet.Suspect, fleet.Ready), sameRegion, otherRegion), false,
			map[string]int{"a1": 4, "a2": 10, "b1": 1}},
		{"others not ready or leaving", join(members("a1", 3, fleet.Alive, fleet.Ready), members("a1", 1, fleet.Alive, 0), members("a1", 1, fleet.Stopping, fleet.Ready), sameRegion), false,
			map[string]int{"a1": 3, "a2": 1}},
		{"no region", otherRegion, false, map[string]int{"b1": 10}},
		{"just started", join(members("a1", 1, fleet.Alive, fleet.Ready), members("a1", 8, fleet.Unknown, 0), members("a1", 2, fleet.Alive, 0), members("a1", 1, fleet.Suspect, 0), sameRegion), true,
			map[string]int{"a1": 11, "a2": 1}},
		{"unknown after discovery", join(members("a1", 2, fleet.Alive, fleet.Ready), members("a1", 8, fleet.Unknown, 0), sameRegion), false, map[string]int{"a1": 2, "a2": 10}},
		{"unknown of another region", join(members("a1", 3, fleet.Alive, fleet.Ready), members("b1", 8, fleet.Unknown, 0)), false, map[string]int{"a1": 3}},
		{"many", members("a1", 200, fleet.Alive, fleet.Ready), false, map[string]int{"a1": 62}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var candidates []endpoints.Instance
			for _, m := range c.members {
				candidates = append(candidates, endpointOf(m))
			}
			response := endpoints.Choose(time.Now(), endpoints.Query{Region: "a", Hall: "a1"}, candidates, endpoints.State{Addr: "self", Hall: "a1", Discovering: c.discovering})
			got, seen := map[string]int{}, map[string]bool{}
			for _, addr := range response.Addresses {
				if !seen[addr] {
					got[addr[:2]]++
				}
				seen[addr] = true
			}
			require.Equal(t, c.want, got)
		})
	}
}

// lookupCodec encodes lookup responses as their first address.
type lookupCodec struct{ plainCodec }

func (lookupCodec) LookupAnswer(addrs []string, _ time.Duration) ([]byte, error) {
	return []byte(addrs[0]), nil
}

// TestCachedLookup guards against work for each look-up that could be done once for many: a cached
// response allocates nothing. It also guards against a cache that grows with the halls that clients
// state.
func TestCachedLookup(t *testing.T) {
	g := newTestGateway(t)
	g.codec = lookupCodec{}
	g.view.SetFlags(fleet.Ready)
	g.readiness.instancesLoaded.Store(true)
	q := endpoints.Query{Region: "a", Hall: "a1"}
	require.NotNil(t, g.lookup(q))
	g.lookups.responses[q].createdAt = g.clock.Now().Add(time.Hour)
	require.Zero(t, testing.AllocsPerRun(100, func() { g.lookup(q) }))
	for i := range 3 * maxCachedLookups {
		require.NotNil(t, g.lookup(endpoints.Query{Hall: fmt.Sprint("x", i)}))
	}
	require.LessOrEqual(t, len(g.lookups.responses), maxCachedLookups)
}

// TestStartingInstanceNamesNobody guards against an instance that has just started, knows no other one, and sends
// all clients that ask it to itself.
func TestStartingInstanceNamesNobody(t *testing.T) {
	g := newTestGateway(t)
	g.codec = lookupCodec{}
	g.startedAt = g.clock.Now()
	g.view.SetFlags(fleet.Ready)
	q := endpoints.Query{Region: "a", Hall: "a1"}
	require.Nil(t, g.lookup(q))
	g.readiness.instancesLoaded.Store(true)
	require.NotNil(t, g.lookup(q))
	g.readiness.instancesLoaded.Store(false)
	g.startedAt = g.clock.Now().Add(-discoveryTime)
	g.lookups.responses = nil
	require.NotNil(t, g.lookup(q), "it does not wait for longer")
}

// TestLookupCompositionIsLogged guards against a change of where clients are directed that no log line
// and no metric shows.
func TestLookupCompositionIsLogged(t *testing.T) {
	var out bytes.Buffer
	g := newTestGateway(t)
	g.codec, g.log = lookupCodec{}, slog.New(slog.NewTextHandler(&out, nil))
	g.startedAt = g.clock.Now().Add(-time.Minute)
	g.view.SetFlags(fleet.Ready)
	other := fleet.Member{Name: "n2", Hall: "a1", Region: "a", FrontAddr: "10.0.0.2:1", PeerAddr: "10.0.0.2:2"}
	far := fleet.Member{Name: "n3", Hall: "a2", Region: "a", FrontAddr: "10.0.0.3:1", PeerAddr: "10.0.0.3:2"}
	g.view.Add(other, far)
	g.view.MergeHeartbeats(g.clock.Now(), fleet.Heartbeats{
		{Member: fleet.IDOf("n2"), Sequence: 9, Flags: fleet.Ready}, {Member: fleet.IDOf("n3"), Sequence: 9, Flags: fleet.Ready}})
	q := endpoints.Query{Region: "a", Hall: "a1"}
	require.NotNil(t, g.lookup(q))
	require.NotContains(t, out.String(), logLookupComposition)
	g.markRefused("10.0.0.2:2")
	g.lookups.responses[q].createdAt = time.Time{}
	require.NotNil(t, g.lookup(q))
	require.Contains(t, out.String(), `msg="look-up composition" hall=a1 composition=complemented before=own-hall`)
	recorder := httptest.NewRecorder()
	g.metrics.handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/", nil))
	require.Regexp(t, `rainford_lookup_addresses_total\{composition="own-hall"[^}]*place="same-hall"[^}]*\} 62`, recorder.Body.String())
}
