package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// addCrashes records the crash of a target under a new request of each of the accounts.
func addCrashes(t *Table, at time.Time, target int, accounts ...string) {
	for _, account := range accounts {
		d := Content{Account: account, URI: fmt.Sprint("/", account, "/", target, "/", at.UnixNano())}.Digest()
		t.RecordCrash(at, d, account, TargetID(target), false)
	}
}

// busiestShare is the fraction of the crashed targets at which the busiest innocent accounts have a
// request.
const busiestShare = 0.6

// trustNone is a predicate for FlagAccounts that trusts no account.
func trustNone(uint32) bool { return false }

// TestFlagAccounts checks the conditions under which an account is flagged: enough targets must
// have crashed under enough of its different requests, in enough intervals, and none of these
// requests may have been answered.
func TestFlagAccounts(t *testing.T) {
	for _, c := range []struct {
		name  string
		setUp func(t *Table)
		want  []string
	}{
		{"four targets under different requests", func(t *Table) {
			for i := range 4 {
				addCrashes(t, after(time.Duration(i)*300*time.Millisecond), i, "ada")
			}
		}, []string{"ada"}},
		{"too few targets", func(t *Table) {
			for i := range 3 {
				addCrashes(t, after(time.Duration(i)*300*time.Millisecond), i, "ada")
			}
		}, nil},
		{"targets that crash at the same time", func(t *Table) {
			for i := range 20 {
				addCrashes(t, after(time.Duration(i)*5*time.Millisecond), i, "ada")
			}
		}, nil},
		{"only one request", func(t *Table) {
			d := Content{Account: "ada", URI: "/"}.Digest()
			for i := range 6 {
				t.RecordCrash(after(time.Duration(i)*300*time.Millisecond), d, "ada", TargetID(i), false)
			}
		}, nil},
		{"requests answered later", func(t *Table) {
			for i := range 6 {
				at := after(time.Duration(i) * 300 * time.Millisecond)
				d := Content{Account: "ada", URI: fmt.Sprint(i)}.Digest()
				t.RecordCrash(at, d, "ada", TargetID(i), false)
				t.RecordAnswer(at.Add(time.Millisecond), d)
			}
		}, nil},
		{"crashes before the window", func(t *Table) {
			for i := range 6 {
				addCrashes(t, after(time.Duration(i)*300*time.Millisecond-2*flagWindow), i, "ada")
			}
		}, nil},
		{"requests without an account", func(t *Table) {
			for i := range 6 {
				addCrashes(t, after(time.Duration(i)*300*time.Millisecond), i, "")
			}
		}, nil},
		{"another account at most of the targets", func(t *Table) {
			for i := range 8 {
				accounts := []string{"ada"}
				if i != 3 {
					accounts = append(accounts, "ben")
				}
				addCrashes(t, after(time.Duration(i)*300*time.Millisecond), i, accounts...)
			}
		}, []string{"ada"}},
		{"crashes in waves", func(t *Table) {
			for i := range 48 {
				var accounts []string
				if i%6 == 0 {
					accounts = append(accounts, "ada")
				}
				addCrashes(t, after(time.Duration(i/16)*1500*time.Millisecond+time.Duration(i%16)*40*time.Millisecond), i, append(accounts, fmt.Sprint("account-", i))...)
			}
		}, nil},
		{"two accounts at the same time", func(t *Table) {
			for i := range 8 {
				addCrashes(t, after(time.Duration(i)*300*time.Millisecond), i, []string{"ada", "cem"}[i%2])
			}
		}, []string{"ada", "cem"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var table Table
			c.setUp(&table)
			now := after(3 * time.Second)
			flagged := table.FlagAccounts(now, trustNone)
			var want []Digest
			for _, account := range c.want {
				want = append(want, AccountDigest(account))
				require.Equal(t, Suspect, table.Status(now, AccountDigest(account)).Verdict)
			}
			require.ElementsMatch(t, want, flagged)
			require.Equal(t, Allowed, table.Status(now, AccountDigest("ben")).Verdict)
		})
	}
}

