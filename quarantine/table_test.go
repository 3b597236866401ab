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

// TestStanding walks a request that ends each target through its life.
func TestStanding(t *testing.T) {
	var table Table
	d := digest("/ends/")
	steps := []struct {
		at    time.Duration
		trial bool
		want  Verdict
		until time.Duration
	}{
		{0, false, Free, 0},
		{time.Second, false, Suspect, 0},
		{2 * time.Second, true, Held, 2*time.Second + trialPause},
		{2*time.Second + trialPause, true, Held, 2*time.Second + trialPause + longTrialPause},
		{100 * time.Second, true, Held, 100*time.Second + suspectLife},
	}
	for i, step := range steps {
		now := after(step.at)
		require.True(t, table.Ended(now, d, "", TargetOf(fmt.Sprint("i-", i)), step.trial))
		got := table.Standing(now, d)
		require.Equal(t, step.want, got.Verdict, "step %d", i)
		require.Equal(t, i+1, got.Ends)
		if step.until > 0 {
			require.Equal(t, after(step.until), got.Until, "step %d", i)
		}
	}
	require.Equal(t, 1, table.Suspects())
	now := after(100*time.Second + suspectLife)
	require.Equal(t, Free, table.Standing(now, d).Verdict)
	table.Expire(now)
	require.Zero(t, table.Len())
	require.Zero(t, table.Suspects())
}

// TestTrialAfterPause checks that a held request is tried again once its pause is over.
func TestTrialAfterPause(t *testing.T) {
	var table Table
	d := digest("/ends/")
	for i := range 3 {
		table.Ended(begin, d, "", Target(i), i == 2)
	}
	require.Equal(t, Held, table.Standing(after(trialPause-1), d).Verdict)
	require.Equal(t, Suspect, table.Standing(after(trialPause), d).Verdict)
}

// TestAnswerFrees checks that an answer clears a request of the ends before it and of no
// others, and that news of ends before it count no more.
func TestAnswerFrees(t *testing.T) {
	var table Table
	d := digest("/hot/")
	for i := range 5 {
		table.Ended(begin, d, "", Target(i), false)
	}
	require.Equal(t, Suspect, table.Standing(begin, d).Verdict)
	require.True(t, table.Answered(after(time.Second), d))
	require.Equal(t, Standing{}, table.Standing(after(time.Second), d))
	late := News{{Digest: d, Answered: -1, Ends: []EndFact{{Target: 9, Age: 2 * time.Second}}}}
	require.Empty(t, table.Merge(after(2*time.Second), late))
	require.Equal(t, 0, table.Standing(after(2*time.Second), d).Ends)
	require.True(t, table.Ended(after(3*time.Second), d, "", 10, false))
	require.Equal(t, 1, table.Standing(after(3*time.Second), d).Ends)
	require.False(t, table.Answered(begin, digest("/other/")), "of others nothing is kept")
	require.Equal(t, 1, table.Len())
}

// TestSameTargetCountsOnce checks that several requests that were at a target when it ended
// count as one.
func TestSameTargetCountsOnce(t *testing.T) {
	var table Table
	d := digest("/ends/")
	require.True(t, table.Ended(begin, d, "", 1, false))
	require.False(t, table.Ended(after(time.Millisecond), d, "", 1, false))
	require.Equal(t, 1, table.Standing(begin, d).Ends)
}

// TestTableIsBounded checks that an account that fills its part of the table loses records of
// its own, those with the fewest ends first, and leaves another's alone.
func TestTableIsBounded(t *testing.T) {
	var table Table
	other, kept := digest("/other/"), digest("/kept/")
	table.Ended(begin, other, "bob", 1, false)
	table.Ended(begin, kept, "ada", 1, false)
	table.Ended(begin, kept, "ada", 2, false)
	for i := range 3 * maxRecords {
		table.Ended(after(time.Duration(i)*time.Millisecond), digest(fmt.Sprint("/flood/", i)), "ada", 3, false)
	}
	require.LessOrEqual(t, table.Len(), maxOfAccount+1)
	require.Equal(t, 1, table.Standing(after(time.Second), other).Ends)
	require.Equal(t, 2, table.Standing(after(time.Second), kept).Ends)
	var open Table
	for i := range 2 * maxRecords {
		open.Ended(after(time.Duration(i)*time.Millisecond), digest(fmt.Sprint("/flood/", i)), "", 3, false)
	}
	require.LessOrEqual(t, open.Len(), maxRecords)
}

// fact is an end or an answer that an instance has seen.
type fact struct {
	digest   int
	target   int
	at       time.Duration
	trial    bool
	answered bool
}

