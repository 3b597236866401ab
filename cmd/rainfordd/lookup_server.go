package main

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/internal/listen"
	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/platform"
	"github.com/rainford/rainford/resolver"
)

const (
	// lookupCallTimeout bounds the reading and writing of one look-up of a client, who waits for
	// one second.
	lookupCallTimeout = 2 * time.Second
	lookupIdleTimeout = 30 * time.Second
	// maxLookupHeader bounds the header of a look-up in bytes.
	maxLookupHeader = 8 << 10
	// lookupStopTime bounds the end of the requests in flight. It is longer than a fetch, and leaves
	// time for an exit within one second.
	lookupStopTime = 700 * time.Millisecond
)

// Results of look-ups, as label values.
const (
	lookupAnswered    = "answered"
	lookupUnavailable = "unavailable"
	lookupNotFound    = "not-found"
)

// lookupServer answers the look-ups of clients from the responses of instances.
type lookupServer struct {
	settings  *lookupSettings
	codec     platform.Codec
	clock     *clock.Clock
	log       *slog.Logger
	instances *instanceClient
	metrics   *lookupMetrics
	listeners []net.Listener

	mu    sync.Mutex
	cache *resolver.Cache
	rand  *rand.Rand
	// fetches holds a channel for each fetch in progress, which is closed at its end.
	fetches map[resolver.Query]chan struct{}
	// source is the kind of instance that the last fetch got a response from.
	source fetchSource
}

// newLookupServer creates a server and opens its listeners.
func newLookupServer(s *lookupSettings, c *clock.Clock, log *slog.Logger) (*lookupServer, error) {
	cache, err := resolver.New(s.instance)
	if err != nil {
		return nil, err
	}
	server := &lookupServer{
		settings:  s,
		clock:     c,
		log:       log,
		instances: newInstanceClient(platform.Codec{}),
		cache:     cache,
		rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		fetches:   make(map[resolver.Query]chan struct{}),
	}
	addrs := []string{s.listen}
	if s.adminListen != "" {
		addrs = append(addrs, s.adminListen)
		server.metrics, err = newLookupMetrics(server)
		if err != nil {
			return nil, err
		}
	}
	server.listeners, err = listen.All(addrs...)
	return server, err
}

// run serves until ctx is done. It then closes the listeners, waits for the requests in flight and
// returns nil. The error is that of a listener that failed.
func (s *lookupServer) run(ctx context.Context) error {
	handlers := []http.Handler{s}
	if s.metrics != nil {
		handlers = append(handlers, s.metrics.telemetry.Handler())
	}
	var servers []*http.Server
	failed := make(chan error, len(s.listeners))
	for i, ln := range s.listeners {
		server := &http.Server{
			Handler:        handlers[i],
			ReadTimeout:    lookupCallTimeout,
			WriteTimeout:   lookupCallTimeout,
			IdleTimeout:    lookupIdleTimeout,
			MaxHeaderBytes: maxLookupHeader,
			ErrorLog:       slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
		}
		servers = append(servers, server)
		go func() { failed <- server.Serve(ln) }()
	}
	s.log.Info("start", "listen", s.listeners[0].Addr().String(), "instance", s.settings.instance)
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	stopServers(servers)
	s.log.Info("stop")
	return err
}

// stopServers stops servers gracefully within lookupStopTime, and closes the connections that are
// left then.
func stopServers(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), lookupStopTime)
	defer cancel()
	var stopping sync.WaitGroup
	for _, server := range servers {
		stopping.Go(func() {
			if server.Shutdown(ctx) != nil {
				_ = server.Close()
			}
		})
	}
	stopping.Wait()
}

// contentType is the value of the header Content-Type of responses. It is shared by all of them, so
// that setting it allocates nothing.
var contentType = []string{"application/json"}

