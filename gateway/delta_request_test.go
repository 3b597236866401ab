package gateway

import (
	"bytes"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/feed"
	"github.com/rainford/rainford/fleet"
	"github.com/rainford/rainford/peer"
	"github.com/rainford/rainford/upstream"
)

// fakePeer is another instance of the region, whose messages are made up by the test. It records the
// messages that it receives.
type fakePeer struct {
	*inbox
	member    fleet.Member
	heartbeat fleet.Heartbeat
}

func newFakePeer(t *testing.T, name string) *fakePeer {
	in := newInbox(t)
	return &fakePeer{
		inbox:     in,
		member:    fleet.Member{Name: name, Hall: "a1", Region: "a", PeerAddr: in.addr},
		heartbeat: fleet.Heartbeat{Member: fleet.IDOf(name), Sequence: fleet.SequenceAt(time.Now())},
	}
}

// gossip sends an instance gossip with the position of the peer's targets.
func (n *fakePeer) gossip(g *Gateway, targets int64) {
	n.heartbeat.Sequence++
	m := &peer.Gossip{Heartbeats: fleet.Heartbeats{n.heartbeat}, Member: &n.member, Positions: make([]feed.Position, len(kinds)), Reply: true}
	for i, kind := range kinds {
		if kind == KindTargets {
			m.Positions[i] = feed.At(0, targets)
		}
	}
	g.Receive(n.addr, m)
}

// push sends an instance a delta.
func (n *fakePeer) push(t *testing.T, g *Gateway, d feed.Delta) {
	m, err := peer.NewDelta(d)
	require.NoError(t, err)
	g.Receive(n.addr, m)
}

// scrape returns the metrics of an instance that does not run.
func scrape(g *Gateway) string {
	w := httptest.NewRecorder()
	g.metrics.handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

// TestUnansweredDeltaRequestIsReported checks that the log and the metrics report a delta that leaves a gap,
// and the instance that did not answer the delta request for the missing changes.
func TestUnansweredDeltaRequestIsReported(t *testing.T) {
	g := newTestGateway(t)
	var lines bytes.Buffer
	g.log = slog.New(slog.NewJSONHandler(&lines, nil))
	require.True(t, g.applyDelta(feed.Delta{Kind: KindTargets, To: feed.At(0, 10), Full: true, Changes: []feed.Change{change("i-1", false)}}, sourceStore))
	silent := newFakePeer(t, "n0")
	late := feed.Delta{Kind: KindTargets, From: feed.At(0, 12), To: feed.At(0, 13), Changes: []feed.Change{change("i-1", false)}}
	silent.push(t, g, late)
	// The next delta request is sent after a shorter time, if the first one has no reply.
	time.Sleep(fleet.RoundTime)
	silent.push(t, g, late)
	require.Contains(t, lines.String(), `"msg":"delta leaves a gap","kind":"targets","source":"`+silent.addr+`","begins":12,"revision":10`)
	require.Contains(t, lines.String(), `"msg":"question not answered","kind":"targets","asked":"`+silent.addr+`"`)
	text := scrape(g)
	require.Contains(t, text, `result="unanswered"`)
	silent.push(t, g, feed.Delta{Kind: KindTargets, From: feed.At(0, 10), To: feed.At(0, 13), Changes: late.Changes})
	require.Contains(t, scrape(g), `result="answered"`)
}

// leavingChange returns the change by which a target's entry says that the target is leaving.
func leavingChange(name string) feed.Change {
	return feed.Change{Object: feed.Object{Name: name, Value: []byte(leavingValue)}}
}

// lastDeltaRequest returns the last request for targets that the peer has received, or nil.
func (n *fakePeer) lastDeltaRequest() *peer.DeltaRequest {
	var last *peer.DeltaRequest
	for {
		select {
		case m := <-n.messages:
			if request, ok := m.(*peer.DeltaRequest); ok && request.Kind == KindTargets {
				last = request
			}
		default:
			return last
		}
	}
}

// isUsed reports whether a request would be sent to the only target.
func isUsed(t *testing.T, g *Gateway) bool {
	d := g.pools.get("s").acquire(t.Context(), upstream.Request{Key: "k", Deadline: time.Now().Add(10 * time.Millisecond)})
	return d.Action == upstream.Send
}

// TestUnresponsiveSourceDoesNotDelayChanges guards against an instance that does not learn of a change for
// as long as it waits for the reply of an instance that never replies.
func TestUnresponsiveSourceDoesNotDelayChanges(t *testing.T) {
	const (
		// rounds of gossip fit into the 2.5 s within which a departure has to take effect.
		rounds = 5
		// apart is the time from the gossip of one watcher to that of the other.
		apart = 100 * time.Millisecond
	)
	g := newTestGateway(t)
	require.True(t, g.applyDelta(feed.Delta{Kind: KindTargets, To: feed.At(0, 126), Full: true, Changes: []feed.Change{change("i-1", false)}}, sourceStore))
	require.True(t, isUsed(t, g))
	silent, second := newFakePeer(t, "n0"), newFakePeer(t, "n2")
	silent.push(t, g, feed.Delta{Kind: KindTargets, From: feed.At(0, 128), To: feed.At(0, 129), Changes: []feed.Change{leavingChange("i-1")}})
	for range rounds {
		silent.gossip(g, 129)
		time.Sleep(apart)
		second.gossip(g, 129)
		time.Sleep(fleet.RoundTime - apart)
		if request := second.lastDeltaRequest(); request != nil {
			second.push(t, g, feed.Delta{Kind: KindTargets, From: request.Position, To: feed.At(0, 129), Changes: []feed.Change{leavingChange("i-1")}})
			break
		}
	}
	require.False(t, isUsed(t, g), "a leaving target is used while an instance does not answer the delta request")
}

// TestDeltaRequestDelay checks how long an instance that is behind waits for a push or for its own read
// before it sends a delta request.
func TestDeltaRequestDelay(t *testing.T) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	cases := []struct {
		name                 string
		kind                 feed.Kind
		held, local, watches bool
		first, old           bool
		sinceStart, expects  time.Duration
	}{
		{name: "urgent", kind: KindConfig, held: true},
		{name: "own region", kind: KindTargets, held: true, local: true, expects: localPushTime},
		{name: "other region", kind: KindTargets, held: true, expects: remotePushTime},
		{name: "other region, at a watcher", kind: KindTargets, held: true, watches: true, expects: localPushTime},
		{name: "own region, change that was not pushed", kind: KindTargets, held: true, local: true, old: true},
		{name: "other region, change that was not pushed", kind: KindTargets, held: true, old: true},
		{name: "empty replica, other region", kind: KindTargets, old: true, expects: remotePushTime},
		{name: "empty replica, just started", kind: KindTargets, local: true, expects: firstReadTime},
		{name: "empty replica, started long ago", kind: KindTargets, local: true, sinceStart: firstReadTime, expects: 0},
		{name: "empty replica at the first start", kind: KindTargets, local: true, first: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := &Gateway{config: Config{FirstStart: c.first}, startedAt: now.Add(-c.sinceStart), watch: newWatchState()}
			g.watch.setWatching(c.watches)
			require.Equal(t, c.expects, g.requestDelay(now, c.kind, c.held, c.local, !c.old))
		})
	}
}

