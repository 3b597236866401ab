package origin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rainford/rainford/internal/loopback"
)

// Fault is what a server does wrong with one request.
type Fault int

// The faults.
const (
	// None runs the request and answers.
	None Fault = iota
	// Shed answers that the request was not run.
	Shed
	// Surplus runs the request and sends a second answer to it behind the
	// first.
	Surplus
	// Foreign sends an answer to another request first. What the server says of itself is
	// in that one alone.
	Foreign
	// Unframed answers without a length and ends the connection.
	Unframed
	// UnframedReset does so and resets the connection midway.
	UnframedReset
	// Cut ends the connection in the middle of the answer.
	Cut
	// Garbage sends bytes that are no answer.
	Garbage
	// LostResponse runs the request and ends the connection without an answer.
	LostResponse
	// Silent runs the request and says nothing.
	Silent
	// EarlyRefusal refuses the request before its body is in, and reads on later.
	EarlyRefusal
	// Unsigned answers with success and no signature.
	Unsigned
	// Failed runs the request and answers 500.
	Failed
	// Crash runs the request and ends the server with all that it has, as a crash does.
	Crash
	// Stalled sends the head and half of the answer, and then nothing more.
	Stalled
	// Unmarked503 runs the request and answers 503 all the same, without a word that it did
	// not run.
	Unmarked503
)

// Run is a request that was run.
type Run struct {
	ID, Method, URI string
	Body            []byte
}

// Arrival is a request that has reached a server.
type Arrival struct {
	Server *Server
	At     time.Time
	Run
	Header http.Header
	// Executed is false if the server turned the request away, and Asks the rest that it then
	// asked for, 0 for none.
	Executed   bool
	RetryAfter time.Duration
}

// Server is one incarnation. It is safe for concurrent use.
type Server struct {
	// ID is the incarnation's, and Zone the place that it records.
	ID, Service, Zone string
	Slots             int
	// ServiceTime is how long a run takes.
	ServiceTime time.Duration

	listener net.Listener
	mu       sync.Mutex
	script   func(*http.Request) Fault
	runs     []Run
	observe  func(Arrival)
	// crashes tells which requests end the server, and ended is told of the first.
	crashes func(*http.Request) bool
	onCrash func(Run)
	// shedStatus is the status line's end of answers to requests that are turned away.
	shedStatus string
	// refuseUntil is until when everything is turned away, and asks the rest asked for.
	refuseUntil time.Time
	retryAfter  time.Duration
	// extraHeaders returns more header lines of the answer to a request.
	extraHeaders func(*http.Request) string
	crashOnce    sync.Once
	conns        map[net.Conn]bool
	accepted     int
	canceled     int
}

// Start returns a server on a port of its own on the loopback address of the process.
func Start(id, service, zone string, slots int) (*Server, error) {
	ln, err := net.Listen("tcp", loopback.Host()+":0")
	if err != nil {
		return nil, fmt.Errorf("origin: %w", err)
	}
	s := &Server{ID: id, Service: service, Zone: zone, Slots: slots, listener: ln, shedStatus: "503 Service Unavailable", conns: make(map[net.Conn]bool)}
	go s.accept()
	return s, nil
}

// Addr is IP:PORT.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetScript sets what decides on the fault of each request.
func (s *Server) SetScript(script func(*http.Request) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = script
}

// SetCrash sets which requests end the server when it runs them, and what is told of the
// first of them before the server ends.
func (s *Server) SetCrash(crashes func(*http.Request) bool, onCrash func(Run)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes, s.onCrash = crashes, onCrash
}

// SetShedStatus sets the status, such as "429 Too Many Requests", of answers to requests that
// are turned away.
func (s *Server) SetShedStatus(status string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedStatus = status
}

func (s *Server) currentShedStatus() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shedStatus
}

// SetRetryAfter has the server turn away everything until a time, and ask for a rest of some length
// each time.
func (s *Server) SetRetryAfter(until time.Time, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseUntil, s.retryAfter = until, retryAfter
}

// currentRetryAfter returns the rest that the server asks for now, 0 for none.
func (s *Server) currentRetryAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.refuseUntil) {
		return 0
	}
	return s.retryAfter
}

// SetExtraHeaders sets what returns more header lines of the answer to a request, whatever the answer
// is. Each line ends with "\r\n".
func (s *Server) SetExtraHeaders(extraHeaders func(*http.Request) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extraHeaders = extraHeaders
}

// extraHeaderLines returns the header lines that every answer to a request has.
func (s *Server) extraHeaderLines(req *http.Request) string {
	s.mu.Lock()
	extraHeaders := s.extraHeaders
	s.mu.Unlock()
	if extraHeaders == nil {
		return ""
	}
	return extraHeaders(req)
}

// SetObserver sets what is told of each request that arrives, before it is
// answered.
func (s *Server) SetObserver(observe func(Arrival)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = observe
}

// SetServiceTime sets how long a run takes.
func (s *Server) SetServiceTime(work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ServiceTime = work
}

func (s *Server) notifyArrival(req *http.Request, a Arrival) {
	s.mu.Lock()
	observe := s.observe
	s.mu.Unlock()
	if observe == nil {
		return
	}
	a.Server, a.At, a.Header = s, time.Now(), req.Header
	a.ID, a.Method, a.URI = req.Header.Get("Request-Id"), req.Method, req.RequestURI
	observe(a)
}

