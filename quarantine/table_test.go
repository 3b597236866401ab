package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var begin = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return begin.Add(d) }

func digest(text string) Digest { return Content{URI: text}.Digest() }

// TestStatusAfterEachCrash checks the status of a request after each crash until its record
// expires.
func TestStatusAfterEachCrash(t *testing.T) {
	var table Table
	d := digest("/ends/")
	steps := []struct {
		at    time.Duration
		trial bool
		want  Verdict
		until time.Duration
	}{
		{0, false, Allowed, 0},
		{time.Second, false, Suspect, 0},
		{2 * time.Second, true, Held, 2*time.Second + firstTrialBackoff},
		{2*time.Second + firstTrialBackoff, true, Held, 2*time.Second + firstTrialBackoff + secondTrialBackoff},
		// After maxFailedTrials failed trials the request is held until its record expires.
		{100 * time.Second, true, Held, 100*time.Second + suspectTTL},
	}
	for i, step := range steps {
		now := after(step.at)
		require.True(t, table.RecordCrash(now, d, "", TargetIDOf(fmt.Sprint("i-", i)), step.trial))
		got := table.Status(now, d)
		require.Equal(t, step.want, got.Verdict, "step %d", i)
		require.Equal(t, i+1, got.Crashes)
		if step.until > 0 {
			require.Equal(t, after(step.until), got.Until, "step %d", i)
		}
	}
	require.Equal(t, 1, table.SuspectCount())
	now := after(100*time.Second + suspectTTL)
	require.Equal(t, Allowed, table.Status(now, d).Verdict)
	table.Expire(now)
	require.Zero(t, table.Len())
	require.Zero(t, table.SuspectCount())
}

// TestTrialAfterBackoff checks that a held request may have another trial once its back-off is
// over.
func TestTrialAfterBackoff(t *testing.T) {
	var table Table
	d := digest("/ends/")
	for i := range 3 {
		// The third crash happens during a trial.
		table.RecordCrash(begin, d, "", TargetID(i), i == 2)
	}
	require.Equal(t, Held, table.Status(after(firstTrialBackoff-1), d).Verdict)
	require.Equal(t, Suspect, table.Status(after(firstTrialBackoff), d).Verdict)
}

// TestAnswerClearsCrashes checks that an answer clears the crashes that precede it, also those
// reported after it, and no later ones.
func TestAnswerClearsCrashes(t *testing.T) {
	var table Table
	d := digest("/hot/")
	for i := range 5 {
		table.RecordCrash(begin, d, "", TargetID(i), false)
	}
	require.Equal(t, Suspect, table.Status(begin, d).Verdict)
	require.True(t, table.RecordAnswer(after(time.Second), d))
	require.Equal(t, Status{}, table.Status(after(time.Second), d))
	late := Updates{{Digest: d, AnswerAge: -1, Crashes: []CrashUpdate{{Target: 9, Age: 2 * time.Second}}}}
	require.Empty(t, table.Merge(after(2*time.Second), late))
	require.Equal(t, 0, table.Status(after(2*time.Second), d).Crashes)
	require.True(t, table.RecordCrash(after(3*time.Second), d, "", 10, false))
	require.Equal(t, 1, table.Status(after(3*time.Second), d).Crashes)
	require.False(t, table.RecordAnswer(begin, digest("/other/")), "digest without a record")
	require.Equal(t, 1, table.Len())
}

// TestSameTargetCountsOnce checks that several requests with one digest that were at a crashing
// target count as one crash.
func TestSameTargetCountsOnce(t *testing.T) {
	var table Table
	d := digest("/ends/")
	require.True(t, table.RecordCrash(begin, d, "", 1, false))
	require.False(t, table.RecordCrash(after(time.Millisecond), d, "", 1, false))
	require.Equal(t, 1, table.Status(begin, d).Crashes)
}

