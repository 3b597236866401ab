package gateway

import (
	"context"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/feed"
)

// configCodec decodes a configuration that has a version and nothing else.
type configCodec struct {
	Codec
	version catalog.Version
}

func (c configCodec) Config(string, []byte) (*catalog.Config, error) {
	return &catalog.Config{Version: c.version}, nil
}

// messageHook is a log handler that calls a function for each line.
type messageHook struct {
	slog.Handler
	call func(message string)
}

func (h messageHook) Enabled(context.Context, slog.Level) bool { return true }

func (h messageHook) Handle(_ context.Context, r slog.Record) error {
	h.call(r.Message)
	return nil
}

// TestConfigLineBeforeUse checks that the line on a configuration is written before requests are
// judged by the configuration. Otherwise the line of a request may precede it, and rainford explain
// shows an older configuration as the cause of the request's result.
func TestConfigLineBeforeUse(t *testing.T) {
	g := newTestGateway(t)
	lines := 0
	g.log = slog.New(messageHook{Handler: slog.DiscardHandler, call: func(message string) {
		if message != logConfig {
			return
		}
		lines++
		used := catalog.Version(0)
		if r := g.router.Load(); r != nil {
			used = r.Config().Version
		}
		require.Equal(t, catalog.Version(lines-1), used)
	}})
	for version := catalog.Version(1); version <= 3; version++ {
		g.codec = configCodec{version: version}
		g.applyConfig(feed.Change{}, provenance{})
		require.Equal(t, version, g.router.Load().Config().Version)
	}
	require.Equal(t, 3, lines)
}
