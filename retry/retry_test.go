package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/retry"
)

func TestClassify(t *testing.T) {
	cases := []struct {
		name string
		e    retry.Evidence
		want retry.Outcome
	}{
		{"no connection", retry.Evidence{}, retry.NotRun},
		{"connected, no answer", retry.Evidence{Connected: true}, retry.Unknown},
		{"answered", retry.Evidence{Connected: true, Answered: true}, retry.Ran},
		{"refused", retry.Evidence{Connected: true, Answered: true, Refused: true}, retry.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, retry.Classify(c.e))
			require.Equal(t, c.want, retry.ParseOutcome(c.want.String()))
		})
	}
}

func TestAllowed(t *testing.T) {
	for _, retriable := range []bool{true, false} {
		require.True(t, retry.Allowed(retry.NotRun, retriable))
		require.Equal(t, retriable, retry.Allowed(retry.Unknown, retriable))
		require.False(t, retry.Allowed(retry.Ran, retriable))
	}
}

// TestBudgetBoundsRetries checks that retries amount to a tenth of the successes, apart from the
// initial credit.
func TestBudgetBoundsRetries(t *testing.T) {
	var b retry.Budget
	initial := 0
	for b.Spend() {
		initial++
	}
	require.Equal(t, 10, initial)
	retries := 0
	for range 1000 {
		b.Success()
		if b.Spend() {
			retries++
		}
	}
	require.Equal(t, 100, retries)
}
