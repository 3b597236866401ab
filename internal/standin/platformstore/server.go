package platformstore

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rainford/rainford/objectstore"
)

// Paths of the control interface, which sets faults and returns counts.
const (
	FaultsPath = "/control/faults"
	CountsPath = "/control/counts"
)

const maxWait = time.Minute

// Server serves the platform's HTTP interface for a Store. Servers of the same
// Store share the requests counted against its rate limits. Each server has its
// own faults and counts.
type Server struct {
	store  *Store
	limits Limits

	mu     sync.Mutex
	faults Faults
	counts Counts
}

// NewServer returns a server of store with the given rate limits.
func NewServer(store *Store, limits Limits) *Server {
	return &Server{store: store, limits: limits}
}

// SetFaults replaces the faults. Waiting watches apply them at once.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	s.store.WakeWatches()
}

// Counts returns the counts of requests since the start.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Handler returns the handler of the store's interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objectstore.ObjectsPath+"{key...}", s.readHandler(s.get))
	mux.HandleFunc("GET "+objectstore.ListPath, s.readHandler(s.list))
	mux.HandleFunc("GET "+objectstore.WatchPath, s.readHandler(s.watch))
	mux.HandleFunc("PUT "+objectstore.ObjectsPath+"{key...}", s.writeHandler(s.put))
	mux.HandleFunc("DELETE "+objectstore.ObjectsPath+"{key...}", s.writeHandler(s.delete))
	return mux
}

// ControlHandler returns the handler of the control interface. It is meant to
// be served on a separate address.
func (s *Server) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+FaultsPath, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		err := json.NewDecoder(io.LimitReader(r.Body, 4<<10)).Decode(&f)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET "+CountsPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Counts())
	})
	return mux
}

func (s *Server) readHandler(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.updateCounts(func(c *Counts) { c.Reads++ })
		if s.admit(w, r, &s.store.reads, s.limits.Reads) {
			next(w, r)
		}
	}
}

func (s *Server) writeHandler(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.updateCounts(func(c *Counts) { c.Writes++ })
		if s.admit(w, r, &s.store.writes, s.limits.Writes) {
			next(w, r)
		}
	}
}

func (s *Server) admit(w http.ResponseWriter, r *http.Request, m *rateLimiter, limit int) bool {
	w.Header().Set(objectstore.EraHeader, strconv.FormatInt(s.store.Era(), 10))
	f := s.currentFaults()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
			return false
		}
	}
	if f.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	if !m.allow(time.Now(), limit) {
		s.updateCounts(func(c *Counts) { c.Limited++ })
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return false
	}
	return true
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) updateCounts(f func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counts)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	obj, ok := s.store.Get(r.PathValue("key"), s.currentFaults().StaleReads)
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, obj)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.store.List(r.URL.Query().Get("prefix")))
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.updateCounts(func(c *Counts) { c.Watches++ })
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait > maxWait {
		wait = maxWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	era := s.store.Era()
	for {
		listing, changed := s.store.Changes(query["prefix"], after)
		if s.store.Era() != era {
			w.Header().Set(objectstore.EraHeader, strconv.FormatInt(s.store.Era(), 10))
		}
		if len(listing.Objects) > 0 {
			if s.currentFaults().StaleReads {
				listing.Objects = append(listing.Objects, s.store.Previous(query["prefix"])...)
			}
			writeJSON(w, http.StatusOK, listing)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, listing)
			return
		case <-r.Context().Done():
			return
		}
		if s.currentFaults().Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
	}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var req objectstore.WriteRequest
	err := json.NewDecoder(io.LimitReader(r.Body, 2*objectstore.MaxValueBytes)).Decode(&req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(req.Value) > objectstore.MaxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	obj, ok := s.store.Put(r.PathValue("key"), req.Version, req.Value)
	s.respondToWrite(w, obj, ok)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "version: "+err.Error(), http.StatusBadRequest)
		return
	}
	obj, ok := s.store.Delete(r.PathValue("key"), version)
	s.respondToWrite(w, obj, ok)
}

func (s *Server) respondToWrite(w http.ResponseWriter, obj objectstore.Object, ok bool) {
	if s.consumeLostReply() {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		s.updateCounts(func(c *Counts) { c.Conflicts++ })
		writeJSON(w, http.StatusConflict, obj)
		return
	}
	writeJSON(w, http.StatusOK, obj)
}

func (s *Server) consumeLostReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseReplies == 0 {
		return false
	}
	s.faults.LoseReplies--
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, strings.ToValidUTF8(err.Error(), "?"), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
