package upstream_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/upstream"
)

// reject ends a request with a response that it was not run.
func reject(p *upstream.Pool, now time.Time, target string) {
	p.Release(now, target, upstream.Result{Outcome: upstream.Rejected})
}

// TestRejectionWithFreeSlots checks that a target that rejects a request although it has free slots
// stays in use, since its keys are cold elsewhere, until it has rejected several requests in a row.
func TestRejectionWithFreeSlots(t *testing.T) {
	p := newPool()
	p.SetTargets(start, specsInEachHall(3), nil)
	first := p.Acquire(start, request("k")).Target.ID
	reject(p, start, first)
	for range 3 {
		require.Equal(t, first, p.Acquire(start, request("k")).Target.ID)
		reject(p, start, first)
	}
	require.Equal(t, first, p.Acquire(start, request("k")).Target.ID)
	reject(p, start, first)
	require.NotEqual(t, first, p.Acquire(start, request("k")).Target.ID, "after five rejections in a row")
	later := start.Add(time.Second)
	require.Equal(t, first, p.Acquire(later, request("k")).Target.ID)
	p.Release(later, first, upstream.Result{Latency: time.Millisecond})
	p.Acquire(later, request("k"))
	reject(p, later, first)
	require.Equal(t, first, p.Acquire(later, request("k")).Target.ID, "a response resets the count")
}

// TestRejectionWhenFull checks that a full target that rejects a request gets no requests for a
// moment.
func TestRejectionWhenFull(t *testing.T) {
	p := newPool()
	p.SetTargets(start, specsInEachHall(3), nil)
	first := p.Acquire(start, request("k")).Target.ID
	for range specsInEachHall(3)[0].Slots {
		require.Equal(t, first, p.Acquire(start, request("k")).Target.ID)
	}
	reject(p, start, first)
	require.NotEqual(t, first, p.Acquire(start, request("k")).Target.ID)
}

// TestRetryAfterIsSpread checks that requests refused together get different retry delays, from 1.5
// to 3.5 typical latencies.
func TestRetryAfterIsSpread(t *testing.T) {
	p := newPool()
	p.SetTargets(start, specsInEachHall(1)[:1], nil)
	for p.Acquire(start, request("k")).Action == upstream.Send {
	}
	for id := range uint64(200) {
		r := request("k")
		r.ID = id
		p.Acquire(start, r)
	}
	least, most := time.Hour, time.Duration(0)
	for _, grant := range p.Tick(start.Add(time.Second)) {
		require.Equal(t, upstream.Refuse, grant.Decision.Action)
		least = min(least, grant.Decision.RetryAfter)
		most = max(most, grant.Decision.RetryAfter)
	}
	require.GreaterOrEqual(t, least, p.TypicalLatency()*3/2)
	require.LessOrEqual(t, most, p.TypicalLatency()*7/2)
	require.Greater(t, most-least, p.TypicalLatency())
}
