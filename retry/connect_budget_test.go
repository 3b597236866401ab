package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/retry"
)

// shortestDial is the least time that a connection gets: more than a round trip between regions.
const shortestDial = 120 * time.Millisecond

// TestConnectBudgetLimits checks what is left after some waits.
func TestConnectBudgetLimits(t *testing.T) {
	for _, c := range []struct {
		name         string
		waits        []time.Duration
		limit, hedge time.Duration
		hasWaited    bool
	}{
		{"none", nil, retry.MaxDialTime, retry.MaxDialTime, false},
		{"connected at once", []time.Duration{3 * time.Millisecond, 40 * time.Millisecond}, retry.MaxDialTime, 357 * time.Millisecond, false},
		{"one not opened", []time.Duration{retry.MaxDialTime}, retry.MaxDialTime, 0, true},
		{"one not opened, late", []time.Duration{retry.MaxDialTime + 50*time.Millisecond}, retry.MaxDialTime - 50*time.Millisecond, 0, true},
		{"too little for a round trip", []time.Duration{retry.MaxDialTime, 300 * time.Millisecond}, 0, 0, true},
		{"all", []time.Duration{retry.MaxDialTime, retry.MaxDialTime}, 0, 0, true},
		{"more than all", []time.Duration{3 * time.Second}, 0, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b retry.ConnectBudget
			for _, w := range c.waits {
				b.Spend(w)
			}
			require.Equal(t, c.limit, b.Limit())
			require.Equal(t, c.hedge, b.HedgeLimit())
			require.Equal(t, c.hasWaited, b.HasWaited())
		})
	}
}

// TestConnectBudgetModel checks over random sequences of attempts, some with a hedge, that a request waits
// for MaxConnectTime at most, that no connection gets less time than a round trip takes, and
// that one that can't be opened leaves time for another.
func TestConnectBudgetModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b retry.ConnectBudget
		total, waits := time.Duration(0), 0
		wait := func(limit time.Duration, name string) time.Duration {
			require.True(t, limit == 0 || limit >= shortestDial, "%v", limit)
			require.LessOrEqual(t, limit, retry.MaxDialTime)
			return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(t, name))
		}
		for range rapid.IntRange(1, 12).Draw(t, "attempts") {
			if waits < 2 {
				require.NotZero(t, b.Limit())
			}
			hedgeLimit := b.HedgeLimit()
			first, hedge := wait(b.Limit(), "first"), time.Duration(0)
			if rapid.Bool().Draw(t, "hedged") {
				// The waits may follow one another, so that their sum counts.
				hedge = wait(hedgeLimit, "hedge")
				b.Spend(hedge)
			}
			b.Spend(first)
			total += first + hedge
			waits += 2
			if hedge == 0 {
				waits--
			}
			require.LessOrEqual(t, total, retry.MaxConnectTime)
		}
	})
}
