package upstream_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/upstream"
)

// TestReturnsAreSpread checks that requests that are refused together are told different
// times to come back, from one and a half to three and a half usual times.
func TestReturnsAreSpread(t *testing.T) {
	p := newPool()
	p.SetTargets(start, spread(1)[:1], nil)
	for p.Acquire(start, request("k")).Verdict == upstream.Send {
	}
	for id := range uint64(200) {
		r := request("k")
		r.ID = id
		p.Acquire(start, r)
	}
	least, most := time.Hour, time.Duration(0)
	for _, grant := range p.Tick(start.Add(time.Second)) {
		require.Equal(t, upstream.Refuse, grant.Decision.Verdict)
		least = min(least, grant.Decision.RetryAfter)
		most = max(most, grant.Decision.RetryAfter)
	}
	require.GreaterOrEqual(t, least, p.Typical()*3/2)
	require.LessOrEqual(t, most, p.Typical()*7/2)
	require.Greater(t, most-least, p.Typical())
}