// ServeHTTP implements http.Handler for the look-ups of clients.
func (s *lookupServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	region, hall, ok := s.codec.Lookup(r)
	if !ok {
		s.metrics.countLookup(lookupNotFound)
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body := s.lookup(r.Context(), resolver.Query{Region: region, Hall: hall})
	if body == nil {
		s.metrics.countLookup(lookupUnavailable)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.metrics.countLookup(lookupAnswered)
	w.Header()["Content-Type"] = contentType
	_, _ = w.Write(body)
}

// lookup returns the response to a look-up, or nil if there is none. It waits for a fetch if the
// cache says so, until ctx ends at the latest.
func (s *lookupServer) lookup(ctx context.Context, q resolver.Query) []byte {
	s.mu.Lock()
	answer := s.cache.Lookup(q, s.clock.Now())
	if answer.Fetch {
		s.fetches[q] = make(chan struct{})
		go s.fetch(q)
	}
	done := s.fetches[q]
	s.mu.Unlock()
	if !answer.Wait {
		return answer.Body
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cache.Last(q, s.clock.Now())
}

// fetch asks the candidates one after another for a response, in rounds until one of them responds or
// fetchTimeout has passed. Instances that start at the same time as this process have no response for a
// moment, and a client that is refused looks up again only after seconds.
func (s *lookupServer) fetch(q resolver.Query) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	for {
		failure, done := s.fetchOnce(ctx, q)
		if done {
			return
		}
		pause.For(ctx, fetchRoundInterval)
		if ctx.Err() != nil {
			s.endFetch(q, "", failure, func() { s.cache.Abandon(q, s.clock.Now()) })
			return
		}
	}
}

// fetchOnce asks each candidate once. It reports whether one has responded, and otherwise the errors.
func (s *lookupServer) fetchOnce(ctx context.Context, q resolver.Query) (failure error, done bool) {
	s.mu.Lock()
	candidates := s.cache.Candidates(s.clock.Now(), s.rand)
	s.mu.Unlock()
	var errs []error
	for _, addr := range candidates {
		if ctx.Err() != nil {
			break
		}
		askedAt := s.clock.Now()
		response, err := s.instances.ask(ctx, addr, q)
		if err == nil {
			s.endFetch(q, addr, errors.Join(errs...), func() { s.cache.Store(q, addr, response, askedAt) })
			return nil, true
		}
		errs = append(errs, err)
		s.recordFailure(addr)
	}
	return errors.Join(errs...), false
}

func (s *lookupServer) recordFailure(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.Failed(addr, s.clock.Now())
}

// endFetch applies the result of a fetch to the cache and wakes the look-ups that wait for it. addr
// is the instance that responded, empty if none did, and failure the errors of the others.
func (s *lookupServer) endFetch(q resolver.Query, addr string, failure error, apply func()) {
	s.mu.Lock()
	apply()
	close(s.fetches[q])
	delete(s.fetches, q)
	source := s.sourceOf(addr)
	changed := source != s.source
	before := s.source
	s.source = source
	s.mu.Unlock()
	s.metrics.countFetch(source)
	if changed {
		s.logSource(source, before, addr, failure)
	}
}

// fetchSource is the kind of instance that a fetch got its response from. It is also the value of a
// label and a field of the log.
type fetchSource string

const (
	sourceOwn   fetchSource = "own"
	sourceOther fetchSource = "other"
	sourceNone  fetchSource = "none"
)

func (s *lookupServer) sourceOf(addr string) fetchSource {
	switch addr {
	case "":
		return sourceNone
	case s.settings.instance:
		return sourceOwn
	default:
		return sourceOther
	}
}

// logSource logs that the responses come from another kind of instance than before.
func (s *lookupServer) logSource(source, before fetchSource, addr string, failure error) {
	level := slog.LevelInfo
	fields := []any{"source", source, "before", before, "addr", addr}
	if failure != nil {
		level = slog.LevelWarn
		fields = append(fields, "error", failure.Error())
	}
	s.log.Log(context.Background(), level, "look-up source", fields...)
}
