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
	// lingerFraction is the fraction of the grace period during which a stopping instance
	// still accepts requests, from clients that have not yet learned of the stop.
	lingerFraction = 0.4
	// exitFraction is the fraction of the grace period that is reserved for the exit of the
	// process, which has to flush its log on a machine that may be slow.
	exitFraction = 0.07
	// callTimeout bounds the reading and writing of look-ups, readiness checks and requests
	// of operators.
	callTimeout = 2 * time.Second
)

// serveClients starts the HTTP servers for clients, look-ups, readiness checks and operators.
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
	g.handoverServer = &http.Server{
		Handler:           http.HandlerFunc(g.serveHandover),
		ReadHeaderTimeout: callTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          errorLog,
	}
	g.startServer(g.handoverServer, g.handoverListener)
	small := func(h http.Handler) *http.Server {
		return &http.Server{Handler: h, ReadTimeout: callTimeout, WriteTimeout: callTimeout, IdleTimeout: defaultIdleTimeout, ErrorLog: errorLog}
	}
	g.startServer(small(http.HandlerFunc(g.serveLookup)), g.listeners.lookup)
	g.startServer(small(http.HandlerFunc(g.serveReady)), g.listeners.ready)
	g.startServer(small(g.adminHandler()), g.listeners.admin)
}

// startServer serves a listener in a new goroutine, until the server is shut down.
func (g *Gateway) startServer(server *http.Server, ln net.Listener) {
	go func() {
		err := server.Serve(ln)
		if !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("listener", "addr", ln.Addr().String(), "error", err.Error())
		}
	}()
}

// stop performs a planned stop. The instance first announces to the platform and to the other
// instances that it is leaving. It continues to serve while clients learn of that. Then it refuses
// new requests and waits for those in flight, until exitFraction of the grace period is left.
// Requests that are still in flight then are cut off when the process exits.
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
	err := errors.Join(g.frontServer.Shutdown(ctx), g.handoverServer.Shutdown(ctx))
	g.log.Info(logStop, "took_ms", time.Since(began).Milliseconds(), "in_flight", g.inFlight.Load(), "cut", err != nil)
}
