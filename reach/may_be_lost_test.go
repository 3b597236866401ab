package reach

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMayBeLost checks which failures show that connections to a hall may be impossible, and what refutes them.
func TestMayBeLost(t *testing.T) {
	for _, c := range []struct {
		name  string
		setUp func(*Halls)
		ms    int
		want  bool
	}{
		{"nothing happened", func(*Halls) {}, 10, false},
		{"a target can't be connected to", func(h *Halls) { failAll(h, 0, "a", 1, Unconnected) }, 10, true},
		{"a target does not respond", func(h *Halls) { failAll(h, 0, "a", 1, Unanswered) }, 10, false},
		{"the failure is old", func(h *Halls) { failAll(h, 0, "a", 1, Unconnected) }, 10000, false},
		{"another target of the hall was connected to since", func(h *Halls) {
			failAll(h, 0, "a", 1, Unconnected)
			h.Connected(at(5), "a", "other")
		}, 10, false},
		{"a target of another hall was connected to since", func(h *Halls) {
			failAll(h, 0, "a", 1, Unconnected)
			h.Connected(at(5), "b", "other")
		}, 10, true},
		{"an open connection to the target works", func(h *Halls) {
			failAll(h, 0, "a", 1, Unconnected)
			h.Start(at(5), "a", "i-0")
			h.End(at(6), "a", "i-0", true)
		}, 10, true},
		{"the hall is back", func(h *Halls) {
			failAll(h, 0, "a", 3, Unconnected)
			h.Reset()
		}, 10, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHalls("a", "b")
			c.setUp(h)
			require.Equal(t, c.want, h.MayBeLost(at(c.ms)))
		})
	}
}