// nextDelta returns the next delta that the peer receives.
func (n *fakePeer) nextDelta(t *testing.T) feed.Delta {
	for {
		m, ok := n.next(t).(*peer.Delta)
		if !ok {
			continue
		}
		d, err := m.Unpack()
		require.NoError(t, err)
		return d
	}
}

// TestListedChangesArePushed checks that the first watcher of a region pushes the changes that it finds by a
// list, as after the store has lost its history. The first list is not pushed, since every instance reads
// one at its start.
func TestListedChangesArePushed(t *testing.T) {
	g := newTestGateway(t)
	g.watch.setWatching(true)
	other := newFakePeer(t, "n2")
	other.gossip(g, 1)
	whole := feed.Delta{Kind: KindTargets, To: feed.At(0, 1), Full: true, Changes: []feed.Change{change("i-1", false), change("i-2", false)}}
	require.True(t, g.applyDelta(whole, sourceStore))
	digest := g.replicas[KindTargets].Digest()
	whole.To, whole.Changes = feed.At(0, 5), []feed.Change{whole.Changes[0], leavingChange("i-2")}
	require.True(t, g.applyDelta(whole, sourceStore))
	expected := feed.Delta{Kind: KindTargets, From: feed.At(0, 1), To: feed.At(0, 5), Exact: true, Digest: digest, Changes: []feed.Change{leavingChange("i-2")}}
	require.Equal(t, expected, other.nextDelta(t))
}

// TestDeltasReceivedByWatcherArePushed checks that the first watcher of a region also pushes a delta that
// another instance sends before its own watch has returned the changes.
func TestDeltasReceivedByWatcherArePushed(t *testing.T) {
	g := newTestGateway(t)
	g.watch.setWatching(true)
	other, far := newFakePeer(t, "n2"), newFakePeer(t, "far")
	other.gossip(g, 1)
	require.True(t, g.applyDelta(feed.Delta{Kind: KindTargets, To: feed.At(0, 1), Full: true, Changes: []feed.Change{change("i-1", false)}}, sourceStore))
	d := feed.Delta{Kind: KindTargets, From: feed.At(0, 1), To: feed.At(0, 2), Changes: []feed.Change{leavingChange("i-1")}}
	far.push(t, g, d)
	require.Equal(t, d, other.nextDelta(t))
}
