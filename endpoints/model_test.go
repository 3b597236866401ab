package endpoints_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/endpoints"
)

// deployment returns the instances of halls in a number of regions. The halls have the given sizes;
// the first large instances of each can carry four times as much as the others.
func deployment(regions, large int, sizes ...int) []endpoints.Instance {
	var out []endpoints.Instance
	for i, size := range sizes {
		name := fmt.Sprint(string(rune('a'+i%regions)), i/regions+1)
		out = append(out, hall(name, large, 768)...)
		out = append(out, hall(name, size-large, 192)...)
	}
	return out
}

// modelClient is a client that holds a response for a time and chooses each address with the same
// probability for each connection.
type modelClient struct {
	query endpoints.Query
	addrs []string
	// keeps is how long it holds a response.
	keeps, until time.Duration
}

// clientModel has clients of all halls, each of which asks an instance of its hall.
type clientModel struct {
	instances []endpoints.Instance
	byHall    map[string][]endpoints.Instance
	clients   []*modelClient
	rng       *rand.Rand
	elapsed   time.Duration
	// connections are the connections to each address, made by each hall's clients.
	connections map[string]map[string]int
}

// clientsPerHall is the number of clients of each hall in the model. One in clientsThatKeep holds
// each response for three times its time to live.
const (
	clientsPerHall  = 300
	clientsThatKeep = 4
	modelTTL        = 2 * time.Second
	modelStep       = 100 * time.Millisecond
)

func newClientModel(instances []endpoints.Instance) *clientModel {
	m := &clientModel{instances: instances, byHall: map[string][]endpoints.Instance{}, rng: rand.New(rand.NewPCG(1, 2)), connections: map[string]map[string]int{}}
	for _, in := range instances {
		m.byHall[in.Hall] = append(m.byHall[in.Hall], in)
	}
	for name, in := range m.byHall {
		m.connections[name] = map[string]int{}
		for i := range clientsPerHall {
			c := &modelClient{query: endpoints.Query{Region: in[0].Region, Hall: name}, keeps: modelTTL}
			if i%clientsThatKeep == 0 {
				c.keeps = 3 * modelTTL
			}
			c.until = time.Duration(m.rng.Int64N(int64(c.keeps)))
			m.clients = append(m.clients, c)
		}
	}
	return m
}

// run lets each client make a connection in each step, for the given time.
func (m *clientModel) run(d time.Duration) {
	for end := m.elapsed + d; m.elapsed < end; m.elapsed += modelStep {
		for _, c := range m.clients {
			if c.addrs == nil || m.elapsed >= c.until {
				asked := m.byHall[c.query.Hall][m.rng.IntN(len(m.byHall[c.query.Hall]))]
				state := endpoints.State{Addr: asked.Addr, Hall: asked.Hall}
				// Instances use a response for 200 ms.
				at := start.Add(m.elapsed.Truncate(200 * time.Millisecond))
				c.addrs, c.until = endpoints.Choose(at, c.query, m.instances, state).Addresses, m.elapsed+c.keeps
			}
			m.connections[c.query.Hall][c.addrs[m.rng.IntN(len(c.addrs))]]++
		}
	}
}

// TestConnectionsByCapacity guards against instances of a hall that get much more or less than their
// part, and against clients that go to other halls while nothing fails.
func TestConnectionsByCapacity(t *testing.T) {
	cases := []struct {
		name      string
		instances []endpoints.Instance
	}{
		{"12 alike", deployment(3, 0, 2, 2, 2, 2, 2, 2)},
		{"26 unlike", deployment(3, 1, 5, 4, 5, 4, 4, 4)},
		{"88 unlike", deployment(3, 2, 15, 15, 14, 15, 15, 14)},
		{"one of a hall overloaded", join(overloaded(hall("a1", 1, 192)), hall("a1", 4, 193), hall("a2", 5, 0), hall("b1", 5, 0))},
		{"a hall of 104", deployment(2, 8, 104, 12, 12)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newClientModel(c.instances)
			m.run(32 * time.Second)
			for name, connections := range m.connections {
				all, own, capacity := 0, 0, 0.0
				region := m.byHall[name][0].Region
				otherRegion := 0
				for _, in := range m.instances {
					n := connections[in.Addr]
					all += n
					if in.Hall == name {
						own += n
						capacity += capacityOf(in)
					}
					if in.Region != region {
						otherRegion += n
					}
				}
				require.Less(t, float64(otherRegion), float64(all)/25, "connections to other regions")
				require.Less(t, float64(all-own), float64(all)/10, "connections to other halls")
				for _, in := range m.byHall[name] {
					part := float64(connections[in.Addr]) / float64(own) / (capacityOf(in) / capacity)
					require.InDelta(t, 1.025, part, 0.225, "%s: part of the connections over part of the capacity", in.Addr)
				}
			}
		})
	}
}

// capacityOf returns the capacity of an instance for which its hall's clients should use it.
func capacityOf(in endpoints.Instance) float64 {
	capacity := max(1, float64(in.Capacity))
	if in.Overloaded {
		return capacity / 4
	}
	return capacity
}

// TestLostHallIsDistributed guards against clients of a lost hall that all go to the same few
// instances: their responses name many different spares, by weight.
func TestLostHallIsDistributed(t *testing.T) {
	m := newClientModel(deployment(3, 2, 15, 15, 14, 15, 15, 14))
	m.run(10 * time.Second)
	spares := map[string]int{}
	lost, all := "a1", 0
	for _, c := range m.clients {
		if c.query.Hall != lost {
			continue
		}
		for _, addr := range c.addrs {
			if addr[:2] != lost {
				spares[addr]++
				all++
			}
		}
	}
	require.Equal(t, 2*clientsPerHall, all)
	most := 0
	for _, n := range spares {
		most = max(most, n)
	}
	t.Logf("%d spares, the most used one in %d of %d entries", len(spares), most, all)
	require.Greater(t, len(spares), 30)
	require.Less(t, most, all/8)
}
