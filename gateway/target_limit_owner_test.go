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

// ownerTest is the permit issuer of one instance in a hall with several instances.
type ownerTest struct {
	owner      *targetLimitOwner
	config     Config
	registered map[string]fleet.Member
	now        time.Time
}

func newOwnerTest(self string, instances int) *ownerTest {
	w := &ownerTest{now: time.Unix(1000, 0), registered: make(map[string]fleet.Member)}
	w.config = Config{Name: self, Hall: "a1", Region: "a", RegionOf: map[string]string{"a1": "a"}, Clock: clock.Real()}
	for i := range instances {
		m := fleet.Member{Name: fmt.Sprint("n", i), Hall: "a1", Region: "a", PeerAddr: fmt.Sprint("10.0.0.", i, ":1")}
		w.registered[m.Name] = m
	}
	w.owner = newTargetLimitOwner(w.config, nil, w.now, &targetLimits{})
	return w
}

// review updates the owners to the given states of other instances. Instances that are not given
// are alive.
func (w *ownerTest) review(states map[string]fleet.State) *ratelimit.Owners {
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
	owners, _ := w.owner.updateOwners(w.now, w.config, w.registered, all)
	return owners
}

// ownerOf returns the owner of the permits of an arbitrary target.
func ownerOf(o *ratelimit.Owners) string { return o.Of(ratelimit.HallLimitName("a1", "t"))[0].Name }

// TestSuspectedOwnerStays checks that an owner keeps its limits during a short suspicion. During a
// longer suspicion or a planned stop another instance takes over, until the owner is available
// again.
func TestSuspectedOwnerStays(t *testing.T) {
	first := ownerOf(newOwnerTest("x", 4).review(nil))
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
		{fleet.Suspect, ownerFailoverDelay - time.Millisecond, true},
		{fleet.Suspect, ownerFailoverDelay, false},
		{fleet.Unknown, time.Minute, true},
		{fleet.Stopping, 0, false},
	} {
		w := newOwnerTest(self, 4)
		require.Equal(t, first, ownerOf(w.review(nil)))
		states := map[string]fleet.State{first: c.state}
		changed := w.review(states)
		w.now = w.now.Add(c.after)
		if later := w.review(states); later != nil {
			changed = later
		}
		if c.stays {
			require.Nil(t, changed, "%+v", c)
			continue
		}
		require.NotEqual(t, first, ownerOf(changed), "%+v", c)
		require.Equal(t, first, ownerOf(w.review(nil)), "the owner is available again")
	}
}

// TestPartitionedOwnerIssuesLess checks that an instance that considers at most half of the
// instances alive reduces what it issues, so that both sides of a partition together stay within
// what targets tolerate.
func TestPartitionedOwnerIssuesLess(t *testing.T) {
	const perSecond = 10
	w := newOwnerTest("n0", 4)
	w.review(map[string]fleet.State{"n1": fleet.Suspect})
	require.Equal(t, float64(perSecond), w.owner.issuedLimit(perSecond).Rate, "three of four instances are alive")
	w.review(map[string]fleet.State{"n1": fleet.Suspect, "n2": fleet.Suspect})
	cutOff := w.owner.issuedLimit(perSecond).Rate
	require.Less(t, cutOff, float64(perSecond))
	both := ratelimit.HallBound.MaxRequests(ratelimit.Limit{Rate: perSecond}) + ratelimit.HallBound.MaxRequests(ratelimit.Limit{Rate: cutOff})
	require.LessOrEqual(t, both, 1.5*perSecond*ratelimit.HallBound.Window.Seconds()+5)
	w.review(nil)
	require.Equal(t, float64(perSecond), w.owner.issuedLimit(perSecond).Rate)
}

// TestTinyLimitIsRaisedToMinimum checks that a target that announces a limit of zero still gets an
// occasional request, in whose response it can announce a higher limit.
func TestTinyLimitIsRaisedToMinimum(t *testing.T) {
	w := newOwnerTest("n0", 1)
	w.review(nil)
	require.Equal(t, minTargetLimit, w.owner.issuedLimit(0).Rate)
	window := ratelimit.HallBound.Window.Seconds()
	require.LessOrEqual(t, ratelimit.HallBound.MaxRequests(w.owner.issuedLimit(0)), 1.5*0*window+5)
}

// TestTargetOfPermits checks the conversion from the name of a target's permits to the target.
func TestTargetOfPermits(t *testing.T) {
	require.Equal(t, availability.IDOf("i-1#2"), targetOfPermits(ratelimit.HallLimitName("a1", "i-1#2")))
}
