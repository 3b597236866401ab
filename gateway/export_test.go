package gateway

import (
	"net"

	"github.com/rainford/rainford/forward"
)

// IsReader reports whether the named instance reads the targets from the store when it starts.
var IsReader = isReader

// WrapFront wraps the listener for clients. It must be called before Run.
func (g *Gateway) WrapFront(wrap func(net.Listener) net.Listener) {
	g.listeners.front = wrap(g.listeners.front)
}

// SetTargetDialer replaces the way in which connections to targets are opened. It must be called
// before Run.
func (g *Gateway) SetTargetDialer(dial forward.Dialer) { g.targets.SetDialer(dial) }
