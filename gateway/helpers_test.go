package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/fleet"
)

// member returns a member that is ready, with further flags.
func member(name, hall, region string, state fleet.State, flags fleet.Flags) fleet.Status {
	return fleet.Status{Member: fleet.Member{Name: name, Hall: hall, Region: region}, State: state, Flags: fleet.Ready | flags}
}

func TestHelpers(t *testing.T) {
	now := time.Unix(1000, 0)
	all := []fleet.Status{
		member("a-same", "a1", "a", fleet.Alive, 0),
		member("a-other", "a2", "a", fleet.Alive, fleet.Watching),
		member("a-lost", "a1", "a", fleet.Alive, fleet.TargetsLost),
		member("a-leaving", "a1", "a", fleet.Stopping, fleet.Leaving),
		member("a-suspect", "a1", "a", fleet.Suspect, 0),
		member("b-far", "b1", "b", fleet.Alive, 0),
	}
	for _, c := range []struct {
		name    string
		regions []string
		tried   []string
		paused  []string
		want    []string
	}{
		{name: "own region", want: []string{"a-same", "a-other"}},
		{name: "tried", tried: []string{"a-same"}, want: []string{"a-other"}},
		{name: "paused", paused: []string{"a-other"}, want: []string{"a-same"}},
		{name: "none near", tried: []string{"a-same"}, paused: []string{"a-other"}, want: []string{"b-far"}},
		{name: "home regions", regions: []string{"b"}, want: []string{"b-far"}},
		{name: "none", regions: []string{"c"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHelpers("a", "a1", func() []fleet.Status { return all })
			for _, name := range c.paused {
				h.release(now, name, time.Second)
			}
			tried := make(map[string]bool)
			for _, name := range c.tried {
				tried[name] = true
			}
			got := make(map[string]bool)
			for range 50 {
				m, ok := h.acquire(now, c.regions, tried, false)
				require.Equal(t, len(c.want) > 0, ok)
				if ok {
					got[m.Name] = true
				}
			}
			require.Len(t, got, len(c.want))
			for _, name := range c.want {
				require.True(t, got[name], name)
			}
		})
	}
}

func TestHelpersShareRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	all := []fleet.Status{member("n1", "a1", "a", fleet.Alive, 0), member("n2", "a2", "a", fleet.Alive, 0), member("n3", "a2", "a", fleet.Alive, 0)}
	h := newHelpers("a", "a1", func() []fleet.Status { return all })
	counts := make(map[string]int)
	for range 300 {
		m, ok := h.acquire(now, nil, nil, false)
		require.True(t, ok)
		counts[m.Name]++
	}
	for name, n := range counts {
		require.InDelta(t, 100, n, 20, name)
	}
	h.release(now, "n1", 0)
	require.Equal(t, counts["n1"]-1, h.handedOver["n1"])
}

func TestHandoverRoom(t *testing.T) {
	var r handoverRoom
	for range minHandoverRoom {
		require.True(t, r.enter(0, int64(r.requests+1)))
	}
	require.False(t, r.enter(0, int64(r.requests+1)), "no more than the least room")
	require.True(t, r.enter(0, int64(r.requests+1+minHandoverRoom)), "as many as there are requests of own clients")
	require.False(t, r.enter(maxHandoverBytes+1, 1000))
	for range minHandoverRoom {
		r.leave(0)
	}
	require.True(t, r.enter(maxHandoverBytes, 1000))
	require.False(t, r.enter(1, 1000))
}

func TestParseHandoverReasons(t *testing.T) {
	for reason, otherMay := range map[string]bool{reasonStopping: true, reasonTargetsLost: true, reasonHelperFull: true, reasonUnreachable: true,
		reasonConfigOutdated: true, "targets-full": false, "": false} {
		_, ok := helperPause(reason)
		require.Equal(t, otherMay, ok, reason)
	}
}
