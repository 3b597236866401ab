package feed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/feed"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

const (
	requestInterval = 300 * time.Millisecond
	gossipRound     = 500 * time.Millisecond
)

// TestCatchUp checks which source a replica at revision 10 asks after a sequence of events.
// Each event happens at a time in milliseconds. It is the announcement of a source, a delta
// of a source that leaves a gap (gap), or the arrival of changes up to a revision
// (reached).
func TestCatchUp(t *testing.T) {
	type event struct {
		at      int
		from    string
		claims  int64
		after   int
		gap     bool
		reached int64
		asks    string
	}
	cases := []struct {
		name   string
		events []event
	}{
		{"a source without a delay is asked at once", []event{{at: 0, from: "a", claims: 11, asks: "a"}}},
		{"a source that is not ahead is not asked", []event{{at: 0, from: "a", claims: 10}}},
		{"a source is asked after its delay", []event{
			{at: 0, from: "a", claims: 11, after: 700},
			{at: 500, from: "a", claims: 11, after: 700},
			{at: 1000, from: "a", claims: 11, after: 700, asks: "a"},
		}},
		{"no request after the changes have arrived", []event{
			{at: 0, from: "a", claims: 11, after: 700},
			{at: 100, reached: 11},
			{at: 1000, from: "a", claims: 11, after: 700},
		}},
		{"the delay starts again for later changes", []event{
			{at: 0, from: "a", claims: 11, after: 700},
			{at: 100, reached: 11},
			{at: 1000, from: "a", claims: 12, after: 700},
			{at: 1500, from: "a", claims: 12, after: 700},
			{at: 2000, from: "a", claims: 12, after: 700, asks: "a"},
		}},
		{"after a gap the sender is asked at once", []event{
			{at: 0, from: "b", claims: 13, after: 700},
			{at: 100, from: "a", claims: 13, gap: true, asks: "a"},
		}},
		{"a distant source has a longer delay", []event{
			{at: 0, from: "far", claims: 11, after: 1400},
			{at: 200, from: "near", claims: 11, after: 700},
			{at: 800, from: "far", claims: 11, after: 1400, asks: "near"},
		}},
		{"another source is asked if there is no reply, then the first one again", []event{
			{at: 0, from: "a", claims: 13, gap: true, asks: "a"},
			{at: 200, from: "b", claims: 13, after: 700},
			{at: 500, from: "a", claims: 13, after: 700, asks: "b"},
			{at: 700, from: "b", claims: 13, after: 700},
			{at: 1000, from: "a", claims: 13, after: 700, asks: "a"},
		}},
		{"the only source is asked again", []event{
			{at: 0, from: "a", claims: 11, asks: "a"},
			{at: 299, from: "a", claims: 11},
			{at: 300, from: "a", claims: 11, asks: "a"},
		}},
		{"an announcement expires, and the delay starts again", []event{
			{at: 0, from: "a", claims: 11, after: 700},
			{at: 3001, from: "b", claims: 11, after: 700},
			{at: 3701, from: "b", claims: 11, after: 700, asks: "b"},
		}},
		{"a reply that brings only some of the changes", []event{
			{at: 0, from: "a", claims: 13, gap: true, asks: "a"},
			{at: 100, reached: 12},
			{at: 350, from: "b", claims: 13, after: 700, asks: "a"},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var catchUp feed.CatchUp
			revision := int64(10)
			for _, e := range c.events {
				now := noon.Add(time.Duration(e.at) * time.Millisecond)
				source := feed.Source{Addr: e.from, Position: feed.At(0, e.claims), Delay: time.Duration(e.after) * time.Millisecond}
				switch {
				case e.reached > 0:
					revision = e.reached
					catchUp.Received()
				case e.gap:
					catchUp.AddSourceAfterGap(now, feed.At(0, revision), source)
				default:
					catchUp.AddSource(now, feed.At(0, revision), source)
				}
				addr, ok := catchUp.NextRequest(now, feed.At(0, revision))
				require.Equal(t, e.asks, addr, "at %d ms", e.at)
				require.Equal(t, e.asks != "", ok)
				if ok {
					question, open := catchUp.Pending()
					require.True(t, open)
					require.Equal(t, feed.Request{To: addr, SentAt: now}, question)
				}
			}
		})
	}
}

// TestCatchUpReachesResponsiveSource guards against a catch-up that keeps asking sources
// that never reply. Several sources announce themselves once per gossip round, each at its
// own time in the round, and some of them never reply. A responsive source must be asked
// within the delay and two rounds, and one more round for each source that never replies.
// Requests must be at least requestInterval apart.
func TestCatchUpReachesResponsiveSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const after = 700 * time.Millisecond
		n := rapid.IntRange(1, 8).Draw(t, "sources")
		silent := rapid.IntRange(0, n-1).Draw(t, "silent")
		phases := make([]time.Duration, n)
		for i := range phases {
			phases[i] = time.Duration(rapid.IntRange(0, int(gossipRound/time.Millisecond)-1).Draw(t, "phase")) * time.Millisecond
		}
		var catchUp feed.CatchUp
		gap := rapid.Bool().Draw(t, "gap")
		if gap {
			catchUp.AddSourceAfterGap(noon, feed.At(0, 1), feed.Source{Addr: "0", Position: feed.At(0, 2)})
			addr, ok := catchUp.NextRequest(noon, feed.At(0, 1))
			require.True(t, ok)
			require.Equal(t, "0", addr)
			if silent == 0 {
				return
			}
		}
		bound := after + gossipRound + time.Duration(silent+1)*gossipRound
		asked := make(map[string]time.Time)
		for at := time.Duration(0); at <= bound; at += time.Millisecond {
			now := noon.Add(at)
			for i, phase := range phases {
				if at%gossipRound != phase {
					continue
				}
				catchUp.AddSource(now, feed.At(0, 1), feed.Source{Addr: fmt.Sprint(i), Position: feed.At(0, 2), Delay: after})
				addr, ok := catchUp.NextRequest(now, feed.At(0, 1))
				if !ok {
					continue
				}
				for _, before := range asked {
					require.GreaterOrEqual(t, now.Sub(before), requestInterval)
				}
				asked[addr] = now
				if addr >= fmt.Sprint(silent) {
					return
				}
			}
		}
		t.Fatalf("only unresponsive sources were asked within %v: %v", bound, asked)
	})
}
