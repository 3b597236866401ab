package seat_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/seat"
)

var timing = seat.DefaultTiming

// simulatedHall is a hall of agents. The test controls which agents can reach each other
// and the platform.
type simulatedHall struct {
	t       *testing.T
	now     time.Time
	agents  map[string]*seat.Agent
	order   []string
	roster  *seat.Roster
	version int64
	// Agents in platformDown cannot reach the platform. Pairs in disconnected do not
	// receive each other's heartbeats.
	platformDown map[string]bool
	disconnected map[string]bool
}

func newSimulatedHall(t *testing.T, ids ...string) *simulatedHall {
	s := &simulatedHall{t: t, now: time.Unix(1000, 0), agents: map[string]*seat.Agent{}, platformDown: map[string]bool{}, disconnected: map[string]bool{}}
	for _, id := range ids {
		s.add(id, id)
	}
	s.run(30 * time.Second)
	for _, id := range ids {
		require.InDelta(t, seat.Count/len(ids), s.held(id), 1)
	}
	return s
}

func (s *simulatedHall) add(id, addr string) {
	s.agents[id] = seat.NewAgent(id, addr, "hall", timing)
	s.order = append(s.order, id)
}

// cut disconnects an agent from all others.
func (s *simulatedHall) cut(id string) {
	for _, other := range s.order {
		s.disconnected[id+other], s.disconnected[other+id] = true, true
	}
}

func (s *simulatedHall) kill(id string) {
	delete(s.agents, id)
	for i, other := range s.order {
		if other == id {
			s.order = append(s.order[:i:i], s.order[i+1:]...)
		}
	}
}

func (s *simulatedHall) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(500 * time.Millisecond) {
		for _, id := range s.order {
			s.round(id)
		}
		s.requireExclusive()
	}
}

func (s *simulatedHall) round(id string) {
	a := s.agents[id]
	if !s.platformDown[id] {
		if s.version == 0 {
			a.ObserveNoRoster()
		} else {
			a.ObserveRoster(s.now, s.roster, s.version)
		}
	}
	a.BeginRound(s.now)
	a.Tick(s.now, time.Time{})
	for _, other := range s.order {
		if other != id && !s.disconnected[id+other] {
			s.agents[other].HandleHeartbeat(s.now, id, a.Heartbeat(s.now, other))
		}
	}
	w := a.Propose(s.now)
	switch {
	case w == nil:
	case s.platformDown[id] || w.Version != s.version:
		a.WriteFailed(w)
	default:
		s.version++
		s.roster = w.Roster
		a.ObserveRoster(s.now, w.Roster, s.version)
	}
}

// requireExclusive checks that no seat is held by two agents.
func (s *simulatedHall) requireExclusive() {
	holder := make(map[int]string)
	for _, id := range s.order {
		for _, n := range s.agents[id].Held(s.now) {
			require.Empty(s.t, holder[n], "seat %d is also held by %s", n, id)
			holder[n] = id
		}
	}
}

func (s *simulatedHall) held(id string) int { return len(s.agents[id].Held(s.now)) }

// The following tests cover the cases of the table "Who may use which units" in
// docs/DESIGN.md.

func TestPlatformDown(t *testing.T) {
	s := newSimulatedHall(t, "a", "b", "c")
	for _, id := range s.order {
		s.platformDown[id] = true
	}
	s.run(10 * time.Minute)
	for _, id := range s.order {
		require.Positive(t, s.held(id), "all peers are connected, so their peer leases continue")
	}
	s.run(timing.MaxOffline)
	require.Zero(t, s.held("a"), "no peer lease continues after MaxOffline")
}

func TestPlatformDownAndInstanceDead(t *testing.T) {
	s := newSimulatedHall(t, "a", "b")
	s.platformDown["a"], s.platformDown["b"] = true, true
	s.run(time.Minute)
	s.kill("b")
	s.run(timing.PlatformLease + timing.PeerLease)
	require.Zero(t, s.held("a"), "b may be alive and able to reach the platform")
	s.platformDown["a"] = false
	s.run(30 * time.Second)
	require.Equal(t, seat.Count, s.held("a"))
}

