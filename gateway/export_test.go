package gateway

import "net"

// IsReader tells whether the instance of a name reads the targets from the store when it
// starts.
var IsReader = isReader

// WrapFront changes the listener for clients. It has to be called before Run.
func (g *Gateway) WrapFront(wrap func(net.Listener) net.Listener) {
	g.listeners.front = wrap(g.listeners.front)
}
