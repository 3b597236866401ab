package deploy_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/require"
)

// day is a day of our own, in the form of the users' pages.
type day struct {
	Name    string   `toml:"name"`
	Slot    string   `toml:"slot"`
	Closing *closing `toml:"closing"`
	Plan    []event  `toml:"plan"`
	Faults  []event  `toml:"faults"`
}

type closing struct {
	Kind  string  `toml:"kind"`
	DownS float64 `toml:"down_s"`
	How   string  `toml:"how"`
}

// event is planned work or a disruption.
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

// dayLength is the number of seconds in which the events of a day begin.
const dayLength = 30

// usersDays are days that the users wrote, word for word. They name a site's kinds of requests.
var usersDays = map[string]bool{"deadly": true}

// minDays is the number of days that are kept at least.
const minDays = 12

// TestDays checks the form of the days: every field is one that days have; and of those of our
// own, that two lines say what each is and guards, and that no site's names are in it.
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

// checkOwn checks what holds for days of our own: that they say what they are, and fit any site.
func (d day) checkOwn(t *testing.T, text string) {
	lines := strings.SplitN(text, "\n", 3)
	require.True(t, strings.HasPrefix(lines[0], "# "))
	require.True(t, strings.HasPrefix(lines[1], "# Guards "))
	require.Contains(t, []string{"quiet", "trouble", "scale"}, d.Slot)
	for _, e := range append(d.Plan, d.Faults...) {
		for _, place := range []string{e.Zone, e.ToZone, e.Region, e.Service, e.Class} {
			require.True(t, place == "" || strings.HasPrefix(place, "@"), "%s %s: names of a site", e.Kind, place)
		}
	}
}

func (e event) check(t *testing.T) {
	require.NotEmpty(t, e.Kind)
	require.Positive(t, e.At)
	require.Less(t, e.At, float64(dayLength))
	require.LessOrEqual(t, e.Share, 1.0)
}
