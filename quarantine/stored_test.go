package quarantine

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStoredRecordRoundTrip checks that a table that reads a stored object of another one holds the
// same request until the same time, also if the clocks of the two tables have different origins,
// that a stored release clears it, and that an expired object gives no update.
func TestStoredRecordRoundTrip(t *testing.T) {
	var table Table
	d := digest("/ends/")
	table.RecordCrash(begin, d, "ada", 1, false)
	_, ok := table.StoredRecord(begin, begin, d)
	require.False(t, ok, "no trial has failed")
	table.RecordCrash(after(time.Second), d, "ada", 1<<63+5, false)
	table.RecordCrash(after(2*time.Second), d, "ada", 3, true)
	wallTime := time.Date(2026, 12, 3, 1, 0, 0, 0, time.UTC)
	stored, ok := table.StoredRecord(after(2*time.Second), wallTime, d)
	require.True(t, ok)
	raw, err := json.Marshal(stored)
	require.NoError(t, err)
	parsed, err := ParseStoredRecord(stored.Key(), raw)
	require.NoError(t, err)
	require.Equal(t, stored, parsed)

	other := after(500 * time.Hour)
	update, ok := parsed.Update(wallTime.Add(4 * time.Second))
	require.True(t, ok)
	var restored Table
	restored.Merge(other, Updates{update})
	require.Equal(t, Status{Verdict: Held, Crashes: 3, FailedTrials: 1, Until: other.Add(firstTrialBackoff - 4*time.Second)}, restored.Status(other, d))

	release := StoredRecord{Digest: d, Released: wallTime.Add(3 * time.Second).UnixMilli(), ReleasedBy: "ama"}
	update, ok = release.Update(wallTime.Add(4 * time.Second))
	require.True(t, ok)
	restored.Merge(other, Updates{update})
	require.Equal(t, Allowed, restored.Status(other, d).Verdict)
	_, ok = parsed.Update(wallTime.Add(suspectTTL))
	require.False(t, ok)
	require.NotEqual(t, stored.Key(), release.Key())
}

// TestParseRejectsForeignObjects checks that ParseStoredRecord rejects keys and values that are not
// those of a held request.
func TestParseRejectsForeignObjects(t *testing.T) {
	good := StoredRecord{Digest: digest("/x/"), Crashes: []StoredCrash{{Target: 1, At: 5, Trial: true}}}
	for key, value := range map[string]string{
		"config/table": "{}", "held/": "{}", "held/12/1": "{}", good.Key(): `{"ends":7}`, good.Key() + "x": `"text"`,
		"held/" + "zz": `{"ends":[{"target":"no hex"}]}`,
	} {
		_, err := ParseStoredRecord(key, []byte(value))
		require.Error(t, err, key)
	}
	many := good
	for range maxCrashes + 1 {
		many.Crashes = append(many.Crashes, StoredCrash{Target: 1, At: 5})
	}
	raw, err := json.Marshal(many)
	require.NoError(t, err)
	_, err = ParseStoredRecord(good.Key(), raw)
	require.Error(t, err)
}