// TestRecordLimits checks that an account that has filled its share of the table loses its own
// records, those with the fewest crashes first, and none of another account. The records
// of an account that is alone in the table are bounded by maxRecords.
func TestRecordLimits(t *testing.T) {
	var table Table
	other, twoCrashes := digest("/other/"), digest("/kept/")
	table.RecordCrash(begin, other, "bob", 1, false)
	table.RecordCrash(begin, twoCrashes, "ada", 1, false)
	table.RecordCrash(begin, twoCrashes, "ada", 2, false)
	for i := range 3 * maxRecords {
		table.RecordCrash(after(time.Duration(i)*time.Millisecond), digest(fmt.Sprint("/flood/", i)), "ada", 3, false)
	}
	require.LessOrEqual(t, table.Len(), maxRecordsPerAccount+1, "records of ada and one of bob")
	require.Equal(t, 1, table.Status(after(time.Second), other).Crashes)
	require.Equal(t, 2, table.Status(after(time.Second), twoCrashes).Crashes)
	var withoutAccounts Table
	for i := range 2 * maxRecords {
		withoutAccounts.RecordCrash(after(time.Duration(i)*time.Millisecond), digest(fmt.Sprint("/flood/", i)), "", 3, false)
	}
	require.LessOrEqual(t, withoutAccounts.Len(), maxRecords)
}

// event is a crash or an answer that an instance observes. The digest is an index into the digests
// of the test. Target and trial are not used for answers.
type event struct {
	digestIndex int
	target      int
	at          time.Duration
	trial       bool
	answered    bool
}

// TestMergeInAnyOrder lets instances observe events and exchange updates in any order, late and
// more than once. It checks that all tables end up with the crash counts of a reference that knows
// all events, and with equal checksums, and that the first two tables have the same number of
// suspects.
func TestMergeInAnyOrder(t *testing.T) {
	digests := []Digest{digest("/a/"), digest("/b/"), digest("/c/")}
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
			e := event{
				digestIndex: rapid.IntRange(0, len(digests)-1).Draw(t, "digest"),
				target:      rapid.IntRange(0, 4).Draw(t, "target"),
				at:          time.Duration(rapid.IntRange(0, 50).Draw(t, "at")) * ageUnit,
				trial:       rapid.Bool().Draw(t, "trial"),
				answered:    rapid.IntRange(0, 4).Draw(t, "kind") == 0,
			}
			if !e.answered {
				// A target crashes only once.
				e.at = time.Duration(e.target) * 10 * ageUnit
			}
			return e
		}), 1, 20).Draw(t, "facts")
		// Each table starts with one crash of each digest, of a target that crashes in no other event.
		for d := range digests {
			events = append(events, event{digestIndex: d, target: 9, at: -ageUnit})
		}
		now := after(100 * ageUnit)
		tables := make([]Table, 3)
		for i := range tables {
			for _, e := range events[len(events)-len(digests):] {
				tables[i].Merge(now, updatesOf(now, digests, e))
			}
		}
		for _, e := range events {
			i := rapid.IntRange(0, 2).Draw(t, "instance")
			tables[i].Merge(now, updatesOf(now, digests, e))
			if rapid.Bool().Draw(t, "tell") {
				sendAll(t, now, &tables[i], &tables[rapid.IntRange(0, 2).Draw(t, "to")], digests)
			}
		}
		// Two rounds between all pairs spread every event to all tables.
		for range 2 {
			for i := range tables {
				for j := range tables {
					sendAll(t, now, &tables[i], &tables[j], digests)
				}
			}
		}
		for n, d := range digests {
			want := referenceCrashes(events, n)
			for i := range tables {
				got := tables[i].Status(now, d)
				require.Equal(t, want, got.Crashes, "digest %d at instance %d", n, i)
			}
		}
		require.Equal(t, tables[0].Checksum(), tables[1].Checksum())
		require.Equal(t, tables[0].Checksum(), tables[2].Checksum())
		require.Equal(t, tables[0].SuspectCount(), tables[1].SuspectCount())
	})
}

// updatesOf returns an event as an update with the event's age at time now.
func updatesOf(now time.Time, digests []Digest, e event) Updates {
	age := now.Sub(after(e.at))
	if e.answered {
		return Updates{{Digest: digests[e.digestIndex], AnswerAge: age}}
	}
	return Updates{{Digest: digests[e.digestIndex], AnswerAge: -1, Crashes: []CrashUpdate{{Target: TargetID(e.target), Age: age, Trial: e.trial}}}}
}

// sendAll merges the encoded state of one table into another one.
func sendAll(t *rapid.T, now time.Time, from, to *Table, digests []Digest) {
	raw, err := from.Updates(now, digests...).MarshalBinary()
	require.NoError(t, err)
	var updates Updates
	require.NoError(t, updates.UnmarshalBinary(raw))
	to.Merge(now, updates)
}

