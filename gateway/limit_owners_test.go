package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/ratelimit"
)

// ownersWorld is the part of an instance that issues permits, among others in one hall.
type ownersWorld struct {
	owner      *limitOwner
	config     Config
	registered map[string]fleet.Member
	now        time.Time
}

func newOwnersWorld(self string, instances int) *ownersWorld {
	w := &ownersWorld{now: time.Unix(1000, 0), registered: make(map[string]fleet.Member)}
	w.config = Config{Name: self, Hall: "a1", Region: "a", RegionOf: map[string]string{"a1": "a"}, Clock: clock.Real()}
	for i := range instances {
		m := fleet.Member{Name: fmt.Sprint("n", i), Hall: "a1", Region: "a", PeerAddr: fmt.Sprint("10.0.0.", i, ":1")}
		w.registered[m.Name] = m
	}
	w.owner = newLimitOwner(w.config, nil, w.now, &targetLimits{})
	return w
}

// review tells of the states of others, Alive for those not named.
func (w *ownersWorld) review(states map[string]fleet.State) *ratelimit.Owners {
	var all []fleet.Status
	for name, m := range w.registered {
		state, ok := states[name]
		if !ok {
			state = fleet.Alive
		}
		if name != w.config.Name {
			all = append(all, fleet.Status{Member: m, State: state})
		}
	}
	owners, _ := w.owner.review(w.now, w.config, w.registered, all)
	return owners
}

// ownerOf returns the owner of some target's permits.
func ownerOf(o *ratelimit.Owners) string { return o.Of(ratelimit.HallLimitName("a1", "t"))[0].Name }

// TestSuspectedOwnerStays checks that an owner that is suspected for a moment stays one, and that
// one that is suspected for longer, or says that it stops, does not, until it is back.
func TestSuspectedOwnerStays(t *testing.T) {
	first := ownerOf(newOwnersWorld("x", 4).review(nil))
	self := "n0"
	if first == self {
		self = "n1"
	}
	for _, c := range []struct {
		state fleet.State
		after time.Duration
		stays bool
	}{
		{fleet.Suspect, 0, true},
		{fleet.Suspect, awayAfter - time.Millisecond, true},
		{fleet.Suspect, awayAfter, false},
		{fleet.Unknown, time.Minute, true},
		{fleet.Stopping, 0, false},
	} {
		w := newOwnersWorld(self, 4)
		require.Equal(t, first, ownerOf(w.review(nil)))
		away := map[string]fleet.State{first: c.state}
		changed := w.review(away)
		w.now = w.now.Add(c.after)
		if later := w.review(away); later != nil {
			changed = later
		}
		if c.stays {
			require.Nil(t, changed, "%+v", c)
			continue
		}
		require.NotEqual(t, first, ownerOf(changed), "%+v", c)
		require.Equal(t, first, ownerOf(w.review(nil)), "it is back")
	}
}

// TestCutOffOwnerIssuesLess checks that an instance that knows half of the others or fewer to be
// alive issues so much less that what both sides of a cut issue stays within what targets bear.
func TestCutOffOwnerIssuesLess(t *testing.T) {
	const perSecond = 10
	w := newOwnersWorld("n0", 4)
	w.review(map[string]fleet.State{"n1": fleet.Suspect})
	require.Equal(t, float64(perSecond), w.owner.rate(perSecond).Rate, "three of four are alive")
	w.review(map[string]fleet.State{"n1": fleet.Suspect, "n2": fleet.Suspect})
	cutOff := w.owner.rate(perSecond).Rate
	require.Less(t, cutOff, float64(perSecond))
	both := ratelimit.HallBound.MaxRequests(ratelimit.Limit{Rate: perSecond}) + ratelimit.HallBound.MaxRequests(ratelimit.Limit{Rate: cutOff})
	require.LessOrEqual(t, both, 1.5*perSecond*ratelimit.HallBound.Window.Seconds()+5)
	w.review(nil)
	require.Equal(t, float64(perSecond), w.owner.rate(perSecond).Rate)
}

// TestNothingIsLessThanNowAndThen checks that a target that names next to nothing gets a request
// now and then, by which it can say that it takes more.
func TestNothingIsLessThanNowAndThen(t *testing.T) {
	w := newOwnersWorld("n0", 1)
	w.review(nil)
	require.Equal(t, leastLimit, w.owner.rate(0).Rate)
	window := ratelimit.HallBound.Window.Seconds()
	require.LessOrEqual(t, ratelimit.HallBound.MaxRequests(w.owner.rate(0)), 1.5*0*window+5)
}

// TestTargetOfPermits checks that the target is found by the name of its permits.
func TestTargetOfPermits(t *testing.T) {
	require.Equal(t, availability.IDOf("i-1#2"), targetOf(ratelimit.HallLimitName("a1", "i-1#2")))
}