func TestSingleInstanceKeepsSeatsOffline(t *testing.T) {
	s := newSimulatedHall(t, "a")
	s.platformDown["a"] = true
	s.run(timing.MaxOffline - time.Minute)
	require.Equal(t, seat.Count, s.held("a"))
}

func TestInstanceCutFromAll(t *testing.T) {
	s := newSimulatedHall(t, "a", "b", "c")
	s.platformDown["a"] = true
	s.cut("a")
	s.run(timing.PlatformLease + time.Second)
	require.Zero(t, s.held("a"))
	s.run(30 * time.Second)
	require.Equal(t, seat.Count, s.held("b")+s.held("c"), "the others take over its seats")
}

func TestInstanceCutFromPlatformOnly(t *testing.T) {
	s := newSimulatedHall(t, "a", "b", "c")
	s.platformDown["a"] = true
	s.run(10 * time.Minute)
	require.Positive(t, s.held("a"), "its peers renew its lease")
}

func TestInstanceCutFromPeersOnly(t *testing.T) {
	s := newSimulatedHall(t, "a", "b", "c")
	s.cut("a")
	s.run(10 * time.Minute)
	require.Positive(t, s.held("a"), "it renews its own lease")
	require.Positive(t, s.held("b"))
}

// TestJoinerWaitsForAck checks that an instance that joins waits for MaxOffline if the
// other members cannot learn of it, because they are cut off from the platform and from
// the new instance.
func TestJoinerWaitsForAck(t *testing.T) {
	s := newSimulatedHall(t, "a", "b")
	s.platformDown["a"], s.platformDown["b"] = true, true
	s.add("j", "j")
	s.cut("j")
	s.run(10 * time.Minute)
	require.Zero(t, s.held("j"), "it cannot know that a and b have stopped using their seats")
	require.Equal(t, seat.Count, s.held("a")+s.held("b"), "their peer leases continue")
	s.run(timing.MaxOffline + time.Hour)
	require.Equal(t, seat.Count, s.held("j"), "the peer leases of a and b ended at MaxOffline")
}

// TestJoinerOnSameAddress checks that an instance takes over the seats of the hall's only
// member, which has crashed, if it starts on the same address.
func TestJoinerOnSameAddress(t *testing.T) {
	s := newSimulatedHall(t, "a")
	s.kill("a")
	s.add("a2", "a")
	s.run(30 * time.Second)
	require.Equal(t, seat.Count, s.held("a2"))
}

// TestNoEchoDuringTakeover checks that a member gets no echo while a write with uncertain
// outcome takes over its seats. An echo would renew its peer lease.
func TestNoEchoDuringTakeover(t *testing.T) {
	s := newSimulatedHall(t, "a", "b")
	s.platformDown["a"] = true
	s.cut("a")
	s.run(timing.PlatformLease)
	b := s.agents["b"]
	var w *seat.Write
	for w == nil || len(w.Roster.Members) == 2 {
		s.now = s.now.Add(500 * time.Millisecond)
		if w != nil {
			s.version++
			s.roster = w.Roster
			b.ObserveRoster(s.now, w.Roster, s.version)
		}
		b.BeginRound(s.now)
		w = b.Propose(s.now)
		require.Less(t, s.now.Unix(), int64(1200), "b does not take over")
	}
	b.WriteUncertain(w)
	a := s.agents["a"]
	a.BeginRound(s.now)
	b.HandleHeartbeat(s.now, "a", a.Heartbeat(s.now, "b"))
	require.Zero(t, b.Heartbeat(s.now, "a").Echo, "the write may still take effect")
	a.HandleHeartbeat(s.now, "b", b.Heartbeat(s.now, "a"))
	require.Zero(t, s.held("a"))
	b.ObserveRoster(s.now, s.roster.Clone(), s.version+1)
	require.NotZero(t, b.Heartbeat(s.now, "a").Echo, "a later version shows that the write did not take effect")
}

