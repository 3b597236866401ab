package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rainford/rainford/pipelining"
)

const (
	// lingerFraction is the part of the grace for which a stopping instance goes
	// on taking requests of clients that have not heard of its stop.
	lingerFraction = 0.4
	// exitFraction is the part of the grace that is kept for ending the process:
	// its log is written out, on a machine that may be slow.
	exitFraction = 0.07
	// callTimeout bounds the small calls of look-ups, readiness and operators.
	callTimeout = 2 * time.Second
)

// serveClients opens the HTTP servers.
func (g *Gateway) serveClients() {
	errorLog := slog.NewLogLogger(g.log.Handler(), slog.LevelDebug)
	g.frontServer = &http.Server{
		Handler:           g,
		ReadHeaderTimeout: headerTimeoutMarker,
		IdleTimeout:       idleTimeoutMarker,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          errorLog,
	}
	g.clientListener = pipelining.NewListener(g.frontServer, limitedListener{g.listeners.front, g}, pipeliningLimits)
	g.startServer(g.frontServer, g.clientListener)
	small := func(h http.Handler) *http.Server {
		return &http.Server{Handler: h, ReadTimeout: callTimeout, WriteTimeout: callTimeout, IdleTimeout: defaultIdleTimeout, ErrorLog: errorLog}
	}
	g.startServer(small(http.HandlerFunc(g.serveLookup)), g.listeners.lookup)
	g.startServer(small(http.HandlerFunc(g.serveReady)), g.listeners.ready)
	g.startServer(small(g.adminHandler()), g.listeners.admin)
}

func (g *Gateway) startServer(server *http.Server, ln net.Listener) {
	go func() {
		err := server.Serve(ln)
		if !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("listener", "addr", ln.Addr().String(), "error", err.Error())
		}
	}()
}

// stop ends the instance as planned: it tells the platform and the others that
// it is leaving, serves on while clients hear of it, then takes no new requests
// and waits for those in flight.
func (g *Gateway) stop() {
	began := time.Now()
	g.leaving.Store(true)
	g.log.Info(logLeaving, "grace_ms", g.config.Grace.Milliseconds(), "in_flight", g.inFlight.Load())
	g.gossip(g.clock.Now(), true)
	linger := time.Duration(lingerFraction * float64(g.config.Grace))
	time.Sleep(linger)
	g.refusing.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(time.Duration((1-exitFraction)*float64(g.config.Grace))))
	defer cancel()
	err := g.frontServer.Shutdown(ctx)
	g.log.Info(logStop, "took_ms", time.Since(began).Milliseconds(), "in_flight", g.inFlight.Load(), "cut", err != nil)
}
