package claim_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/claim"
)

// A fixed seed makes the property tests generate the same cases in every run, unless
// -rapid.seed is set.
func init() { _ = flag.Set("rapid.seed", "1") }

// attempt is one attempt at an operation, as an entry instance makes it.
type attempt struct {
	op      claim.Op
	sent    bool
	granted bool
	ran     bool
	// reported is the outcome reported to the caller: "", "ran", "not run", "unknown", or
	// "dead" if the instance died without a report.
	reported string
}

// TestOperationRunsAtMostOnce applies the operations of several attempts at one key late,
// twice, out of order or never. Replies get lost, and instances die between acquiring the claim
// and responding. The operation must run at most once, and no attempt may run after a later
// attempt was reported as not run.
func TestOperationRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shard := &claim.Shard{}
		var attempts []*attempt
		var delayed []claim.Op
		refused := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				n := len(attempts) + 1
				attempts = append(attempts, &attempt{op: claim.Op{Kind: claim.Acquire, Key: "k", Owner: fmt.Sprint(n), Attempt: n}})
			case 1:
				if a := pick(t, attempts); a != nil && a.reported == "" {
					// The write takes effect; its reply may be lost.
					reply := shard.Apply(a.op)
					a.sent = true
					a.granted = reply.Result == claim.Granted && rapid.Bool().Draw(t, "reply comes")
				}
			case 2:
				if a := pick(t, attempts); a != nil {
					delayed = append(delayed, a.op)
				}
			case 3:
				if len(delayed) > 0 {
					i := rapid.IntRange(0, len(delayed)-1).Draw(t, "late")
					shard.Apply(delayed[i])
				}
			case 4:
				if a := pick(t, attempts); a != nil && a.granted && a.reported == "" {
					require.Greater(t, a.op.Attempt, refused, "ran after a later attempt was reported as not run")
					a.ran = true
					a.reported = "ran"
					finish := a.op
					finish.Kind, finish.Status = claim.Finish, 200
					delayed = append(delayed, finish)
				}
			case 5:
				// The attempt is abandoned before it runs. The outcome is reported at once, and
				// the release is written later.
				if a := pick(t, attempts); a != nil && a.reported == "" {
					release := a.op
					release.Kind = claim.Release
					if a.granted {
						a.reported = "not run"
						refused = max(refused, a.op.Attempt)
					} else {
						a.reported = "unknown"
					}
					delayed = append(delayed, release)
				}
			case 6:
				if a := pick(t, attempts); a != nil && a.reported == "" {
					a.reported = "dead"
				}
			}
			checkSingleRun(t, attempts)
		}
	})
}

func pick(t *rapid.T, attempts []*attempt) *attempt {
	if len(attempts) == 0 {
		return nil
	}
	return attempts[rapid.IntRange(0, len(attempts)-1).Draw(t, "attempt")]
}

func checkSingleRun(t *rapid.T, attempts []*attempt) {
	runs, holders := 0, 0
	for _, a := range attempts {
		if a.ran {
			runs++
		}
		if a.granted && a.reported == "" {
			holders++
		}
	}
	require.LessOrEqual(t, runs, 1, "runs")
	require.LessOrEqual(t, runs+holders, 1, "two attempts may run at the same time")
}

func TestStaleAttemptIsRefused(t *testing.T) {
	shard := &claim.Shard{}
	take := func(n int) claim.Reply {
		return shard.Apply(claim.Op{Kind: claim.Acquire, Key: "k", Owner: fmt.Sprint(n), Attempt: n})
	}
	require.Equal(t, claim.Granted, take(2).Result)
	require.Equal(t, claim.Held, take(3).Result)
	shard.Apply(claim.Op{Kind: claim.Release, Key: "k", Owner: "2", Attempt: 2})
	require.Equal(t, claim.Superseded, take(1).Result, "an earlier attempt that arrives late")
	require.Equal(t, claim.Superseded, take(2).Result, "the released attempt itself")
	require.Equal(t, claim.Granted, take(3).Result)
	shard.Apply(claim.Op{Kind: claim.Finish, Key: "k", Owner: "3", Status: 201})
	require.Equal(t, claim.Reply{Result: claim.AlreadyDone, Status: 201}, take(4))
}

func TestParseKey(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	cases := []struct {
		name, key string
		ok        bool
	}{
		{"fresh", claim.NewKey(now, "abc"), true},
		{"old", claim.NewKey(now.Add(-claim.MaxAge+time.Minute), "abc"), true},
		{"too old", claim.NewKey(now.Add(-claim.MaxAge-time.Minute), "abc"), false},
		{"ahead", claim.NewKey(now.Add(claim.MaxClockSkew-time.Second), "abc"), true},
		{"too far ahead", claim.NewKey(now.Add(claim.MaxClockSkew+time.Second), "abc"), false},
		{"no random part", claim.NewKey(now, ""), false},
		{"no time", "abc-def", false},
		{"empty", "", false},
		{"control character", claim.NewKey(now, "a\nb"), false},
		{"long", claim.NewKey(now, string(make([]byte, 200))), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := claim.ParseKey(c.key, now)
			require.Equal(t, c.ok, err == nil, "%v", err)
		})
	}
}

// TestShardsOutliveKeys checks that no shard is deleted while ParseKey still accepts one of its
// keys.
func TestShardsOutliveKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(rapid.Int64Range(1e9, 2e9).Draw(t, "now"), 0)
		age := time.Duration(rapid.Int64Range(0, int64(claim.MaxAge)).Draw(t, "age"))
		made, err := claim.ParseKey(claim.NewKey(now.Add(-age), "x"), now)
		if err != nil {
			return
		}
		prefix := claim.ObjectPrefix + claim.ShardOf("x", made).TimeSlice + "/"
		require.NotContains(t, claim.ExpiredSlicePrefixes(now, 10*time.Minute), prefix)
	})
}

func TestQueueGroupsByShard(t *testing.T) {
	var q claim.Queue
	a, b := claim.ShardID{TimeSlice: "s", Number: 1}, claim.ShardID{TimeSlice: "t", Number: 1}
	op := func(n int) claim.Op { return claim.Op{Kind: claim.Acquire, Owner: fmt.Sprint(n)} }
	q.Add(a, op(1), false)
	require.False(t, q.HasBatch(1, false))
	require.True(t, q.HasBatch(1, true))
	q.Add(a, op(2), true)
	q.Add(b, op(3), true)
	shard, ops := q.NextBatch(1, false)
	require.Equal(t, a, shard)
	require.Len(t, ops, 2)
	q.Add(a, op(4), true)
	shard, ops = q.NextBatch(1, false)
	require.Equal(t, b, shard, "a shard has at most one write in progress")
	require.Len(t, ops, 1)
	require.False(t, q.HasBatch(1, true))
	q.BatchDone(a)
	require.True(t, q.Withdraw(a, op(4)))
	require.False(t, q.Withdraw(a, op(2)))
}

func ExampleShard_Apply() {
	var s claim.Shard
	first := claim.Op{Kind: claim.Acquire, Key: "20260301T120000Z-7f", Owner: "one", Attempt: 1}
	again := claim.Op{Kind: claim.Acquire, Key: "20260301T120000Z-7f", Owner: "two", Attempt: 2}
	fmt.Println(s.Apply(first).Result == claim.Granted)
	fmt.Println(s.Apply(again).Result == claim.Held)
	// Output:
	// true
	// true
}
