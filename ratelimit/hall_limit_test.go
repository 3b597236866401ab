package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/ratelimit"
)

const (
	limitHall = "a1"
	// maxNoticeDelay is the time within which all instances learn of a change.
	maxNoticeDelay = time.Second
)

var limitName = ratelimit.HallLimitName(limitHall, "t")

// hallSimulation simulates instances of one hall that issue permits of one limit.
type hallSimulation struct {
	issuers   []*ratelimit.Issuer
	instances []ratelimit.Instance
	issued    []time.Time
}

func newHallSimulation(n int, now time.Time) *hallSimulation {
	w := &hallSimulation{}
	for i := range n {
		w.instances = append(w.instances, ratelimit.Instance{Name: fmt.Sprint("n", i), Hall: limitHall, Region: "a"})
	}
	for i := range n {
		w.issuers = append(w.issuers, ratelimit.NewHallIssuer(now.Add(-time.Hour), false))
		w.issuers[i].SetOwners(now.Add(-time.Hour), w.owners(i, nil))
	}
	return w
}

// owners returns the owners from the view of an instance that considers others unavailable.
func (w *hallSimulation) owners(self int, unavailable map[int]bool) *ratelimit.Owners {
	var instances []ratelimit.Instance
	for i, p := range w.instances {
		if !unavailable[i] {
			instances = append(instances, p)
		}
	}
	return ratelimit.NewHallOwners(w.instances[self], map[string]string{limitHall: "a"}, instances)
}

// TestHallLimitHoldsThroughOwnerChanges stops and restarts random instances. The others learn of
// it at different times, and permits are requested from random instances, including ones that
// are not the owner. In any window of HallBound, all instances together must issue at most one
// and a half times the rate times the window, plus five permits.
func TestHallLimitHoldsThroughOwnerChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		n := rapid.IntRange(2, 5).Draw(t, "instances")
		perSecond := float64(rapid.IntRange(1, 80).Draw(t, "limit")) / 2
		limit := ratelimit.Limit{Rate: perSecond, Burst: perSecond / 4}
		w := newHallSimulation(n, now)
		stopped := make(map[int]bool)
		views := make([]map[int]bool, n)
		var changed time.Time
		for range 400 {
			now = now.Add(50 * time.Millisecond)
			if now.Sub(changed) > 4*time.Second && rapid.IntRange(0, 40).Draw(t, "change") == 0 {
				changing := rapid.IntRange(0, n-1).Draw(t, "who")
				stopped[changing] = !stopped[changing]
				changed = now
				if !stopped[changing] {
					// The instance restarts and receives the others' view.
					w.issuers[changing] = ratelimit.NewHallIssuer(now, false)
					views[changing] = nil
				}
			}
			for i := range n {
				delay := time.Duration(i) * maxNoticeDelay / time.Duration(n)
				if stopped[i] || now.Sub(changed) < delay {
					continue
				}
				view := make(map[int]bool)
				for k, is := range stopped {
					if is {
						view[k] = true
					}
				}
				if views[i] == nil || fmt.Sprint(views[i]) != fmt.Sprint(view) {
					views[i] = view
					w.issuers[i].SetOwners(now, w.owners(i, view))
				}
			}
			for range rapid.IntRange(0, 4).Draw(t, "asks") {
				to := rapid.IntRange(0, n-1).Draw(t, "to")
				if stopped[to] || views[to] == nil {
					continue
				}
				reply, loans := w.issuers[to].Issue(now, limitName, limit, ratelimit.IssueRequest{From: "x", N: rapid.IntRange(1, 20).Draw(t, "n")})
				require.Empty(t, loans, "hall limits are not lent")
				for range reply.Grant.N {
					w.issued = append(w.issued, now)
				}
			}
			for i := range n {
				for _, reply := range w.issuers[i].Tick(now) {
					for range reply.Grant.N {
						w.issued = append(w.issued, now)
					}
				}
			}
		}
		window := ratelimit.HallBound.Window
		first := 0
		for i := range w.issued {
			for w.issued[i].Sub(w.issued[first]) >= window {
				first++
			}
			require.LessOrEqual(t, float64(i-first+1), 1.5*perSecond*window.Seconds()+5)
		}
	})
}

