package ratelimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/ratelimit"
)

// tickUntil ticks every 10 ms and returns the owners reported as unresponsive.
func tickUntil(h *ratelimit.Holder, from, to time.Time) []string {
	var reported []string
	for now := from; now.Before(to); now = now.Add(10 * time.Millisecond) {
		_, _, newlyReported := h.Tick(now)
		reported = append(reported, newlyReported...)
	}
	return reported
}

// TestLateReplyIsNotReported guards against reporting an owner as unresponsive when its reply
// is only late. With links of 10 Mbit/s between instances that also carry request bodies, one
// reply in twenty takes more than 50 ms.
func TestLateReplyIsNotReported(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	h := ratelimit.NewHolder("n0")
	h.SetOwners(twoHalls())
	_, requests := h.Acquire(start, 1, "ada")
	require.Equal(t, "n1", requests[0].To.Name)
	late := start.Add(120 * time.Millisecond)
	require.Empty(t, tickUntil(h, start, late))
	h.HandleReply(late, start, "ada", "n1", ratelimit.Grant{N: 1, Lifetime: time.Second})
	h.HandleReply(late, start.Add(50*time.Millisecond), "ada", "n2", ratelimit.Grant{N: 1, Lifetime: time.Second})
	require.Empty(t, tickUntil(h, late, start.Add(5*time.Second)))
}

// TestUnresponsiveOwnerIsReported checks that an owner that never replies is reported at the end
// of its suspension, even if no other request follows, and again only after another request.
func TestUnresponsiveOwnerIsReported(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	h := ratelimit.NewHolder("n0")
	h.SetOwners(twoHalls())
	for round := range 3 {
		at := start.Add(time.Duration(round) * 10 * time.Second)
		_, requests := h.Acquire(at, uint64(round), "ada")
		require.Equal(t, "n1", requests[0].To.Name)
		require.Equal(t, []string{"n1"}, tickWithReplies(h, at, "n2"))
	}
}

// tickWithReplies ticks every 10 ms for two seconds, during which one owner replies to all
// requests. It returns the owners reported as unresponsive.
func tickWithReplies(h *ratelimit.Holder, from time.Time, replier string) []string {
	var reported []string
	for now := from; now.Before(from.Add(2 * time.Second)); now = now.Add(10 * time.Millisecond) {
		_, requests, newlyReported := h.Tick(now)
		reported = append(reported, newlyReported...)
		for _, request := range requests {
			if request.To.Name == replier {
				h.HandleReply(now, now, request.Account, replier, ratelimit.Grant{N: request.N, Lifetime: time.Second})
			}
		}
	}
	return reported
}
