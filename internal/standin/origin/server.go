package origin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rainford/rainford/internal/loopback"
)

// HealthPath is the path of a server's health check, which is not recorded as a run.
const HealthPath = "/health"

// Fault selects how a server misbehaves for one request.
type Fault int

// The faults.
const (
	// None runs the request and responds with status 200.
	None Fault = iota
	// Shed refuses the request with Not-Executed and the status of SetShedStatus.
	Shed
	// Surplus runs the request and sends a second response directly after the first.
	Surplus
	// Foreign sends a response with another request's ID first. Only that response has the additional
	// header lines of SetExtraHeaders.
	Foreign
	// Unframed responds without a length and closes the connection at the end of the body.
	Unframed
	// UnframedReset responds without a length and resets the connection 20 ms later.
	UnframedReset
	// Cut closes the connection in the middle of the response's body.
	Cut
	// Garbage does not run the request, sends bytes that are not HTTP, and closes the connection.
	Garbage
	// LostResponse runs the request and closes the connection without a response.
	LostResponse
	// Silent runs the request and sends nothing until the connection is closed.
	Silent
	// EarlyRefusal responds with status 413 before it reads the request's body, and reads the body 50 ms
	// later. It does not run the request.
	EarlyRefusal
	// Unsigned runs the request and responds with status 200 but no Server-Signature.
	Unsigned
	// Failed runs the request and responds with status 500.
	Failed
	// Crash runs the request, then closes the listener and resets all connections, as when the process
	// crashes.
	Crash
	// Stalled sends the head and half of the response's body, and then nothing until the connection is
	// closed.
	Stalled
	// Unmarked503 runs the request and responds with status 503, without the header Not-Executed.
	Unmarked503
	// ShedTwice refuses the request as Shed does, and sends the refusal again after repeatDelay.
	ShedTwice
	// EarlyReset responds with status 200 and without a length before it reads the request's body, and resets the
	// connection earlyResetDelay later. It does not run the request.
	EarlyReset
)

// repeatDelay is the time after which ShedTwice sends a refusal again.
const repeatDelay = 30 * time.Millisecond

// earlyResetDelay is the time after which EarlyReset resets the connection.
const earlyResetDelay = 2 * time.Millisecond

// Run records a request that a server has run.
type Run struct {
	ID, Method, URI string
	Body            []byte
}

// Arrival records a request that has reached a server and was run or refused with Not-Executed.
type Arrival struct {
	Server *Server
	At     time.Time
	Run
	Header http.Header
	// Executed is false if the server refused the request. RetryAfter is the back-off that the refusal
	// requested, or 0 for none.
	Executed   bool
	RetryAfter time.Duration
}

// Server is one incarnation of a target. It is safe for concurrent use.
type Server struct {
	// ID identifies the incarnation. Zone is its hall, as its object in the platform's store names it.
	ID, Service, Zone string
	Slots             int
	// ServiceTime is the duration of a run.
	ServiceTime time.Duration

	listener net.Listener
	// acceptDone is closed once no more connections are accepted.
	acceptDone chan struct{}
	mu         sync.Mutex
	script     func(*http.Request) Fault
	runs       []Run
	observe    func(Arrival)
	// crashes returns whether a request crashes the server. onCrash is called with the first that does.
	crashes func(*http.Request) bool
	onCrash func(Run)
	// shedStatus is the status code and reason phrase of refusals.
	shedStatus string
	// refuseUntil is the time until which all requests are refused, with retryAfter as the requested
	// back-off.
	refuseUntil time.Time
	retryAfter  time.Duration
	// extraHeaders returns additional header lines for the response to a request.
	extraHeaders func(*http.Request) string
	crashOnce    sync.Once
	conns        map[net.Conn]bool
	accepted     int
	canceled     int
}

