package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/origin"
)

// limitPlay is an oracle with one server that announces a limit, and instances that may pass
// it on.
type limitPlay struct {
	o      *oracle
	server *origin.Server
	from   time.Time
}

func newLimitPlay(script ...float64) *limitPlay {
	p := &limitPlay{o: newOracle(newKeyring()), server: &origin.Server{ID: "i-1", Service: "read", Zone: "a1"}, from: time.Now()}
	p.o.signals.limits["i-1"] = &limited{from: p.from, until: p.from.Add(time.Minute), script: script, announcedAt: p.from.Add(contact + 2*limitSpan), toldBy: make(map[string]notice)}
	return p
}

// tell has an instance pass on an answer with the limit.
func (p *limitPlay) tell(name string) {
	a := p.o.begin(&instance{name: name}, "GET", "/read/1", nil)
	p.o.arrived(origin.Arrival{Server: p.server, At: p.from, Executed: true, Run: origin.Run{ID: a.id, Method: "GET", URI: "/read/1"}})
	p.o.finish(a, result{status: 200, header: http.Header{"Server-Signature": {"sig.i-1"}, limitHeader: {"1"}}, body: " to " + a.id})
}

// send has n requests of an instance reach the server at the given time after its first
// announcement.
func (p *limitPlay) send(name string, n int, after time.Duration) {
	for range n {
		a := p.o.begin(&instance{name: name}, "GET", "/read/1", nil)
		p.o.arrived(origin.Arrival{Server: p.server, At: p.from.Add(after), Executed: true, Run: origin.Run{ID: a.id, Method: "GET", URI: "/read/1"}})
	}
}

// TestLimitIsJudged checks that the oracle counts the requests of several instances together
// once each has passed on the server's limit and the contact time has passed, and that it
// counts no other requests.
func TestLimitIsJudged(t *testing.T) {
	const late = contact + 2*limitSpan
	allowed := int(announcedFactor*limitSpan.Seconds()) + announcedSlack
	for _, c := range []struct {
		name   string
		play   func(p *limitPlay)
		broken int
	}{
		{"one more than allowed together", func(p *limitPlay) { p.send("n1", allowed, late); p.send("n2", 1, late) }, 1},
		{"as many as allowed", func(p *limitPlay) { p.send("n1", allowed-1, late); p.send("n2", 1, late) }, 0},
		{"as many as allowed in each of two windows", func(p *limitPlay) { p.send("n1", allowed, late); p.send("n2", allowed, late+limitSpan) }, 0},
		{"before the contact time has passed", func(p *limitPlay) { p.send("n1", 5*allowed, contact) }, 0},
		{"from an instance that does not know the limit", func(p *limitPlay) { p.send("n3", 5*allowed, late) }, 0},
		{"from an instance that was disturbed since", func(p *limitPlay) {
			p.o.undisturbedSince["n1"] = time.Now().Add(time.Minute)
			p.send("n1", 5*allowed, late)
		}, 0},
		{"from an instance that was restarted since", func(p *limitPlay) { p.o.runs["n1"] = 1; p.send("n1", 5*allowed, late) }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newLimitPlay(1)
			p.tell("n1")
			p.tell("n2")
			c.play(p)
			require.Len(t, p.o.violations, c.broken)
		})
	}
}

// TestHighestLimitCounts checks which of a sequence of limits applies to a window.
func TestHighestLimitCounts(t *testing.T) {
	from := time.Now()
	l := &limited{from: from, until: from.Add(20 * time.Second), script: []float64{20, 4}}
	require.Equal(t, 20.0, l.highest(from.Add(10*time.Second)))
	require.Equal(t, 20.0, l.highest(from.Add(10*time.Second+limitSpan)), "a lowered limit applies after lowerLimitTime, not at once")
	require.Equal(t, 4.0, l.highest(from.Add(10*time.Second+limitSpan+lowerLimitTime+time.Millisecond)))
}
