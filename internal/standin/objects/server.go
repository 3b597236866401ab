package objects

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// defaultPageSize is the maximum number of items in a page of a list, unless SetPages has set another one.
const defaultPageSize = 50

const maxBody = 1 << 20

type listResponse struct {
	Items []Object `json:"items"`
	More  bool     `json:"more"`
	At    int64    `json:"at"`
}

type watchResponse struct {
	Events []Event `json:"events"`
	At     int64   `json:"at"`
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	faults := s.faults
	s.mu.Unlock()
	w = eraWriter{ResponseWriter: w, store: s}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	time.Sleep(faults.Delay)
	switch {
	case faults.Silent:
		// The request's context ends with the connection only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	case faults.Down || faults.Refuse[host]:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, sub, ok := splitPath(r.URL.Path)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer := &heldAnswer{ResponseWriter: w}
	defer func() {
		if s.losesAnswers() {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		answer.send()
	}()
	w = answer
	if faults.LoseReplies && r.Method != http.MethodGet {
		s.write(discardWriter{header: http.Header{}}, r, kind, name, sub)
		panic(http.ErrAbortHandler)
	}
	if r.Method != http.MethodGet {
		s.write(w, r, kind, name, sub)
		return
	}
	s.read(w, r, kind, name)
}

// losesAnswers reports whether answers are being lost.
func (s *Store) losesAnswers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.LoseAnswers
}

// heldAnswer holds an answer until it is sent, or lost.
type heldAnswer struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader implements http.ResponseWriter.
func (a *heldAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *heldAnswer) Write(p []byte) (int, error) { return a.body.Write(p) }

func (a *heldAnswer) send() {
	if a.status == 0 {
		return
	}
	a.ResponseWriter.WriteHeader(a.status)
	_, _ = a.ResponseWriter.Write(a.body.Bytes())
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

// eraWriter sets the header Store-Era of each response, to the era at the time of WriteHeader
// unless the handler has set it already.
type eraWriter struct {
	http.ResponseWriter
	store *Store
}

// headerEra is the response header that carries the store's era.
const headerEra = "Store-Era"

// WriteHeader implements http.ResponseWriter. The caller may hold the store's mu.
func (w eraWriter) WriteHeader(status int) {
	if w.Header().Get(headerEra) == "" {
		setEra(w, w.store.Era())
	}
	w.ResponseWriter.WriteHeader(status)
}

func setEra(w http.ResponseWriter, era int64) { w.Header().Set(headerEra, strconv.FormatInt(era, 10)) }

// splitPath splits a path /objects/KIND[/NAME[/status]].
func splitPath(path string) (kind, name, sub string, ok bool) {
	rest, ok := strings.CutPrefix(path, "/objects/")
	if !ok || rest == "" {
		return "", "", "", false
	}
	parts := strings.SplitN(rest, "/", 3)
	for len(parts) < 3 {
		parts = append(parts, "")
	}
	return parts[0], parts[1], parts[2], true
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	query := r.URL.Query()
	switch {
	case name != "":
		s.get(w, kind, name)
	case query.Get("watch") != "":
		s.watch(w, r, kind)
	default:
		s.list(w, kind, query.Get("after"), query.Get("stale") != "")
	}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

// list serves a page of a list. A page of a stale one is of an age of its own.
func (s *Store) list(w http.ResponseWriter, kind, after string, stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects, at := s.kinds[kind], s.revision
	if stale && s.maxPageAge > 0 {
		objects, at = s.stateBefore(kind, time.Now().Add(-rand.N(s.maxPageAge)))
	}
	page := listResponse{Items: []Object{}, At: at}
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		if name <= after {
			continue
		}
		if len(page.Items) == s.pageSize {
			page.More = true
			break
		}
		page.Items = append(page.Items, *objects[name])
	}
	writeJSON(w, http.StatusOK, page)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.countWatch(kind, 1)
	defer s.countWatch(kind, -1)
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		events, at, known, changed := s.events(kind, after)
		if !known || len(events) > 0 {
			setEra(w, at.era)
		}
		if !known {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, watchResponse{Events: events, At: at.revision})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			setEra(w, at.era)
			writeJSON(w, http.StatusOK, watchResponse{Events: []Event{}, At: at.revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// write serves a POST, PUT or DELETE request. A PUT or DELETE with a revision other than 0 fails with 409 if
// the object is at another revision.
func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name, sub string) {
	var body Object
	if r.Method != http.MethodDelete {
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		s.create(w, kind, body)
		return
	}
	current := s.kinds[kind][name]
	if current == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	expected := body.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	if expected != 0 && expected != current.Metadata.Revision {
		writeJSON(w, http.StatusConflict, current)
		return
	}
	switch {
	case r.Method == http.MethodDelete:
		s.remove(w, kind, *current)
	case sub == "status":
		next := *current
		next.Status = body.Status
		s.replace(w, kind, current, next)
	default:
		next := *current
		next.Spec, next.Metadata.Finalizers = body.Spec, body.Metadata.Finalizers
		s.replace(w, kind, current, next)
	}
}

func (s *Store) create(w http.ResponseWriter, kind string, body Object) {
	if current := s.kinds[kind][body.Metadata.Name]; current != nil {
		writeJSON(w, http.StatusConflict, current)
		return
	}
	o := Object{Metadata: Metadata{Name: body.Metadata.Name, Finalizers: body.Metadata.Finalizers}, Spec: body.Spec}
	writeJSON(w, http.StatusCreated, s.commit(kind, o))
}

// replace stores next, unless it equals the current object. It removes an object that is marked as deleting
// and has no finalizers left.
func (s *Store) replace(w http.ResponseWriter, kind string, current *Object, next Object) {
	same := bytes.Equal(current.Spec, next.Spec) && bytes.Equal(current.Status, next.Status) &&
		slices.Equal(current.Metadata.Finalizers, next.Metadata.Finalizers)
	if same {
		writeJSON(w, http.StatusOK, current)
		return
	}
	if next.Metadata.Deleting && len(next.Metadata.Finalizers) == 0 {
		s.erase(kind, next)
		writeJSON(w, http.StatusOK, next)
		return
	}
	writeJSON(w, http.StatusOK, s.commit(kind, next))
}

func (s *Store) remove(w http.ResponseWriter, kind string, current Object) {
	if len(current.Metadata.Finalizers) > 0 {
		current.Metadata.Deleting = true
		writeJSON(w, http.StatusOK, s.commit(kind, current))
		return
	}
	s.erase(kind, current)
	writeJSON(w, http.StatusOK, current)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
