package gateway

import "net"

// IsReader reports whether the named instance reads the targets from the store when it starts.
var IsReader = isReader

// WrapFront wraps the listener for clients. It must be called before Run.
func (g *Gateway) WrapFront(wrap func(net.Listener) net.Listener) {
	g.listeners.front = wrap(g.listeners.front)
}

// Preconnect opens a connection to each target of a hall and keeps it, as for a request that is then sent elsewhere.
func (g *Gateway) Preconnect(hall string) {
	for _, t := range g.targetsByHall()[hall] {
		_ = g.connectTo(t)
	}
}
