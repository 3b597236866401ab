package gateway

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
)

// newsModel simulates how a change of the targets spreads by gossip and delta requests alone, as while nobody
// pushes it. Gossip and its replies take a millisecond within a region and 35 ms between regions, and one message
// in fifty is lost.
type newsModel struct {
	rng     *rand.Rand
	now     time.Time
	events  eventQueue
	members []fleet.Member
	index   map[string]int
	views   []*fleet.View
	catchUp []feed.CatchUp
	// at are the positions of the replicas, and pushedAt when they were reached, zero if by a request. silent
	// instances are heard and don't answer.
	at       []feed.Position
	pushedAt []time.Time
	silent   map[int]bool
	// scheduled are the instances that will look whether a request is due.
	scheduled map[int]bool
}

// newsEvent is something that happens at a time.
type newsEvent struct {
	at time.Time
	do func()
}

type eventQueue []newsEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(newsEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newNewsModel(members, regions int, seed uint64) *newsModel {
	m := &newsModel{rng: rand.New(rand.NewPCG(seed, 7)), now: time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC), index: make(map[string]int), silent: make(map[int]bool), scheduled: make(map[int]bool)}
	for i := range members {
		name := fmt.Sprintf("n%03d", i)
		m.members = append(m.members, fleet.Member{Name: name, Hall: fmt.Sprint("h", i%(2*regions)), Region: fmt.Sprint("r", i%regions), FrontAddr: name, PeerAddr: name})
		m.index[name] = i
	}
	for _, member := range m.members {
		view := fleet.NewView(member, 1, fleet.DefaultSettings)
		view.Add(m.members...)
		m.views = append(m.views, view)
	}
	m.catchUp, m.at = make([]feed.CatchUp, members), make([]feed.Position, members)
	m.pushedAt = make([]time.Time, members)
	for i := range m.members {
		m.at[i] = feed.At(0, 1)
		m.after(time.Duration(m.rng.Int64N(int64(fleet.RoundTime))), func() { m.gossip(i) })
	}
	return m
}

func (m *newsModel) after(d time.Duration, do func()) {
	heap.Push(&m.events, newsEvent{m.now.Add(d), do})
}

// runUntil runs all events up to a time.
func (m *newsModel) runUntil(end time.Time) {
	for len(m.events) > 0 && m.events[0].at.Before(end) {
		e := heap.Pop(&m.events).(newsEvent)
		m.now = e.at
		e.do()
	}
	m.now = end
}

// send delivers a message from one instance to another, unless it is lost.
func (m *newsModel) send(from, to int, deliver func()) {
	delay := time.Millisecond
	if m.members[from].Region != m.members[to].Region {
		delay = 35 * time.Millisecond
	}
	if m.rng.IntN(50) > 0 {
		m.after(delay, deliver)
	}
}

func (m *newsModel) gossip(i int) {
	view := m.views[i]
	flags := fleet.Ready
	if view.ShouldWatch(m.now) {
		flags |= fleet.Watching
	}
	view.SetFlags(flags)
	view.AdvanceHeartbeat(m.now)
	for _, partner := range view.Partners(m.now, m.rng) {
		to, heartbeats, at := m.index[partner.Name], view.HeartbeatsFor(m.now, partner.Region), m.at[i]
		fresh := m.now.Sub(m.pushedAt[i]) < pushTime(partner.Region == m.members[i].Region)
		m.send(i, to, func() { m.receive(to, i, heartbeats, at, fresh) })
	}
	m.after(fleet.RoundTime, func() { m.gossip(i) })
}

func (m *newsModel) receive(i, from int, heartbeats fleet.Heartbeats, at feed.Position, fresh bool) {
	m.views[i].MergeHeartbeats(m.now, heartbeats)
	delay := time.Duration(0)
	if fresh {
		delay = pushTime(m.members[i].Region == m.members[from].Region)
	}
	m.catchUp[i].AddSource(m.now, m.at[i], feed.Source{Addr: m.members[from].Name, Position: at, Delay: delay})
	m.request(i)
}

// request sends a request for the missing changes when one is due.
func (m *newsModel) request(i int) {
	addr, ok := m.catchUp[i].NextRequest(m.now, m.at[i])
	if ok {
		asked := m.index[addr]
		m.send(i, asked, func() { m.answer(asked, i) })
	}
	wait, behind := m.catchUp[i].NextDue(m.now, m.at[i])
	if behind && !m.scheduled[i] {
		m.scheduled[i] = true
		m.after(wait, func() {
			m.scheduled[i] = false
			m.request(i)
		})
	}
}

func (m *newsModel) answer(i, to int) {
	if m.silent[i] {
		return
	}
	at := m.at[i]
	m.send(i, to, func() {
		m.at[to] = feed.Later(m.at[to], at)
		m.catchUp[to].Received()
	})
}

// TestChangesSpreadWithoutPushes checks how long it takes until all instances have a change that nobody pushes, in
// fleets of the sites and with silent instances. The bound is the shortest time for which a target that is leaving
// still serves, 2.5 s.
func TestChangesSpreadWithoutPushes(t *testing.T) {
	const bound = 2500 * time.Millisecond
	for _, c := range []struct {
		members, regions, silent int
		// pushed is the number of regions in which the change is pushed.
		pushed int
	}{{88, 3, 0, 2}, {88, 3, 0, 0}, {88, 3, 8, 2}, {88, 3, 8, 0}, {26, 3, 2, 2}, {26, 3, 2, 0}, {29, 1, 0, 0}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			worst := time.Duration(0)
			for seed := range uint64(20) {
				worst = max(worst, spreadTime(newNewsModel(c.members, c.regions, seed), c.regions, c.pushed, c.silent))
			}
			t.Logf("all instances have the change after %v at most", worst)
			require.Less(t, worst, bound)
		})
	}
}

// spreadTime returns how long it takes until all instances that are not silent have a change that the second
// watcher of each region knows at first, and all instances of the regions in which it is pushed.
func spreadTime(m *newsModel, regions, pushed, silent int) time.Duration {
	m.runUntil(m.now.Add(8 * time.Second))
	for range silent {
		m.silent[regions*2+m.rng.IntN(len(m.members)-regions*2)] = true
	}
	for i := range m.members {
		if i%regions >= regions-pushed || i/regions == 1 {
			m.at[i], m.pushedAt[i] = feed.At(0, 2), m.now
		}
	}
	began := m.now
	for m.now.Sub(began) < 20*time.Second {
		m.runUntil(m.now.Add(10 * time.Millisecond))
		missing := 0
		for i, at := range m.at {
			if at == feed.At(0, 1) && !m.silent[i] {
				missing++
			}
		}
		if missing == 0 {
			break
		}
	}
	return m.now.Sub(began)
}
