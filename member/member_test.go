package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/member"
)

var (
	epoch    = time.Unix(1000, 0)
	settings = member.DefaultSettings
)

func instance(id, hall string) member.Instance { return member.Instance{ID: id, Hall: hall} }

func states(v *member.View, now time.Time) map[string]member.State {
	out := make(map[string]member.State)
	for _, s := range v.All(now) {
		out[s.ID] = s.State
	}
	return out
}

// TestView checks how the list, heartbeats and reports about other instances of a hall determine
// the states.
func TestView(t *testing.T) {
	v := member.NewView(instance("me", "h"), settings)
	v.SetList(epoch, []member.Instance{instance("me", "h"), instance("a", "h"), instance("far", "g"), instance("far2", "g")})
	require.Equal(t, map[string]member.State{"a": member.Live, "far": member.Live, "far2": member.Live}, states(v, epoch),
		"new instances count as live until their heartbeats are due, and the own instance is left out")
	later := epoch.Add(settings.SuspectAfter + time.Second)
	require.Equal(t, member.Suspect, states(v, later)["a"])
	v.HandleHeartbeat(later, member.Heartbeat{From: instance("a", "h")})
	v.HandleHeartbeat(later, member.Heartbeat{From: instance("far", "g"), Heard: []string{"far2", "stranger"}})
	require.Equal(t, map[string]member.State{"a": member.Live, "far": member.Live, "far2": member.Live}, states(v, later),
		"a heartbeat reports which other instances of its hall are alive")
	require.Equal(t, []string{"a"}, v.HeardInHall(later))
}

// TestLeavingIsPermanent checks that neither an old heartbeat nor an old list makes a leaving
// instance live again.
func TestLeavingIsPermanent(t *testing.T) {
	v := member.NewView(instance("me", "h"), settings)
	leaving := instance("a", "h")
	leaving.Leaving = true
	v.HandleHeartbeat(epoch, member.Heartbeat{From: instance("a", "h")})
	v.HandleHeartbeat(epoch, member.Heartbeat{From: leaving})
	v.HandleHeartbeat(epoch, member.Heartbeat{From: instance("a", "h")})
	v.SetList(epoch, []member.Instance{instance("a", "h")})
	require.Equal(t, member.Leaving, states(v, epoch)["a"])
	b := instance("b", "h")
	b.Leaving = true
	v.SetList(epoch, []member.Instance{b})
	v.HandleHeartbeat(epoch, member.Heartbeat{From: instance("b", "h")})
	require.Equal(t, member.Leaving, states(v, epoch)["b"], "the list may show first that an instance is leaving")
	v.SetList(epoch, nil)
	v.Forget(epoch.Add(settings.ForgetAfter + time.Second))
	require.Empty(t, v.All(epoch))
}

// TestMarkUnreachable checks that an instance is suspected at once after a failed connection, and
// live again after its next heartbeat.
func TestMarkUnreachable(t *testing.T) {
	v := member.NewView(instance("me", "h"), settings)
	a := instance("a", "h")
	a.PeerAddr = "127.0.0.1:9"
	v.HandleHeartbeat(epoch, member.Heartbeat{From: a})
	v.MarkUnreachable("127.0.0.1:9")
	require.Equal(t, member.Suspect, states(v, epoch)["a"])
	require.Empty(t, v.HeardInHall(epoch))
	v.HandleHeartbeat(epoch, member.Heartbeat{From: a})
	require.Equal(t, member.Live, states(v, epoch)["a"])
}

// TestRecipientsCoverAllInstances checks that each round's heartbeat is sent to the whole own hall,
// and within as many rounds as a hall has instances to each of its instances.
func TestRecipientsCoverAllInstances(t *testing.T) {
	v := member.NewView(instance("me", "h0"), settings)
	var list []member.Instance
	for hall := range 5 {
		for i := range 6 {
			list = append(list, instance(fmt.Sprintf("h%d-%d", hall, i), fmt.Sprintf("h%d", hall)))
		}
	}
	v.SetList(epoch, list)
	// No heartbeat has arrived for a long time. The recipients must not depend on that: instances
	// that suspect each other would otherwise never exchange heartbeats again.
	late := epoch.Add(time.Minute)
	sent := make(map[string]int)
	for round := range uint64(6) {
		recipients := v.Recipients(late, round)
		require.Len(t, recipients, 6+4)
		for _, r := range recipients {
			sent[r.ID]++
		}
	}
	require.Len(t, sent, 30)
	for i := range 6 {
		require.Equal(t, 6, sent[fmt.Sprintf("h0-%d", i)])
	}
}

func BenchmarkViewAll(b *testing.B) {
	for _, n := range []int{12, 100, 730} {
		b.Run(fmt.Sprintf("instances%d", n), func(b *testing.B) {
			v := member.NewView(instance("me", "h"), settings)
			for i := range n {
				v.HandleHeartbeat(epoch, member.Heartbeat{From: instance(fmt.Sprintf("instance-%03d", i), fmt.Sprintf("h%d", i%19))})
			}
			b.ReportAllocs()
			for b.Loop() {
				v.All(epoch)
			}
		})
	}
}

func ExampleView() {
	v := member.NewView(member.Instance{ID: "me", Hall: "accra-1"}, member.DefaultSettings)
	now := time.Unix(0, 0)
	v.HandleHeartbeat(now, member.Heartbeat{From: member.Instance{ID: "other", Hall: "accra-1"}})
	fmt.Println(v.All(now)[0].State)
	fmt.Println(v.All(now.Add(time.Minute))[0].State)
	// Output:
	// live
	// suspect
}
