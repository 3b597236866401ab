package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// floodEvent has a target end under different requests of some accounts, which come again
// unanswered or are answered.
func floodEvent(t *Table, at time.Time, target int, accounts ...string) {
	for _, account := range accounts {
		d := Content{Account: account, URI: fmt.Sprint("/", account, "/", target, "/", at.UnixNano())}.Digest()
		t.Ended(at, d, account, Target(target), false)
	}
}

// modelBusy is the part of the ended targets at which the busiest innocent account has a request.
const modelBusy = 0.6

// nobody is sound.
func nobody(uint32) bool { return false }

// TestFlag checks what flags an account: enough targets that end under enough of its different
// requests, at enough moments, of which none was answered.
func TestFlag(t *testing.T) {
	for _, c := range []struct {
		name  string
		bring func(t *Table)
		want  []string
	}{
		{"a flood", func(t *Table) {
			for i := range 4 {
				floodEvent(t, after(time.Duration(i)*300*time.Millisecond), i, "ada")
			}
		}, []string{"ada"}},
		{"too few targets", func(t *Table) {
			for i := range 3 {
				floodEvent(t, after(time.Duration(i)*300*time.Millisecond), i, "ada")
			}
		}, nil},
		{"together", func(t *Table) {
			for i := range 20 {
				floodEvent(t, after(time.Duration(i)*5*time.Millisecond), i, "ada")
			}
		}, nil},
		{"one request", func(t *Table) {
			d := Content{Account: "ada", URI: "/"}.Digest()
			for i := range 6 {
				t.Ended(after(time.Duration(i)*300*time.Millisecond), d, "ada", Target(i), false)
			}
		}, nil},
		{"answered", func(t *Table) {
			for i := range 6 {
				at := after(time.Duration(i) * 300 * time.Millisecond)
				d := Content{Account: "ada", URI: fmt.Sprint(i)}.Digest()
				t.Ended(at, d, "ada", Target(i), false)
				t.Answered(at.Add(time.Millisecond), d)
			}
		}, nil},
		{"long ago", func(t *Table) {
			for i := range 6 {
				floodEvent(t, after(time.Duration(i)*300*time.Millisecond-2*floodWindow), i, "ada")
			}
		}, nil},
		{"without an account", func(t *Table) {
			for i := range 6 {
				floodEvent(t, after(time.Duration(i)*300*time.Millisecond), i, "")
			}
		}, nil},
		{"another account at most of them", func(t *Table) {
			for i := range 8 {
				accounts := []string{"ada"}
				if i != 3 {
					accounts = append(accounts, "ben")
				}
				floodEvent(t, after(time.Duration(i)*300*time.Millisecond), i, accounts...)
			}
		}, []string{"ada"}},
		{"crashes in waves", func(t *Table) {
			for i := range 48 {
				var accounts []string
				if i%6 == 0 {
					accounts = append(accounts, "ada")
				}
				floodEvent(t, after(time.Duration(i/16)*1500*time.Millisecond+time.Duration(i%16)*40*time.Millisecond), i, append(accounts, fmt.Sprint("account-", i))...)
			}
		}, nil},
		{"two floods", func(t *Table) {
			for i := range 8 {
				floodEvent(t, after(time.Duration(i)*300*time.Millisecond), i, []string{"ada", "cem"}[i%2])
			}
		}, []string{"ada", "cem"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var table Table
			c.bring(&table)
			now := after(3 * time.Second)
			flagged := table.Flag(now, nobody)
			var want []Digest
			for _, account := range c.want {
				want = append(want, AccountDigest(account))
				require.Equal(t, Suspect, table.Standing(now, AccountDigest(account)).Verdict)
			}
			require.ElementsMatch(t, want, flagged)
			require.Equal(t, Free, table.Standing(now, AccountDigest("ben")).Verdict)
		})
	}
}

// TestFlaggedAccountIsTried checks the pauses after failed trials, and that three answered ones in a
// row free the account at all instances, and what ended before does not count again.
func TestFlaggedAccountIsTried(t *testing.T) {
	var table Table
	var warden Warden
	for i := range 5 {
		floodEvent(&table, after(time.Duration(i)*300*time.Millisecond), i, "ada")
	}
	now := after(2 * time.Second)
	table.Flag(now, nobody)
	d := AccountDigest("ada")
	for i, pause := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		granted, _ := warden.Ask(now, &table, d, "n1", now.Add(time.Second))
		require.True(t, granted)
		table.Ended(now, d, "ada", Target(100+i), true)
		granted, next := warden.Ask(now, &table, d, "n1", now.Add(time.Second))
		require.False(t, granted)
		if i >= mostEnds {
			// No more are remembered than that.
			require.Equal(t, longFloodPause, next.Sub(now))
			break
		}
		require.Equal(t, pause*time.Second, next.Sub(now))
		now = next
	}
	now = now.Add(longFloodPause)
	for i := range acquittal {
		granted, _ := warden.Ask(now, &table, d, "n1", now.Add(time.Second))
		require.True(t, granted)
		require.Equal(t, i == acquittal-1, warden.Done(&table, now, d, "n1", true))
		now = now.Add(time.Second)
	}
	require.Equal(t, Free, table.Standing(now, d).Verdict)
	require.Empty(t, table.Flag(now, nobody))
	var other Table
	other.Merge(now, table.About(now, d))
	require.Equal(t, Free, other.Standing(now, d).Verdict)
}

// TestFloodsAmongManyAccounts has three of a hundred accounts flood, each target's end also
// breaking off unanswered requests of some of the others, more of the busier ones, of which the
// busiest are known to be answered as a rule. It checks that just the three are flagged, within a
// few seconds.
func TestFloodsAmongManyAccounts(t *testing.T) {
	busiest := make(map[uint32]bool)
	for i := range 12 {
		busiest[AccountHash(fmt.Sprint("account-", i))] = true
	}
	for seed := range uint64(4) {
		rnd := rand.New(rand.NewPCG(seed, 11))
		var table Table
		flagged := make(map[Digest]bool)
		sound := func(account uint32) bool { return busiest[account] }
		target := 0
		for ms := 0; ms < 10_000; ms += 100 {
			for flooder := range 3 {
				target++
				accounts := []string{fmt.Sprint("flood-", flooder)}
				for i := range 97 {
					if rnd.Float64() < modelBusy/float64(1+i/4) {
						accounts = append(accounts, fmt.Sprint("account-", i))
					}
				}
				floodEvent(&table, after(time.Duration(ms)*time.Millisecond+time.Duration(flooder)), target, accounts...)
			}
			for _, d := range table.Flag(after(time.Duration(ms)*time.Millisecond), sound) {
				flagged[d] = true
			}
			if ms == 3_000 {
				for flooder := range 3 {
					require.True(t, flagged[AccountDigest(fmt.Sprint("flood-", flooder))], "seed %d", seed)
				}
			}
		}
		require.Len(t, flagged, 3, "seed %d", seed)
	}
}

// BenchmarkFlag measures a look for accounts to flag at a full table of a hundred accounts.
func BenchmarkFlag(b *testing.B) {
	var table Table
	rnd := rand.New(rand.NewPCG(1, 2))
	for i := range maxRecords {
		floodEvent(&table, after(time.Duration(i)*time.Millisecond), i/8, fmt.Sprint("account-", rnd.IntN(100)))
	}
	for b.Loop() {
		table.Flag(after(3*time.Second), nobody)
	}
}
