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

// Settings are what a target does. The faults are chances between 0 and 1.
type Settings struct {
	Slots       int           `json:"slots"`
	ServiceTime time.Duration `json:"service_time"`
	// ColdRuns is the number of requests after the start that a cold target
	// takes ColdFactor times as long for.
	ColdRuns   int     `json:"cold_runs"`
	ColdFactor float64 `json:"cold_factor"`
	// Shed refuses work beyond the slots; without it such work queues up.
	Shed bool `json:"shed"`
	// Draining refuses all new work.
	Draining bool `json:"draining"`
	// AlwaysHealthy says "ok" while draining or faulty.
	AlwaysHealthy bool `json:"lie_health"`
	// DropBefore breaks the connection before the work, DropDuring after it
	// and before an answer, DropAfter in the middle of the answer.
	DropBefore float64 `json:"drop_before"`
	DropDuring float64 `json:"drop_during"`
	DropAfter  float64 `json:"drop_after"`
	// Refuse refuses work explicitly.
	Refuse float64 `json:"refuse"`
}

// Paths of the control interface.
const (
	SettingsPath = "/control/settings"
	RunsPath     = "/control/runs"
)

// Server is one target.
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

// NewServer returns the target called id. Runs may be shared.
func NewServer(id string, settings Settings, runs *Runs) *Server {
	return &Server{id: id, runs: runs, settings: settings}
}

// UpdateSettings changes the settings.
func (s *Server) UpdateSettings(change func(*Settings)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.settings)
}

// ResetWarmup makes the target cold again.
func (s *Server) ResetWarmup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served = 0
}

// LastStart returns when the target last took new work.
func (s *Server) LastStart() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastStart
}

// PeakRequests returns the most requests that were sent to the target at a time,
// refused and waiting ones included.
func (s *Server) PeakRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// InFlight returns the requests in flight.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// Handler returns the target's interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("/", s.serve)
	return mux
}

// ControlHandler returns the interface that changes settings and tells what
// ran.
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

// slotPollInterval is how often work that waits looks for a free slot.
const slotPollInterval = time.Millisecond

// acquireSlot takes a slot, waiting for one if the target does not shed.
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

// run does the work. It counts the run before it works, since a caller that
// goes away in the middle can't undo it.
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
		// Warmth grows with the work done.
		remaining := float64(settings.ColdRuns-s.served) / float64(settings.ColdRuns)
		return time.Duration(float64(settings.ServiceTime) * (1 + (settings.ColdFactor-1)*remaining))
	}
	return settings.ServiceTime
}

const blobChunkBytes = 32 << 10

// Blob returns the bytes of an answer of size bytes, for comparing.
func Blob(size int) []byte {
	out := make([]byte, size)
	src := rand.New(rand.NewPCG(uint64(size), 1))
	for i := range out {
		out[i] = byte(src.Uint32())
	}
	return out
}

// serveBlob answers without a length, in chunks.
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
