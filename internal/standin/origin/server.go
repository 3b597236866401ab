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
	// ends tells which requests end the server, and ended is told of the first.
	ends  func(*http.Request) bool
	ended func(Run)
	// shedStatus is the status line's end of answers to requests that are turned away.
	shedStatus string
	// restUntil is until when everything is turned away, and asks the rest asked for.
	restUntil time.Time
	asks      time.Duration
	// says returns more header lines of the answer to a request.
	says     func(*http.Request) string
	once     sync.Once
	conns    map[net.Conn]bool
	accepted int
	canceled int
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
func (s *Server) SetCrash(ends func(*http.Request) bool, ended func(Run)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends, s.ended = ends, ended
}

// SetShedStatus sets the status, such as "429 Too Many Requests", of answers to requests that
// are turned away.
func (s *Server) SetShedStatus(status string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedStatus = status
}

func (s *Server) statusOfShed() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shedStatus
}

// SetRetryAfter has the server turn away everything until a time, and ask for a rest of some length
// each time.
func (s *Server) SetRetryAfter(until time.Time, asks time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restUntil, s.asks = until, asks
}

// rest returns the rest that the server asks for now, 0 for none.
func (s *Server) rest() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.restUntil) {
		return 0
	}
	return s.asks
}

// SetExtraHeaders sets what returns more header lines of the answer to a request, whatever the answer
// is. Each line ends with "\r\n".
func (s *Server) SetExtraHeaders(says func(*http.Request) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.says = says
}

// lines returns the header lines that every answer to a request has.
func (s *Server) lines(req *http.Request) string {
	s.mu.Lock()
	says := s.says
	s.mu.Unlock()
	if says == nil {
		return ""
	}
	return says(req)
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

func (s *Server) arrived(req *http.Request, a Arrival) {
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
		reset(c)
	}
}

// Close ends the server.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.ResetConnections()
}

func reset(c net.Conn) {
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
		if err != nil || !s.one(c, req) {
			return
		}
	}
}

func (s *Server) fault(req *http.Request) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ends != nil && s.ends(req):
		return Crash
	case s.script == nil:
		return None
	default:
		return s.script(req)
	}
}

// one serves one request. It reports whether the connection goes on.
func (s *Server) one(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("Request-Id")
	lines := s.lines(req)
	if expected := req.Header.Get("Expected-Instance"); expected != "" && expected != s.ID {
		_, _ = io.Copy(io.Discard, req.Body)
		return send(c, "421 Misdirected Request", "Instance-Id: "+s.ID+"\r\n"+lines, "") == nil
	}
	fault, asks := s.fault(req), s.rest()
	if asks > 0 {
		fault = Shed
		lines += fmt.Sprintf("Retry-After: %g\r\n", asks.Seconds())
	}
	switch fault {
	case Shed:
		_, _ = io.Copy(io.Discard, req.Body)
		s.arrived(req, Arrival{RetryAfter: asks})
		return send(c, s.statusOfShed(), "Not-Executed: 1\r\nRequest-Id: "+id+"\r\n"+lines, "") == nil
	case EarlyRefusal:
		_ = send(c, "413 Request Entity Too Large", s.headers(id)+lines, "no")
		time.Sleep(50 * time.Millisecond)
		_, err := io.Copy(io.Discard, req.Body)
		return err == nil
	case Garbage:
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = c.Write([]byte("@@ not http @@\r\n\r\n"))
		return false
	case Foreign:
		_ = send(c, "200 OK", s.headers("other")+lines, "other's")
		lines = ""
	default:
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	s.arrived(req, Arrival{Run: Run{Body: body}, Executed: true})
	r := Run{ID: id, Method: req.Method, URI: req.RequestURI, Body: body}
	s.run(r)
	if fault == Crash {
		s.end(r)
		return false
	}
	return s.answer(c, fault, id, lines)
}

func (s *Server) run(r Run) {
	s.mu.Lock()
	s.runs = append(s.runs, r)
	work := s.ServiceTime
	s.mu.Unlock()
	time.Sleep(work)
}

// end ends the server under a request.
func (s *Server) end(r Run) {
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	s.once.Do(func() {
		if ended != nil {
			ended(r)
		}
	})
	s.Close()
}

func (s *Server) headers(id string) string {
	return fmt.Sprintf("Request-Id: %s\r\nServer-Signature: sig.%s\r\nServer-Load: 1,0,%d\r\n", id, s.ID, s.Slots)
}

// answer sends the answer to a request that was run.
func (s *Server) answer(c net.Conn, fault Fault, id, lines string) bool {
	text := "answer of " + s.ID + " to " + id
	headers := s.headers(id) + lines
	switch fault {
	case LostResponse:
		return false
	case Silent:
		s.untilClosed(c)
		return false
	case Cut, Stalled:
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", headers, len(text))
		_, _ = c.Write([]byte(head + text[:len(text)/2]))
		if fault == Stalled {
			s.untilClosed(c)
		}
		return false
	case Unframed, UnframedReset:
		head := "HTTP/1.1 200 OK\r\n" + headers + "Connection: close\r\n\r\n"
		_, _ = c.Write([]byte(head + text))
		if fault == UnframedReset {
			time.Sleep(20 * time.Millisecond)
			reset(c)
		}
		return false
	case Surplus:
		var buf bytes.Buffer
		_ = send(&buf, "200 OK", headers, text)
		_ = send(&buf, "200 OK", headers, "again")
		_, err := c.Write(buf.Bytes())
		return err == nil
	case Unsigned:
		return send(c, "200 OK", "Request-Id: "+id+"\r\n"+lines, text) == nil
	case Unmarked503:
		return send(c, "503 Service Unavailable", headers, "sorry") == nil
	case Failed:
		return send(c, "500 Internal Server Error", headers, "failed") == nil
	default:
		return send(c, "200 OK", headers, text) == nil
	}
}

// untilClosed waits for the end of the connection.
func (s *Server) untilClosed(c net.Conn) {
	var buf [1]byte
	_, _ = c.Read(buf[:])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canceled++
}

func send(w io.Writer, status, headers, body string) error {
	_, err := fmt.Fprintf(w, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	return err
}
