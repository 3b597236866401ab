package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/origin"
)

// exposed returns an oracle with a rollout of a version of the given quality, and a function
// that has a request of an instance reach a server of the new version or of the old one.
func exposed(q quality) (o *oracle, check *versionCheck, arrive func(at time.Time, isNew bool)) {
	o = newOracle(newKeyring())
	start := time.Now()
	check = &versionCheck{service: "read", version: "v2", quality: q, from: start, until: start.Add(rolloutTime)}
	o.versions = append(o.versions, check)
	for id, version := range map[string]string{"old": "v1", "new": "v2"} {
		o.servers[id] = &server{Server: &origin.Server{ID: id, Service: "read", Zone: "a1"}, version: version}
	}
	return o, check, func(at time.Time, isNew bool) {
		o.mu.Lock()
		defer o.mu.Unlock()
		id := map[bool]string{false: "old", true: "new"}[isNew]
		o.judgeExposure(&attempt{instance: "n1"}, origin.Arrival{Server: o.servers[id].Server, At: at})
	}
}

// TestExposureIsJudged checks that the oracle reports a bad version that receives more than
// its permitted share of requests, and reports neither one within its share nor a sound
// version.
func TestExposureIsJudged(t *testing.T) {
	for _, c := range []struct {
		quality quality
		atNew   int
		broken  bool
	}{{failingVersion, 150, false}, {failingVersion, 151, true}, {soundVersion, 900, false}} {
		o, check, arrive := exposed(c.quality)
		for i := range 1000 {
			arrive(check.from.Add(time.Second), i < c.atNew)
		}
		check.verdict = "rolled_back"
		o.judgeVersion(check, "rolled_back")
		require.Equal(t, c.broken, len(o.violations) > 0, "%+v", c)
	}
}

// TestLateExposureIsJudged checks that the oracle reports a request that a connected instance
// sends to a version long after its fiftieth bad answer.
func TestLateExposureIsJudged(t *testing.T) {
	for _, late := range []bool{false, true} {
		for _, touched := range []bool{false, true} {
			o, check, arrive := exposed(failingVersion)
			for range badAnswers {
				o.badAnswer(check)
			}
			at := check.fiftiethAt.Add(rollbackWithin - time.Second)
			if late {
				at = at.Add(2 * time.Second)
			}
			if !touched {
				o.disturbed("n1", at.Add(-time.Second))
			}
			arrive(at, true)
			require.Equal(t, late && touched, len(o.violations) > 0)
		}
	}
}

// TestVerdictIsJudged checks that the oracle reports a verdict that changes.
func TestVerdictIsJudged(t *testing.T) {
	o, check, _ := exposed(soundVersion)
	o.noteVerdict(check, "succeeded")
	o.judgeVersion(check, "succeeded")
	require.Empty(t, o.violations)
	o.judgeVersion(check, "rolled_back")
	require.Len(t, o.violations, 1)
	require.Equal(t, "VERDICT", o.violations[0].Rule)
}

// TestLostVerdict checks that a verdict may change if all instances were killed soon after the
// store had lost it, and not otherwise.
func TestLostVerdict(t *testing.T) {
	for _, c := range []struct {
		restored time.Duration
		killed   bool
		broken   bool
	}{{time.Second, true, false}, {time.Second, false, true}, {verdictTime + time.Second, true, true}} {
		o, check, _ := exposed(soundVersion)
		check.verdict = "succeeded"
		o.restoredAt = time.Now().Add(-c.restored)
		if c.killed {
			o.allKilled()
		}
		o.judgeVersion(check, "rolled_back")
		require.Equal(t, c.broken, len(o.violations) > 0, "%+v", c)
	}
}

// TestLostVerdictReturns checks that a verdict which a restored store lacks may be missing for verdictTime
// in which the store accepts writes, that it must not be missing for longer, nor without a restore, and
// that the opposite verdict is reported at once.
func TestLostVerdictReturns(t *testing.T) {
	for _, c := range []struct {
		name     string
		restored bool
		state    string
		// lost is how long the state is missing, and unavailable how much of that time the store
		// accepts no writes.
		lost, unavailable time.Duration
		broken            bool
	}{
		{name: "rewritten in time", restored: true, lost: verdictTime},
		{name: "too late", restored: true, lost: verdictTime + verdictPoll, broken: true},
		{name: "too late, begun anew", restored: true, state: stateRunning, lost: verdictTime + verdictPoll, broken: true},
		{name: "store unavailable", restored: true, lost: verdictTime + 4*time.Second, unavailable: 4 * time.Second},
		{name: "too late after an outage", restored: true, lost: verdictTime + 5*time.Second, unavailable: 4 * time.Second, broken: true},
		{name: "no restore", lost: verdictPoll, broken: true},
		{name: "opposite verdict", restored: true, state: stateSucceeded, lost: verdictPoll, broken: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, check, _ := exposed(soundVersion)
			o.noteVerdict(check, stateRolledBack)
			if c.restored {
				o.restored()
			}
			mayReturn := true
			for at := time.Duration(0); at < c.lost; at += verdictPoll {
				mayReturn = o.observeVerdict(check, c.state, at >= c.unavailable, verdictPoll)
			}
			if !mayReturn {
				o.judgeVersion(check, c.state)
			} else {
				require.False(t, o.observeVerdict(check, stateRolledBack, true, verdictPoll))
				o.judgeVersion(check, stateRolledBack)
			}
			require.Equal(t, c.broken, len(o.violations) > 0, o.violations)
		})
	}
}

// TestRewrittenVerdictIsLostAgain checks that each restore gives the instances verdictTime anew, and that a
// verdict that was written again is not lost without a further restore.
func TestRewrittenVerdictIsLostAgain(t *testing.T) {
	o, check, _ := exposed(soundVersion)
	o.noteVerdict(check, stateRolledBack)
	for range 3 {
		o.restored()
		require.True(t, o.observeVerdict(check, "", true, verdictTime))
	}
	require.Empty(t, o.violations)
	require.False(t, o.observeVerdict(check, stateRolledBack, true, verdictPoll))
	require.False(t, o.observeVerdict(check, stateRunning, true, verdictPoll))
	o.judgeVersion(check, stateRunning)
	require.Len(t, o.violations, 1)
}
