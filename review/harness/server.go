//go:build review

package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rainford/rainford/internal/standin/objects"
)

// Reply is what a server does with one request that has reached it.
type Reply struct {
	// Work is how long the request runs.
	Work time.Duration
	// Body is the body of the answer to a request that was run.
	Body []byte
	// SurplusAfter sends the same answer once more after that time, if it is not 0.
	SurplusAfter time.Duration
}

// Server is a server of a service, one process of it. It works on Slots requests at a time, queues a few
// more and rejects the others.
type Server struct {
	ID, Service, Zone string
	Slots, Queue      int
	// Decide chooses the reply to a request. It is called for each request that is not rejected, and also
	// for each that is, with full set.
	Decide func(r *http.Request, full bool) Reply

	record   *Record
	listener net.Listener
	slots    chan struct{}

	mu      sync.Mutex
	running int
	runs    map[string]int
}

// StartServer starts a server on a free port of a loopback address.
func StartServer(record *Record, ip string, s *Server) (*Server, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.record, s.listener = record, ln
	s.slots = make(chan struct{}, s.Slots)
	s.runs = make(map[string]int)
	go s.accept()
	return s, nil
}

// Addr is the address of the server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Entry is the entry of the server in the store in the given state.
func (s *Server) Entry(state string) objects.Server {
	return objects.Server{Service: s.Service, Address: s.Addr(), Zone: s.Zone, Version: "v1", Slots: s.Slots, State: state, WarmupRemaining: "0ms", Sequence: 1}
}

// Runs returns how often the server has run each request, by ID.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int)
	for id, n := range s.runs {
		out[id] = n
	}
	return out
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	var writing sync.Mutex
	write := func(text []byte) error {
		writing.Lock()
		defer writing.Unlock()
		_, err := c.Write(text)
		return err
	}
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !s.answer(r, len(body), write) {
			return
		}
	}
}

// answer answers one request. It reports whether the connection stays open.
func (s *Server) answer(r *http.Request, length int, write func([]byte) error) bool {
	if r.Method == http.MethodGet && r.RequestURI == "/health" {
		return s.answerHealth(write)
	}
	id := r.Header.Get("Request-Id")
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.ID {
		return write([]byte("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "+s.ID+"\r\nRequest-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")) == nil
	}
	reply, full := s.enter(r)
	s.record.Add("reaches server %s: %s %s %s, body of %d bytes, full %v", s.ID, id, r.Method, r.RequestURI, length, full)
	if full {
		s.record.Add("server %s rejects %s: 503, Not-Executed", s.ID, id)
		return s.send(write, id, []byte("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: "+id+"\r\nContent-Length: 0\r\n\r\n"), reply.SurplusAfter)
	}
	s.slots <- struct{}{}
	s.mu.Lock()
	s.runs[id]++
	n := s.runs[id]
	s.mu.Unlock()
	s.record.Add("server %s runs %s", s.ID, id)
	time.Sleep(reply.Work)
	<-s.slots
	s.leave()
	s.record.Add("server %s has run %s: 200", s.ID, id)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: %s.%s.%d\r\nContent-Length: %d\r\n\r\n", id, s.ID, id, n, len(reply.Body))
	return s.send(write, id, append([]byte(head), reply.Body...), reply.SurplusAfter)
}

// send sends an answer, and sends it again later if that is asked for.
func (s *Server) send(write func([]byte) error, id string, text []byte, surplusAfter time.Duration) bool {
	if write(text) != nil {
		return false
	}
	if surplusAfter > 0 {
		time.AfterFunc(surplusAfter, func() {
			s.record.Add("server %s sends its answer to %s a second time", s.ID, id)
			_ = write(text)
		})
	}
	return true
}

func (s *Server) answerHealth(write func([]byte) error) bool {
	return write([]byte("HTTP/1.1 200 OK\r\nInstance-Id: "+s.ID+"\r\nContent-Length: 0\r\n\r\n")) == nil
}

// enter counts a request and returns its reply, and whether the server is full.
func (s *Server) enter(r *http.Request) (Reply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := s.running >= s.Slots+s.Queue
	reply := s.Decide(r, full)
	if !full {
		s.running++
	}
	return reply, full
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