// Runs returns the requests run so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Accepted returns the number of connections accepted.
func (s *Server) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// Canceled returns the number of runs whose connection ended first.
func (s *Server) Canceled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canceled
}

// ResetConnections resets all connections.
func (s *Server) ResetConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		resetConn(c)
	}
}

// Close ends the server.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.ResetConnections()
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.accepted++
		s.mu.Unlock()
		go func() {
			s.serve(c)
			_ = c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

func (s *Server) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil || !s.serveRequest(c, req) {
			return
		}
	}
}

func (s *Server) fault(req *http.Request) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.crashes != nil && s.crashes(req):
		return Crash
	case s.script == nil:
		return None
	default:
		return s.script(req)
	}
}

// serveRequest serves one request. It reports whether the connection goes on.
func (s *Server) serveRequest(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("Request-Id")
	lines := s.extraHeaderLines(req)
	if expected := req.Header.Get("Expected-Instance"); expected != "" && expected != s.ID {
		_, _ = io.Copy(io.Discard, req.Body)
		return writeResponse(c, "421 Misdirected Request", "Instance-Id: "+s.ID+"\r\n"+lines, "") == nil
	}
	fault, retryAfter := s.fault(req), s.currentRetryAfter()
	if retryAfter > 0 {
		fault = Shed
		lines += fmt.Sprintf("Retry-After: %g\r\n", retryAfter.Seconds())
	}
	switch fault {
	case Shed:
		_, _ = io.Copy(io.Discard, req.Body)
		s.notifyArrival(req, Arrival{RetryAfter: retryAfter})
		return writeResponse(c, s.currentShedStatus(), "Not-Executed: 1\r\nRequest-Id: "+id+"\r\n"+lines, "") == nil
	case EarlyRefusal:
		_ = writeResponse(c, "413 Request Entity Too Large", s.headers(id)+lines, "no")
		time.Sleep(50 * time.Millisecond)
		_, err := io.Copy(io.Discard, req.Body)
		return err == nil
	case Garbage:
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = c.Write([]byte("@@ not http @@\r\n\r\n"))
		return false
	case Foreign:
		_ = writeResponse(c, "200 OK", s.headers("other")+lines, "other's")
		lines = ""
	default:
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	s.notifyArrival(req, Arrival{Run: Run{Body: body}, Executed: true})
	r := Run{ID: id, Method: req.Method, URI: req.RequestURI, Body: body}
	s.run(r)
	if fault == Crash {
		s.crash(r)
		return false
	}
	return s.respond(c, fault, id, lines)
}

func (s *Server) run(r Run) {
	s.mu.Lock()
	s.runs = append(s.runs, r)
	work := s.ServiceTime
	s.mu.Unlock()
	time.Sleep(work)
}

// crash ends the server under a request.
func (s *Server) crash(r Run) {
	s.mu.Lock()
	onCrash := s.onCrash
	s.mu.Unlock()
	s.crashOnce.Do(func() {
		if onCrash != nil {
			onCrash(r)
		}
	})
	s.Close()
}

func (s *Server) headers(id string) string {
	return fmt.Sprintf("Request-Id: %s\r\nServer-Signature: sig.%s\r\nServer-Load: 1,0,%d\r\n", id, s.ID, s.Slots)
}

// respond sends the answer to a request that was run.
func (s *Server) respond(c net.Conn, fault Fault, id, lines string) bool {
	text := "answer of " + s.ID + " to " + id
	headers := s.headers(id) + lines
	switch fault {
	case LostResponse:
		return false
	case Silent:
		s.awaitClose(c)
		return false
	case Cut, Stalled:
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", headers, len(text))
		_, _ = c.Write([]byte(head + text[:len(text)/2]))
		if fault == Stalled {
			s.awaitClose(c)
		}
		return false
	case Unframed, UnframedReset:
		head := "HTTP/1.1 200 OK\r\n" + headers + "Connection: close\r\n\r\n"
		_, _ = c.Write([]byte(head + text))
		if fault == UnframedReset {
			time.Sleep(20 * time.Millisecond)
			resetConn(c)
		}
		return false
	case Surplus:
		var buf bytes.Buffer
		_ = writeResponse(&buf, "200 OK", headers, text)
		_ = writeResponse(&buf, "200 OK", headers, "again")
		_, err := c.Write(buf.Bytes())
		return err == nil
	case Unsigned:
		return writeResponse(c, "200 OK", "Request-Id: "+id+"\r\n"+lines, text) == nil
	case Unmarked503:
		return writeResponse(c, "503 Service Unavailable", headers, "sorry") == nil
	case Failed:
		return writeResponse(c, "500 Internal Server Error", headers, "failed") == nil
	default:
		return writeResponse(c, "200 OK", headers, text) == nil
	}
}

// awaitClose waits for the end of the connection.
func (s *Server) awaitClose(c net.Conn) {
	var buf [1]byte
	_, _ = c.Read(buf[:])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canceled++
}

func writeResponse(w io.Writer, status, headers, body string) error {
	_, err := fmt.Fprintf(w, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	return err
}