// TestHallOwnerIsNearest checks that the owner is an instance of the limit's hall, or of the
// region if the hall has none, or of any region otherwise. It also checks that an instance that
// joins takes over few limits.
func TestHallOwnerIsNearest(t *testing.T) {
	regionOf := map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	instance := func(name, hall string) ratelimit.Instance {
		return ratelimit.Instance{Name: name, Hall: hall, Region: regionOf[hall]}
	}
	self := instance("s", "b1")
	all := []ratelimit.Instance{self, instance("x", "a1"), instance("y", "a2")}
	of := func(instances ...ratelimit.Instance) ratelimit.Owner {
		return ratelimit.NewHallOwners(self, regionOf, instances).Of(limitName)[0]
	}
	require.Equal(t, ratelimit.Owner{Name: "x"}, of(all...))
	require.Equal(t, ratelimit.Owner{Name: "y"}, of(all[0], all[2]))
	require.Equal(t, ratelimit.Owner{Name: "s", SameRegion: true}, of(all[0]))
	moved := 0
	var instances []ratelimit.Instance
	for i := range 10 {
		instances = append(instances, instance(fmt.Sprint("n", i), "a1"))
	}
	for k := range 1000 {
		name := ratelimit.HallLimitName("a1", fmt.Sprint("t", k))
		before := ratelimit.NewHallOwners(self, regionOf, instances[:9]).Of(name)[0]
		after := ratelimit.NewHallOwners(self, regionOf, instances).Of(name)[0]
		if before != after {
			require.Equal(t, "n9", after.Name)
			moved++
		}
	}
	require.InDelta(t, 100, moved, 40)
}

// TestHighRateNeedsFewRequests checks that a limit of thousands of requests per second used by
// 74 instances is enforced and almost fully used, with few permit requests per request.
func TestHighRateNeedsFewRequests(t *testing.T) {
	const (
		perSecond = 4000.0
		instances = 74
		step      = time.Millisecond
		length    = 6 * time.Second
	)
	now := time.Unix(1000, 0)
	w := newHallSimulation(instances, now)
	limit := ratelimit.Limit{Rate: perSecond, Burst: perSecond / 4}
	var holders []*ratelimit.Holder
	for i := range instances {
		h := ratelimit.NewHallHolder(w.instances[i].Name)
		h.SetOwners(w.owners(i, nil))
		holders = append(holders, h)
	}
	indexOf := make(map[string]int)
	for i, instance := range w.instances {
		indexOf[instance.Name] = i
	}
	spent, asked, wanted := 0, 0, 0
	var send func(i int, requests []ratelimit.PermitRequest)
	handleReplies := func(replies ...ratelimit.Reply) {
		for _, r := range replies {
			i := indexOf[r.To]
			_, more := holders[i].HandleReply(now, time.Unix(0, r.At), limitName, w.owners(0, nil).Of(limitName)[0].Name, r.Grant)
			send(i, more)
		}
	}
	send = func(i int, requests []ratelimit.PermitRequest) {
		for _, a := range requests {
			asked++
			reply, _ := w.issuers[indexOf[a.To.Name]].Issue(now, limitName, limit, ratelimit.IssueRequest{From: w.instances[i].Name, At: a.At.UnixNano(), N: a.N})
			handleReplies(reply)
		}
	}
	for ; now.Before(time.Unix(1000, 0).Add(length)); now = now.Add(step) {
		// The instances in turn want four requests a step, which is exactly the rate of the
		// limit: the conversion to int drops the fifth that the factor adds.
		for range int(1.2 * perSecond * step.Seconds()) {
			i := wanted % instances
			wanted++
			_, requests, ok := holders[i].TryAcquire(now, limitName)
			send(i, requests)
			if ok {
				spent++
				continue
			}
			send(i, holders[i].Request(now, limitName))
		}
		for i := range instances {
			handleReplies(w.issuers[i].Tick(now)...)
		}
	}
	t.Logf("%d of %d requests were sent, with %d permit requests", spent, wanted, asked)
	require.LessOrEqual(t, float64(spent), perSecond*length.Seconds()*1.1+2+perSecond/4)
	require.GreaterOrEqual(t, float64(spent), 0.9*perSecond*length.Seconds())
	require.LessOrEqual(t, asked, spent/4)
}