// referenceCrashes returns the number of targets that crashed after the last answer to
// the digest with the given index.
func referenceCrashes(events []event, digestIndex int) int {
	answered := -time.Hour
	for _, e := range events {
		if e.digestIndex == digestIndex && e.answered {
			answered = max(answered, e.at)
		}
	}
	targets := make(map[int]bool)
	for _, e := range events {
		if e.digestIndex == digestIndex && !e.answered && e.at > answered {
			targets[e.target] = true
		}
	}
	return len(targets)
}

// TestTrialCoordinator checks that trials of a digest are granted one at a time, and that the next
// one is granted after the release or expiry of the previous one, and is refused after a failure as
// long as the back-off lasts.
func TestTrialCoordinator(t *testing.T) {
	var table Table
	var coordinator TrialCoordinator
	d := digest("/ends/")
	table.RecordCrash(begin, d, "", 1, false)
	table.RecordCrash(begin, d, "", 2, false)
	granted, _ := coordinator.Acquire(begin, &table, d, "n1", after(3*time.Second))
	require.True(t, granted)
	granted, retryAt := coordinator.Acquire(begin, &table, d, "n2", after(3*time.Second))
	require.False(t, granted)
	require.Equal(t, after(leaseRetryDelay), retryAt)
	coordinator.Release(&table, begin, d, "n2", false)
	granted, _ = coordinator.Acquire(begin, &table, d, "n2", after(3*time.Second))
	require.False(t, granted, "granted after a release by an instance that does not hold the lease")
	coordinator.Release(&table, begin, d, "n1", false)
	granted, _ = coordinator.Acquire(begin, &table, d, "n2", after(3*time.Second))
	require.True(t, granted)
	granted, _ = coordinator.Acquire(after(3*time.Second), &table, d, "n3", after(6*time.Second))
	require.True(t, granted, "refused although the lease has expired")
	table.RecordCrash(after(4*time.Second), d, "", 3, true)
	granted, retryAt = coordinator.Acquire(after(5*time.Second), &table, d, "n1", after(8*time.Second))
	require.False(t, granted)
	require.Equal(t, after(4*time.Second+firstTrialBackoff), retryAt)
}

// TestCoordinatorFor checks that each instance coordinates a fair part of the digests, more than 60
// of 300 with three instances, and that the order of the instances does not matter.
func TestCoordinatorFor(t *testing.T) {
	require.Empty(t, CoordinatorFor(digest("/a/"), nil))
	counts := make(map[string]int)
	for i := range 300 {
		d := digest(fmt.Sprint(i))
		name := CoordinatorFor(d, []string{"n1", "n2", "n3"})
		require.Equal(t, name, CoordinatorFor(d, []string{"n3", "n1", "n2"}))
		counts[name]++
	}
	for _, name := range []string{"n1", "n2", "n3"} {
		require.Greater(t, counts[name], 60)
	}
}

// FuzzUpdates decodes arbitrary bytes as updates. It checks that updates that decode are encoded to
// the same bytes again, and that merging them adds at most one record for each.
func FuzzUpdates(f *testing.F) {
	var table Table
	for i := range 4 {
		table.RecordCrash(begin, digest("/a/"), "ada", TargetID(i), i == 3)
	}
	raw, err := table.Updates(after(time.Second), digest("/a/")).MarshalBinary()
	require.NoError(f, err)
	f.Add(raw)
	f.Add(raw[:len(raw)-1])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var updates Updates
		if updates.UnmarshalBinary(data) != nil {
			return
		}
		again, err := updates.MarshalBinary()
		require.NoError(t, err)
		require.Equal(t, len(data), len(again))
		if len(data) > 0 {
			require.Equal(t, data, again)
		}
		var table Table
		table.Merge(begin, updates)
		require.LessOrEqual(t, table.Len(), len(updates))
	})
}

// TestFullTableMemory checks that a full table with the maximal number of crashes in each record
// takes less than 1 MiB.
func TestFullTableMemory(t *testing.T) {
	heapBytes := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heapBytes()
	var table Table
	for i := range maxRecords {
		d := digest(fmt.Sprint(i))
		for n := range maxCrashes {
			table.RecordCrash(begin, d, "", TargetID(n), false)
		}
	}
	require.Equal(t, maxRecords, table.Len())
	used := heapBytes() - before
	t.Logf("full table: %d bytes", used)
	require.Less(t, used, uint64(1<<20))
	runtime.KeepAlive(&table)
}
