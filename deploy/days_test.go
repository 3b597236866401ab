package deploy_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/require"
)

// day is a simulated day of operation, read from a file in days. Its fields have the format that
// the users define for their own days.
type day struct {
	Name    string   `toml:"name"`
	Slot    string   `toml:"slot"`
	Closing *closing `toml:"closing"`
	Plan    []event  `toml:"plan"`
	Faults  []event  `toml:"faults"`
}

// closing is the disruption at the end of a day.
type closing struct {
	Kind  string  `toml:"kind"`
	DownS float64 `toml:"down_s"`
	How   string  `toml:"how"`
}

// event is a planned operation or a disruption. At, ForS and GapS are in seconds.
type event struct {
	At      float64 `toml:"at"`
	Kind    string  `toml:"kind"`
	On      string  `toml:"on"`
	How     string  `toml:"how"`
	ForS    float64 `toml:"for_s"`
	GapS    float64 `toml:"gap_s"`
	Share   float64 `toml:"share"`
	Count   int     `toml:"count"`
	X       float64 `toml:"x"`
	Zone    string  `toml:"zone"`
	ToZone  string  `toml:"to_zone"`
	Region  string  `toml:"region"`
	Service string  `toml:"service"`
	Class   string  `toml:"class"`
}

// dayLength is the period at the beginning of a day, in seconds, in which its events start.
const dayLength = 30

// usersDays lists the days that are verbatim copies from the users. They contain the names of the
// request classes of one site.
var usersDays = map[string]bool{"deadly": true}

// minDays is the smallest number of files that days must contain.
const minDays = 12

// TestDays checks that the files of the days have known fields only and valid events. Days that
// are not copies from the users must also begin with two comment lines, which describe the day and
// the failure that it guards against, and must not contain names of a site.
func TestDays(t *testing.T) {
	files, err := filepath.Glob("days/*.toml")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), minDays)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			raw, err := os.ReadFile(file)
			require.NoError(t, err)
			var d day
			meta, err := toml.Decode(string(raw), &d)
			require.NoError(t, err)
			require.Empty(t, meta.Undecoded())
			require.Equal(t, strings.TrimSuffix(filepath.Base(file), ".toml"), d.Name)
			require.NotEmpty(t, d.Faults)
			for _, e := range append(d.Plan, d.Faults...) {
				e.check(t)
			}
			if !usersDays[d.Name] {
				d.checkOwn(t, string(raw))
			}
		})
	}
}

// checkOwn checks a day that is not a copy from the users: it must begin with its two comment lines
// and refer to places only by placeholders, so that it applies to any site.
func (d day) checkOwn(t *testing.T, text string) {
	lines := strings.SplitN(text, "\n", 3)
	require.True(t, strings.HasPrefix(lines[0], "# "))
	require.True(t, strings.HasPrefix(lines[1], "# Guards "))
	require.Contains(t, []string{"quiet", "trouble", "scale"}, d.Slot)
	for _, e := range append(d.Plan, d.Faults...) {
		for _, place := range []string{e.Zone, e.ToZone, e.Region, e.Service, e.Class} {
			require.True(t, place == "" || strings.HasPrefix(place, "@"), "event %s: %s is the name of a site, not a placeholder", e.Kind, place)
		}
	}
}

// check checks that an event has a kind, starts within dayLength and has a valid share.
func (e event) check(t *testing.T) {
	require.NotEmpty(t, e.Kind)
	require.Positive(t, e.At)
	require.Less(t, e.At, float64(dayLength))
	require.LessOrEqual(t, e.Share, 1.0)
}