// TestPlannedStop checks that the seats of a leaving instance are reassigned before its
// lease ends.
func TestPlannedStop(t *testing.T) {
	s := newSimulatedHall(t, "a", "b")
	s.agents["a"].Leave()
	began := s.now
	for !s.agents["a"].Left() {
		s.run(500 * time.Millisecond)
		require.Less(t, s.now.Sub(began), time.Minute)
	}
	t.Logf("seats released after %s", s.now.Sub(began))
	require.Less(t, s.now.Sub(began), timing.PlatformLease)
	s.run(2 * time.Second)
	require.Equal(t, seat.Count, s.held("b"))
	_, member := s.roster.Member("a")
	require.False(t, member)
}

// TestNonexistentSeatsAreIgnored checks heartbeats that release seats that do not exist.
func TestNonexistentSeatsAreIgnored(t *testing.T) {
	s := newSimulatedHall(t, "a", "b")
	bad := seat.Heartbeat{Seq: 1 << 30, Released: []seat.SeatTerm{{Seat: -1}, {Seat: seat.Count}, {Seat: 1 << 40}}}
	s.agents["a"].HandleHeartbeat(s.now, "b", bad)
	s.agents["a"].HandleHeartbeat(s.now, "stranger", bad)
	require.NotPanics(t, func() { s.run(10 * time.Second) })
}

func TestCleared(t *testing.T) {
	s := newSimulatedHall(t, "a", "b")
	free := s.roster.Cleared()
	require.Empty(t, free.Members)
	for i := range free.Seats {
		require.Empty(t, free.Seats[i].Holder)
		require.Greater(t, free.Seats[i].Term, s.roster.Seats[i].Term)
	}
}

// fullRoster returns a roster of n members that hold all seats.
func fullRoster(n int) *seat.Roster {
	r := &seat.Roster{Hall: "accra-1", Epoch: int64(n)}
	for i := range n {
		r.Members = append(r.Members, seat.Member{ID: fmt.Sprintf("accra-1-%03d-0a1b2c3d", i), Addr: "10.20.30.40:7302", Joined: int64(i + 1), Acked: int64(n), Renewal: 1 << 20})
	}
	for i := range seat.Count {
		r.Seats = append(r.Seats, seat.Seat{Holder: r.Members[i%n].ID, Term: 2})
	}
	return r
}

// BenchmarkPropose measures a write of the writer and the processing of its result.
func BenchmarkPropose(b *testing.B) {
	for _, n := range []int{2, 12, 38} {
		b.Run(fmt.Sprintf("members%d", n), func(b *testing.B) {
			now := time.Unix(0, 0)
			roster := fullRoster(n)
			raw, err := json.Marshal(roster)
			require.NoError(b, err)
			a := seat.NewAgent(roster.Members[0].ID, "a", "accra-1", timing)
			a.ObserveRoster(now, roster, 1)
			version := int64(1)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(timing.RenewInterval)
				a.BeginRound(now)
				for _, m := range roster.Members[1:] {
					a.HandleHeartbeat(now, m.ID, seat.Heartbeat{Seq: uint64(version), Epoch: int64(n)})
				}
				w := a.Propose(now)
				version++
				a.ObserveRoster(now, w.Roster, version)
			}
			b.ReportMetric(float64(len(raw)), "json-B")
		})
	}
}

func ExampleAgent() {
	now := time.Unix(0, 0)
	a := seat.NewAgent("a", "127.0.0.1:1", "hall", seat.DefaultTiming)
	a.ObserveNoRoster()
	a.BeginRound(now)
	w := a.Propose(now)
	a.ObserveRoster(now, w.Roster, 1)
	fmt.Println(len(a.Held(now)), "seats until", a.LeaseEnd().Sub(now) >= seat.DefaultTiming.PlatformLease)
	fmt.Println(len(a.Held(a.LeaseEnd())), "after")
	// Output:
	// 64 seats until true
	// 0 after
}
