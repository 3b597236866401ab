package gateway

import (
	"context"

	"github.com/rainford/rainford/catalog"
	"github.com/rainford/rainford/upstream"
)

// cancelable is a context with its cancel function.
type cancelable struct {
	context.Context
	cancel context.CancelFunc
}

// exchangeContext returns the context in which a request waits for the response of a target. One that may
// run more than once ends its wait if the target's hall is lost. Others wait on, since the response may still
// arrive if the fault is short.
func (g *Gateway) exchangeContext(ex *exchange, target upstream.Choice) context.Context {
	if ex.route.Kind != catalog.Idempotent || ex.isTrial() {
		return nil
	}
	return g.reach.halls.exchangeContext(target.Hall)
}

// dialContext returns the context of connections that are opened to a hall for requests. It ends with
// parent, too.
func (h *hallLinks) dialContext(parent context.Context, hall string) context.Context {
	return h.contextOf(h.dialing, parent, hall)
}

// exchangeContext returns the context of requests that wait for a response of a hall and may be sent to
// another target in its place.
func (h *hallLinks) exchangeContext(hall string) context.Context {
	return h.contextOf(h.exchanging, context.Background(), hall)
}

func (h *hallLinks) contextOf(contexts map[string]cancelable, parent context.Context, hall string) context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, ok := contexts[hall]
	if !ok || parent.Err() == nil && c.Err() != nil {
		c.Context, c.cancel = context.WithCancel(parent)
		contexts[hall] = c
	}
	return c
}

// cancelIn cancels and replaces the context of a hall.
func (h *hallLinks) cancelIn(contexts map[string]cancelable, hall string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, ok := contexts[hall]
	delete(contexts, hall)
	if ok {
		c.cancel()
	}
}

// closeIdleIn closes the idle connections to the targets of a hall.
func (g *Gateway) closeIdleIn(hall string) {
	for _, t := range g.targetsByHall()[hall] {
		g.targets.CloseIdleTo(t.ID, t.Addr)
	}
}