// TestMergeInAnyOrder has instances note facts and tell each other of them in any order, late
// and more than once, and checks that all come to the same as one that was told of all facts
// at once.
func TestMergeInAnyOrder(t *testing.T) {
	digests := []Digest{digest("/a/"), digest("/b/"), digest("/c/")}
	rapid.Check(t, func(t *rapid.T) {
		facts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fact {
			f := fact{
				digest:   rapid.IntRange(0, len(digests)-1).Draw(t, "digest"),
				target:   rapid.IntRange(0, 4).Draw(t, "target"),
				at:       time.Duration(rapid.IntRange(0, 50).Draw(t, "at")) * wireUnit,
				trial:    rapid.Bool().Draw(t, "trial"),
				answered: rapid.IntRange(0, 4).Draw(t, "kind") == 0,
			}
			if !f.answered {
				// A target ends once.
				f.at = time.Duration(f.target) * 10 * wireUnit
			}
			return f
		}), 1, 20).Draw(t, "facts")
		// Answers count only for requests of which an end is known.
		for d := range digests {
			facts = append(facts, fact{digest: d, target: 9, at: -wireUnit})
		}
		now := after(100 * wireUnit)
		tables := make([]Table, 3)
		for i := range tables {
			for _, f := range facts[len(facts)-len(digests):] {
				tables[i].Merge(now, newsOf(now, digests, f))
			}
		}
		for _, f := range facts {
			i := rapid.IntRange(0, 2).Draw(t, "instance")
			tables[i].Merge(now, newsOf(now, digests, f))
			if rapid.Bool().Draw(t, "tell") {
				tell(t, now, &tables[i], &tables[rapid.IntRange(0, 2).Draw(t, "to")], digests)
			}
		}
		// Whoever knows everything has told everybody in the end.
		for range 2 {
			for i := range tables {
				for j := range tables {
					tell(t, now, &tables[i], &tables[j], digests)
				}
			}
		}
		for n, d := range digests {
			want := reference(facts, n)
			for i := range tables {
				got := tables[i].Standing(now, d)
				require.Equal(t, want, got.Ends, "digest %d at instance %d", n, i)
			}
		}
		require.Equal(t, tables[0].Sum(), tables[1].Sum())
		require.Equal(t, tables[0].Sum(), tables[2].Sum())
		require.Equal(t, tables[0].Suspects(), tables[1].Suspects())
	})
}

// newsOf is the news of one fact.
func newsOf(now time.Time, digests []Digest, f fact) News {
	age := now.Sub(after(f.at))
	if f.answered {
		return News{{Digest: digests[f.digest], Answered: age}}
	}
	return News{{Digest: digests[f.digest], Answered: -1, Ends: []EndFact{{Target: Target(f.target), Age: age, Trial: f.trial}}}}
}

// tell passes all that a table knows on to another one, through the form of messages.
func tell(t *rapid.T, now time.Time, from, to *Table, digests []Digest) {
	raw, err := from.About(now, digests...).MarshalBinary()
	require.NoError(t, err)
	var news News
	require.NoError(t, news.UnmarshalBinary(raw))
	to.Merge(now, news)
}

// reference counts the targets that ended after the last answer.
func reference(facts []fact, digest int) int {
	answered := -time.Hour
	for _, f := range facts {
		if f.digest == digest && f.answered {
			answered = max(answered, f.at)
		}
	}
	targets := make(map[int]bool)
	for _, f := range facts {
		if f.digest == digest && !f.answered && f.at > answered {
			targets[f.target] = true
		}
	}
	return len(targets)
}

// TestWarden checks that trials of a request are granted one at a time, and again once one
// was learned from or has taken its time.
func TestWarden(t *testing.T) {
	var table Table
	var warden Warden
	d := digest("/ends/")
	table.Ended(begin, d, "", 1, false)
	table.Ended(begin, d, "", 2, false)
	granted, _ := warden.Ask(begin, &table, d, "n1", after(3*time.Second))
	require.True(t, granted)
	granted, next := warden.Ask(begin, &table, d, "n2", after(3*time.Second))
	require.False(t, granted)
	require.Equal(t, after(againPause), next)
	warden.Done(&table, begin, d, "n2", false)
	granted, _ = warden.Ask(begin, &table, d, "n2", after(3*time.Second))
	require.False(t, granted, "only who has the trial ends it")
	warden.Done(&table, begin, d, "n1", false)
	granted, _ = warden.Ask(begin, &table, d, "n2", after(3*time.Second))
	require.True(t, granted)
	granted, _ = warden.Ask(after(3*time.Second), &table, d, "n3", after(6*time.Second))
	require.True(t, granted, "the time of the trial is over")
	table.Ended(after(4*time.Second), d, "", 3, true)
	granted, next = warden.Ask(after(5*time.Second), &table, d, "n1", after(8*time.Second))
	require.False(t, granted)
	require.Equal(t, after(4*time.Second+trialPause), next)
}

// TestChoose checks that the wardens of many requests are spread over the instances, and that
// the order in which they are known does not matter.
func TestChoose(t *testing.T) {
	require.Empty(t, Choose(digest("/a/"), nil))
	counts := make(map[string]int)
	for i := range 300 {
		d := digest(fmt.Sprint(i))
		name := Choose(d, []string{"n1", "n2", "n3"})
		require.Equal(t, name, Choose(d, []string{"n3", "n1", "n2"}))
		counts[name]++
	}
	for _, name := range []string{"n1", "n2", "n3"} {
		require.Greater(t, counts[name], 60)
	}
}

// FuzzNews has any bytes read as news, and checks that what was read is written the same.
func FuzzNews(f *testing.F) {
	var table Table
	for i := range 4 {
		table.Ended(begin, digest("/a/"), "ada", Target(i), i == 3)
	}
	raw, err := table.About(after(time.Second), digest("/a/")).MarshalBinary()
	require.NoError(f, err)
	f.Add(raw)
	f.Add(raw[:len(raw)-1])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var news News
		if news.UnmarshalBinary(data) != nil {
			return
		}
		again, err := news.MarshalBinary()
		require.NoError(t, err)
		require.Equal(t, len(data), len(again))
		if len(data) > 0 {
			require.Equal(t, data, again)
		}
		var table Table
		table.Merge(begin, news)
		require.LessOrEqual(t, table.Len(), len(news))
	})
}

// TestFullTableIsSmall checks that a table that is full, each record with all its ends, takes
// less than 1 MB.
func TestFullTableIsSmall(t *testing.T) {
	held := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := held()
	var table Table
	for i := range maxRecords {
		d := digest(fmt.Sprint(i))
		for n := range mostEnds {
			table.Ended(begin, d, "", Target(n), false)
		}
	}
	require.Equal(t, maxRecords, table.Len())
	taken := held() - before
	t.Logf("%d bytes", taken)
	require.Less(t, taken, uint64(1<<20))
	runtime.KeepAlive(&table)
}