// Start returns a server that listens on a free port of the process's loopback address. Its service time is
// 0 until SetServiceTime.
func Start(id, service, zone string, slots int) (*Server, error) {
	ln, err := net.Listen("tcp", loopback.Host()+":0")
	if err != nil {
		return nil, fmt.Errorf("origin: %w", err)
	}
	s := &Server{ID: id, Service: service, Zone: zone, Slots: slots, listener: ln, acceptDone: make(chan struct{}), shedStatus: "503 Service Unavailable", conns: make(map[net.Conn]bool)}
	go s.accept()
	return s, nil
}

// Addr returns the server's address as IP:PORT.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetScript sets the function that selects the fault of each request.
func (s *Server) SetScript(script func(*http.Request) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = script
}

// SetCrash sets the function that selects requests that crash the server, and one that is called with the
// first such request before the server closes.
func (s *Server) SetCrash(crashes func(*http.Request) bool, onCrash func(Run)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes, s.onCrash = crashes, onCrash
}

// SetShedStatus sets the status of refusals, such as "429 Too Many Requests". The default is 503.
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

// SetRetryAfter makes the server refuse all requests until a time, each with the given back-off in the header
// Retry-After.
func (s *Server) SetRetryAfter(until time.Time, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseUntil, s.retryAfter = until, retryAfter
}

// currentRetryAfter returns the back-off that the server requests now, or 0 if it accepts requests.
func (s *Server) currentRetryAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.refuseUntil) {
		return 0
	}
	return s.retryAfter
}

// SetExtraHeaders sets the function that returns additional header lines for the response to a request,
// whatever its status. Each line must end with "\r\n".
func (s *Server) SetExtraHeaders(extraHeaders func(*http.Request) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extraHeaders = extraHeaders
}

// extraHeaderLines returns the additional header lines for the response to a request.
func (s *Server) extraHeaderLines(req *http.Request) string {
	s.mu.Lock()
	extraHeaders := s.extraHeaders
	s.mu.Unlock()
	if extraHeaders == nil {
		return ""
	}
	return extraHeaders(req)
}

// SetObserver sets the function that is called with each Arrival, before the response is sent.
func (s *Server) SetObserver(observe func(Arrival)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = observe
}

// SetServiceTime sets the duration of a run.
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

// Runs returns a copy of the list of the requests run so far.
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

// Canceled returns the number of Silent and Stalled responses whose connection has ended.
func (s *Server) Canceled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canceled
}

// ResetConnections resets all open connections. The server goes on accepting new ones.
func (s *Server) ResetConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		resetConn(c)
	}
}

// Close stops listening and resets all connections, also those that are accepted just then.
func (s *Server) Close() {
	_ = s.listener.Close()
	<-s.acceptDone
	s.ResetConnections()
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (s *Server) accept() {
	defer close(s.acceptDone)
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

// serveRequest serves one request. It returns whether the connection stays open for the next.
func (s *Server) serveRequest(c net.Conn, req *http.Request) bool {
	if req.Method == http.MethodGet && req.RequestURI == HealthPath {
		return writeResponse(c, "200 OK", "", "ok") == nil
	}
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
	case Shed, ShedTwice:
		_, _ = io.Copy(io.Discard, req.Body)
		s.notifyArrival(req, Arrival{RetryAfter: retryAfter})
		refuse := func() error {
			return writeResponse(c, s.currentShedStatus(), "Not-Executed: 1\r\nRequest-Id: "+id+"\r\n"+lines, "")
		}
		if fault == ShedTwice {
			time.AfterFunc(repeatDelay, func() { _ = refuse() })
		}
		return refuse() == nil
	case EarlyRefusal:
		_ = writeResponse(c, "413 Request Entity Too Large", s.headers(id)+lines, "no")
		time.Sleep(50 * time.Millisecond)
		_, err := io.Copy(io.Discard, req.Body)
		return err == nil
	case EarlyReset:
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+s.headers(id)+lines+"\r\npart")
		time.Sleep(earlyResetDelay)
		resetConn(c)
		return false
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

// crash closes the server because of a request, as a crash of the process does.
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
