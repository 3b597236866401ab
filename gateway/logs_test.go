package gateway

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/fleet"
)

// viewOf returns the view of an instance that knows count other instances of its region, and has received
// heartbeats of the first heard of them.
func viewOf(now time.Time, count, heard int) *fleet.View {
	view := fleet.NewView(fleet.Member{Name: "n0", Hall: "a1", Region: "a"}, fleet.SequenceAt(now), fleet.DefaultSettings)
	var beats fleet.Heartbeats
	for i := range count {
		name := fmt.Sprintf("n%d", i+1)
		view.Add(fleet.Member{Name: name, Hall: "a1", Region: "a"})
		if i < heard {
			beats = append(beats, fleet.Heartbeat{Member: fleet.IDOf(name), Sequence: fleet.SequenceAt(now), Flags: fleet.Ready})
		}
	}
	view.MergeHeartbeats(now, beats)
	return view
}

// TestMemberLogLines checks that a few state changes of members are logged in a line each, many changes in
// one line, and members of unknown state not at all.
func TestMemberLogLines(t *testing.T) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	cases := []struct {
		name         string
		count, heard int
		lines        int
		want         string
	}{
		{"few", 50, maxMemberLines, maxMemberLines, `"msg":"member","member":"n1","hall":"a1","state":"alive"`},
		{"many", 300, 300, 1, `"msg":"members","changes":300,"alive":300,"suspect":0,"leaving":0`},
		{"unknown", 300, 0, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			g := &Gateway{log: slog.New(slog.NewJSONHandler(&out, nil)), view: viewOf(now, c.count, c.heard)}
			g.logMemberChanges(now, false)
			require.Equal(t, c.lines, strings.Count(out.String(), "\n"), out.String())
			require.Contains(t, out.String(), c.want)
			out.Reset()
			g.logMemberChanges(now, false)
			require.Empty(t, out.String(), "logged changes are not logged again")
			g.logMemberChanges(now.Add(time.Minute), false)
			require.Equal(t, c.lines, strings.Count(out.String(), `"level":"WARN"`), "all members with heartbeats are suspected after a minute without any")
		})
	}
}

// TestTargetEventLogLines checks that events of many targets at the same time, as when new ones join, are
// logged in one line with their number.
func TestTargetEventLogLines(t *testing.T) {
	var out bytes.Buffer
	config := Config{Name: "n0", Hall: "a1", Region: "a", RegionOf: map[string]string{"a1": "a"}, Log: slog.New(slog.NewJSONHandler(&out, nil))}
	ps := newPools(config, new(departures).all, new(targetLimits).all, nil)
	specs := make(map[string]*catalog.Target)
	for i := range 300 {
		name := fmt.Sprint("t", i)
		specs[name] = &catalog.Target{ID: name, Service: "s", Hall: "a1", Slots: 9, RemainingWarmup: 3 * time.Second}
	}
	ps.setTargets(time.Now(), specs, nil)
	require.Equal(t, 1, strings.Count(out.String(), "\n"), out.String())
	require.Contains(t, out.String(), `"msg":"target beliefs","changes":300,"beliefs":{"cold":300}`)
}