// TestFlaggedAccountTrials checks the back-off after failed trials. It checks as well that three
// consecutive answered trials clear the account, that an empty table that merges its state has it
// Allowed, and that crashes before that do not count again.
func TestFlaggedAccountTrials(t *testing.T) {
	var table Table
	var coordinator TrialCoordinator
	for i := range 5 {
		addCrashes(&table, after(time.Duration(i)*300*time.Millisecond), i, "ada")
	}
	now := after(2 * time.Second)
	table.FlagAccounts(now, trustNone)
	d := AccountDigest("ada")
	for i, backoff := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		granted, _ := coordinator.Acquire(now, &table, d, "n1", now.Add(time.Second))
		require.True(t, granted)
		table.RecordCrash(now, d, "ada", TargetID(100+i), true)
		granted, next := coordinator.Acquire(now, &table, d, "n1", now.Add(time.Second))
		require.False(t, granted)
		if i >= maxCrashes {
			// The record holds no more crashes, so that the back-off stays the same.
			require.Equal(t, maxAccountTrialBackoff, next.Sub(now))
			break
		}
		require.Equal(t, backoff*time.Second, next.Sub(now))
		now = next
	}
	now = now.Add(maxAccountTrialBackoff)
	for i := range answersToClear {
		granted, _ := coordinator.Acquire(now, &table, d, "n1", now.Add(time.Second))
		require.True(t, granted)
		require.Equal(t, i == answersToClear-1, coordinator.Release(&table, now, d, "n1", true))
		now = now.Add(time.Second)
	}
	require.Equal(t, Allowed, table.Status(now, d).Verdict)
	require.Empty(t, table.FlagAccounts(now, trustNone))
	var other Table
	other.Merge(now, table.Updates(now, d))
	require.Equal(t, Allowed, other.Status(now, d).Verdict)
}

// TestFlagAmongManyAccounts simulates a hundred accounts, three of which send requests that crash
// their targets. Each crash also interrupts requests of other accounts, more of the busier ones;
// the busiest accounts are trusted. The test checks that exactly the three accounts are flagged,
// within a few seconds.
func TestFlagAmongManyAccounts(t *testing.T) {
	busiest := make(map[uint32]bool)
	for i := range 12 {
		busiest[AccountHash(fmt.Sprint("account-", i))] = true
	}
	for seed := range uint64(4) {
		rnd := rand.New(rand.NewPCG(seed, 11))
		var table Table
		flagged := make(map[Digest]bool)
		trusted := func(account uint32) bool { return busiest[account] }
		target := 0
		for ms := 0; ms < 10_000; ms += 100 {
			for flooding := range 3 {
				target++
				accounts := []string{fmt.Sprint("flood-", flooding)}
				for i := range 97 {
					if rnd.Float64() < busiestShare/float64(1+i/4) {
						accounts = append(accounts, fmt.Sprint("account-", i))
					}
				}
				addCrashes(&table, after(time.Duration(ms)*time.Millisecond+time.Duration(flooding)), target, accounts...)
			}
			for _, d := range table.FlagAccounts(after(time.Duration(ms)*time.Millisecond), trusted) {
				flagged[d] = true
			}
			if ms == 3_000 {
				for flooding := range 3 {
					require.True(t, flagged[AccountDigest(fmt.Sprint("flood-", flooding))], "seed %d", seed)
				}
			}
		}
		require.Len(t, flagged, 3, "seed %d", seed)
	}
}

// BenchmarkFlagAccounts measures FlagAccounts on a full table with the records of a hundred
// accounts.
func BenchmarkFlagAccounts(b *testing.B) {
	var table Table
	rnd := rand.New(rand.NewPCG(1, 2))
	for i := range maxRecords {
		addCrashes(&table, after(time.Duration(i)*time.Millisecond), i/8, fmt.Sprint("account-", rnd.IntN(100)))
	}
	for b.Loop() {
		table.FlagAccounts(after(3*time.Second), trustNone)
	}
}
