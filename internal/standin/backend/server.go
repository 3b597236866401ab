package backend

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rainford/rainford/protocol"
)

// Settings determine the behavior of a target. Those of type float64, except ColdFactor, are probabilities of
// a fault per request, between 0 and 1.
type Settings struct {
	Slots       int           `json:"slots"`
	ServiceTime time.Duration `json:"service_time"`
	// ColdRuns is the number of requests until a cold target is warm. The
	// service time falls linearly over these requests from about ColdFactor
	// times ServiceTime to ServiceTime.
	ColdRuns   int     `json:"cold_runs"`
	ColdFactor float64 `json:"cold_factor"`
	// Shed refuses requests when no slot is free. Without Shed, they wait.
	Shed bool `json:"shed"`
	// Draining refuses all new requests and announces it in a header.
	Draining bool `json:"draining"`
	// AlwaysHealthy makes health checks succeed while the target is draining.
	AlwaysHealthy bool `json:"lie_health"`
	// DropBefore closes the connection before the request is run, DropDuring
	// after the run and before the response, and DropAfter in the middle of the
	// response.
	DropBefore float64 `json:"drop_before"`
	DropDuring float64 `json:"drop_during"`
	DropAfter  float64 `json:"drop_after"`
	// Refuse refuses the request with a header that states that it was not run.
	Refuse float64 `json:"refuse"`
}

// Paths of the control interface, which changes settings and returns the counts of runs.
const (
	SettingsPath = "/control/settings"
	RunsPath     = "/control/runs"
)

// Server is the stand-in for one target. It is safe for concurrent use.
type Server struct {
	id   string
	runs *Runs

	mu          sync.Mutex
	settings    Settings
	served      int
	inFlight    int
	outstanding int
	peak        int
	lastStart   time.Time
}

// NewServer returns a target with the given name, which counts its runs in runs. Targets may share runs.
func NewServer(id string, settings Settings, runs *Runs) *Server {
	return &Server{id: id, runs: runs, settings: settings}
}

// UpdateSettings calls change with the settings, which it may modify.
func (s *Server) UpdateSettings(change func(*Settings)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.settings)
}

// ResetWarmup makes the target cold, as after a start.
func (s *Server) ResetWarmup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served = 0
}

// LastStart returns the time at which a request last acquired a slot.
func (s *Server) LastStart() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastStart
}

// PeakRequests returns the largest number of requests that were at the target
// concurrently, including refused and waiting ones.
func (s *Server) PeakRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// InFlight returns the number of slots in use.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// Handler returns the handler of the target's interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("/", s.serve)
	return mux
}

// ControlHandler returns the handler of the control interface.
func (s *Server) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+SettingsPath, func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		next := s.settings
		err := json.NewDecoder(io.LimitReader(r.Body, 4<<10)).Decode(&next)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.settings = next
	})
	mux.HandleFunc("GET "+RunsPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.runs.Summary())
	})
	return mux
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	settings := s.currentSettings()
	if settings.Draining && !settings.AlwaysHealthy {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, map[string]int{"in_flight": s.inFlight, "slots": s.settings.Slots})
}

func (s *Server) currentSettings() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

func (s *Server) addOutstanding(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding += by
	s.peak = max(s.peak, s.outstanding)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.addOutstanding(1)
	defer s.addOutstanding(-1)
	settings := s.currentSettings()
	if settings.Draining {
		w.Header().Set(protocol.HeaderDraining, protocol.FlagSet)
		refuse(w, "draining")
		return
	}
	if chance(settings.Refuse) {
		refuse(w, "refused")
		return
	}
	if !s.acquireSlot(r, settings.Shed) {
		refuse(w, "no slot is free")
		return
	}
	defer s.releaseSlot()
	if chance(settings.DropBefore) {
		panic(http.ErrAbortHandler)
	}
	s.run(w, r, settings)
}

// slotPollInterval is the interval at which waiting requests check for a free slot.
const slotPollInterval = time.Millisecond

// acquireSlot acquires a slot. Unless shed is set, it waits for one until the request is canceled. It returns
// whether it has a slot.
func (s *Server) acquireSlot(r *http.Request, shed bool) bool {
	for !s.tryAcquireSlot() {
		if shed {
			return false
		}
		select {
		case <-time.After(slotPollInterval):
		case <-r.Context().Done():
			return false
		}
	}
	return true
}

func (s *Server) tryAcquireSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= s.settings.Slots {
		return false
	}
	s.inFlight++
	s.lastStart = time.Now()
	return true
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// run executes the request. It counts the run before the service time begins,
// since a client that disconnects later can't undo it.
func (s *Server) run(w http.ResponseWriter, r *http.Request, settings Settings) {
	sum := sha256.New()
	n, err := io.Copy(sum, r.Body)
	if err != nil {
		return
	}
	s.runs.add(r.Header.Get(protocol.HeaderIdempotencyKey))
	select {
	case <-time.After(s.serviceTime(settings)):
	case <-r.Context().Done():
		return
	}
	if chance(settings.DropDuring) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Target", s.id)
	if text := r.URL.Path; len(text) > len("/blob/") && text[:len("/blob/")] == "/blob/" {
		s.serveBlob(w, text[len("/blob/"):], settings)
		return
	}
	body := fmt.Sprintf(`{"target":%q,"id":%q,"bytes":%d,"sha256":%q}`, s.id, r.Header.Get(protocol.HeaderRequestID), n, hex.EncodeToString(sum.Sum(nil)))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if chance(settings.DropAfter) {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

func (s *Server) serviceTime(settings Settings) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served++
	if s.served <= settings.ColdRuns {
		// The extra time decreases linearly with the number of requests served.
		remaining := float64(settings.ColdRuns-s.served) / float64(settings.ColdRuns)
		return time.Duration(float64(settings.ServiceTime) * (1 + (settings.ColdFactor-1)*remaining))
	}
	return settings.ServiceTime
}

const blobChunkBytes = 32 << 10

// Blob returns the body of a large response of size bytes, for comparison.
func Blob(size int) []byte {
	out := make([]byte, size)
	src := rand.New(rand.NewPCG(uint64(size), 1))
	for i := range out {
		out[i] = byte(src.Uint32())
	}
	return out
}

// serveBlob sends a body of the given size in chunks, without a Content-Length.
func (s *Server) serveBlob(w http.ResponseWriter, text string, settings Settings) {
	size, err := strconv.Atoi(text)
	if err != nil || size < 0 || size > 64<<20 {
		http.Error(w, "bad size", http.StatusBadRequest)
		return
	}
	drop := chance(settings.DropAfter)
	data := Blob(size)
	control := http.NewResponseController(w)
	for off := 0; off < size; off += blobChunkBytes {
		_, err := w.Write(data[off:min(off+blobChunkBytes, size)])
		if err != nil {
			return
		}
		_ = control.Flush()
		if drop && off > size/2 {
			panic(http.ErrAbortHandler)
		}
	}
}

func refuse(w http.ResponseWriter, text string) {
	w.Header().Set(protocol.HeaderNotRun, protocol.FlagSet)
	w.Header().Set("Retry-After", "1")
	http.Error(w, text, http.StatusServiceUnavailable)
}

func chance(p float64) bool { return p > 0 && rand.Float64() < p }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
