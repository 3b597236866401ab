package gateway_test

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/gateway"
)

// sharesLine is a log line on the shares of regions.
type sharesLine struct {
	Message   string                 `json:"msg"`
	Service   string                 `json:"service"`
	Divisions []gateway.RegionShares `json:"divisions"`
}

// TestSharesAreLogged checks that the log shows a move of traffic between regions with the slots that
// caused it, and that the status shows the shares in force. Without it, the cause of a move at the end
// of a day cannot be told from the log.
func TestSharesAreLogged(t *testing.T) {
	s := newSite(t)
	s.configure(1, route{prefix: "/", service: "s", kind: "idempotent"})
	s.server("i-a", "s", "a1")
	lines := make(chan []byte, 4096)
	in := s.instance("n1", "a1", func(c *gateway.Config) { c.Log = slog.New(slog.NewJSONHandler(lineWriter(lines), nil)) })
	in.awaitReady()
	in.awaitStatus("/", http.StatusOK)
	next := func(found func(gateway.RegionShares) bool) {
		require.Eventually(t, func() bool {
			in.send("GET", "/", "")
			for {
				select {
				case raw := <-lines:
					var line sharesLine
					require.NoError(t, json.Unmarshal(raw, &line))
					if line.Message != "shares" {
						continue
					}
					require.Equal(t, "s", line.Service)
					if found(line.Divisions[0]) {
						return true
					}
				default:
					return false
				}
			}
		}, wait, poll)
	}
	next(func(d gateway.RegionShares) bool { return d.InForce["a"] == 1 && d.Slots["a"] == 3 && !d.Moving })
	for _, id := range []string{"i-b1", "i-b2", "i-b3"} {
		s.server(id, "s", "b1")
	}
	next(func(d gateway.RegionShares) bool {
		return d.InForce["b"] >= 0.01 && d.InForce["b"] < 0.5 && d.Wanted["b"] == 0.5 && d.Slots["b"] == 9 && d.Moving
	})

	resp, err := http.Get("http://" + in.config.AdminListen + gateway.StatusPath)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var status gateway.Status
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&status))
	require.Len(t, status.Shares, 1)
	require.Equal(t, "s", status.Shares[0].Service)
	require.InDelta(t, 1, status.Shares[0].InForce["a"]+status.Shares[0].InForce["b"], 1e-3)
}

// lineWriter sends each line that is written to a channel. It drops lines while the channel is full.
type lineWriter chan<- []byte

func (w lineWriter) Write(line []byte) (int, error) {
	select {
	case w <- append([]byte(nil), line...):
	default:
	}
	return len(line), nil
}
