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
)

// neighbour is another instance of the region in a test: what it says is made up, and
// what it is sent is kept.
type neighbour struct {
	*inbox
	member fleet.Member
	beat   fleet.Beat
}

func newNeighbour(t *testing.T, name string) *neighbour {
	in := newInbox(t)
	return &neighbour{
		inbox:  in,
		member: fleet.Member{Name: name, Hall: "a1", Region: "a", PeerAddr: in.addr},
		beat:   fleet.Beat{Member: fleet.IDOf(name), Number: fleet.NumberAt(time.Now())},
	}
}

// gossip has the neighbour tell an instance how far its targets are.
func (n *neighbour) gossip(g *Gateway, targets int64) {
	n.beat.Number++
	m := &peer.Gossip{Beats: fleet.Beats{n.beat}, Member: &n.member, Revisions: make([]int64, len(kinds)), Reply: true}
	for i, kind := range kinds {
		if kind == KindTargets {
			m.Revisions[i] = targets
		}
	}
	g.Receive(n.addr, m)
}

// push has the neighbour send an instance a delta of targets.
func (n *neighbour) push(t *testing.T, g *Gateway, d feed.Delta) {
	m, err := peer.NewDelta(d)
	require.NoError(t, err)
	g.Receive(n.addr, m)
}

// scrape returns the metrics of a gateway that is not run.
func scrape(g *Gateway) string {
	w := httptest.NewRecorder()
	g.metrics.handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

// TestUnansweredQuestionIsTold checks that the log and the metrics tell of a delta that
// leaves a gap, and of the instance that was asked for what is missing and said nothing.
func TestUnansweredQuestionIsTold(t *testing.T) {
	g := newPlain(t)
	var lines bytes.Buffer
	g.log = slog.New(slog.NewJSONHandler(&lines, nil))
	require.True(t, g.take(feed.Delta{Kind: KindTargets, To: 10, Full: true, Changes: []feed.Change{change("i-1", false)}}, sourceStore))
	silent := newNeighbour(t, "n0")
	late := feed.Delta{Kind: KindTargets, From: 12, To: 13, Changes: []feed.Change{change("i-1", false)}}
	silent.push(t, g, late)
	time.Sleep(askEvery)
	silent.push(t, g, late)
	require.Contains(t, lines.String(), `"msg":"delta leaves a gap","kind":"targets","source":"`+silent.addr+`","begins":12,"revision":10`)
	require.Contains(t, lines.String(), `"msg":"question not answered","kind":"targets","asked":"`+silent.addr+`"`)
	text := scrape(g)
	require.Contains(t, text, `result="unanswered"`)
	silent.push(t, g, feed.Delta{Kind: KindTargets, From: 10, To: 13, Changes: late.Changes})
	require.Contains(t, scrape(g), `result="answered"`)
}
