package quarantine

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestKept checks that a table that reads what another one has kept holds the same requests,
// after all clocks have begun anew, until that is over.
func TestKept(t *testing.T) {
	var table Table
	d := digest("/ends/")
	table.Ended(begin, d, "ada", 1, false)
	_, ok := table.Keep(begin, begin, d)
	require.False(t, ok, "no trial has failed")
	table.Ended(after(time.Second), d, "ada", 1<<63+5, false)
	table.Ended(after(2*time.Second), d, "ada", 3, true)
	day := time.Date(2026, 12, 3, 1, 0, 0, 0, time.UTC)
	kept, ok := table.Keep(after(2*time.Second), day, d)
	require.True(t, ok)
	raw, err := json.Marshal(kept)
	require.NoError(t, err)
	read, err := ParseKept(kept.Key(), raw)
	require.NoError(t, err)
	require.Equal(t, kept, read)

	other := after(500 * time.Hour)
	facts, ok := read.Facts(day.Add(4 * time.Second))
	require.True(t, ok)
	var again Table
	again.Merge(other, News{facts})
	require.Equal(t, Standing{Verdict: Held, Ends: 3, Failed: 1, Until: other.Add(trialPause - 4*time.Second)}, again.Standing(other, d))

	release := Kept{Digest: d, Released: day.Add(3 * time.Second).UnixMilli(), Who: "ama"}
	facts, ok = release.Facts(day.Add(4 * time.Second))
	require.True(t, ok)
	again.Merge(other, News{facts})
	require.Equal(t, Free, again.Standing(other, d).Verdict)
	_, ok = read.Facts(day.Add(suspectLife))
	require.False(t, ok)
	require.NotEqual(t, kept.Key(), release.Key())
}

// TestForeignKept checks that objects that are none of a held request are refused.
func TestForeignKept(t *testing.T) {
	good := Kept{Digest: digest("/x/"), Ends: []KeptEnd{{Target: 1, At: 5, Trial: true}}}
	for key, value := range map[string]string{
		"config/table": "{}", "held/": "{}", "held/12/1": "{}", good.Key(): `{"ends":7}`, good.Key() + "x": `"text"`,
		"held/" + "zz": `{"ends":[{"target":"no hex"}]}`,
	} {
		_, err := ParseKept(key, []byte(value))
		require.Error(t, err, key)
	}
	many := good
	for range mostEnds + 1 {
		many.Ends = append(many.Ends, KeptEnd{Target: 1, At: 5})
	}
	raw, err := json.Marshal(many)
	require.NoError(t, err)
	_, err = ParseKept(good.Key(), raw)
	require.Error(t, err)
}
