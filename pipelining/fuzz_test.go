package pipelining_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rainford/rainford/pipelining"
)

// scriptedConn is a connection whose client sends bytes in pieces. It records what the
// client receives.
type scriptedConn struct {
	mu       sync.Mutex
	changed  *sync.Cond
	pieces   [][]byte
	got      bytes.Buffer
	expired  bool
	closed   bool
	starving bool
	// steps is the number of events so far.
	steps int
}

func newScriptedConn(pieces [][]byte) *scriptedConn {
	s := &scriptedConn{pieces: pieces}
	s.changed = sync.NewCond(&s.mu)
	return s
}

func (s *scriptedConn) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		s.steps++
		switch {
		case s.closed:
			return 0, io.EOF
		case s.expired:
			return 0, os.ErrDeadlineExceeded
		case len(s.pieces) > 0:
			n := copy(p, s.pieces[0])
			s.pieces[0] = s.pieces[0][n:]
			if len(s.pieces[0]) == 0 {
				s.pieces = s.pieces[1:]
			}
			return n, nil
		}
		s.starving = true
		s.changed.Wait()
		s.starving = false
	}
}

func (s *scriptedConn) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps++
	if s.closed {
		return 0, net.ErrClosed
	}
	return s.got.Write(p)
}

func (s *scriptedConn) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.changed.Broadcast()
	return nil
}

func (s *scriptedConn) SetReadDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps++
	s.expired = !t.IsZero() && t.Before(time.Now())
	s.changed.Broadcast()
	return nil
}

func (s *scriptedConn) SetDeadline(t time.Time) error      { return s.SetReadDeadline(t) }
func (s *scriptedConn) SetWriteDeadline(_ time.Time) error { return nil }
func (s *scriptedConn) LocalAddr() net.Addr                { return &net.TCPAddr{} }
func (s *scriptedConn) RemoteAddr() net.Addr               { return &net.TCPAddr{} }

// idle reports whether all bytes are read or the connection has ended, and returns the
// number of events.
func (s *scriptedConn) idle() (bool, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed || s.starving, s.steps
}

// singleConnListener is a listener that accepts one connection.
type singleConnListener struct {
	once sync.Once
	conn net.Conn
	done chan struct{}
	shut sync.Once
}

func (l *singleConnListener) Accept() (c net.Conn, err error) {
	l.once.Do(func() { c = l.conn })
	if c != nil {
		return c, nil
	}
	<-l.done
	return nil, net.ErrClosed
}

func (l *singleConnListener) Close() error {
	l.shut.Do(func() { close(l.done) })
	return nil
}

func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// exchangeAll serves a connection until nothing has happened on it for the time quiet. It
// returns what the client received, and the requests that ran, sorted.
func exchangeAll(pieces [][]byte, pipelined bool, quiet time.Duration) (string, []string) {
	conn := newScriptedConn(pieces)
	var mu sync.Mutex
	var seen []string
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if pipelining.AwaitStart(r, !strings.Contains(r.RequestURI, "once")) != nil {
			panic(http.ErrAbortHandler)
		}
		mu.Lock()
		seen = append(seen, fmt.Sprintf("%s %s %s %q %v", r.Method, r.Host, r.RequestURI, body, err != nil))
		mu.Unlock()
		w.Header()["Date"] = nil
		_, _ = fmt.Fprint(w, r.Method, " ", r.RequestURI, " ", string(body))
	})
	server := &http.Server{Handler: handler}
	var ln net.Listener = &singleConnListener{conn: conn, done: make(chan struct{})}
	if pipelined {
		ln = pipelining.NewListener(server, ln, defaultLimits)
	}
	go func() { _ = server.Serve(ln) }()
	for before := -1; ; {
		rests, steps := conn.idle()
		if rests && steps == before {
			break
		}
		before = steps
		time.Sleep(quiet)
	}
	_ = server.Close()
	conn.mu.Lock()
	defer conn.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	sort.Strings(seen)
	return conn.got.String(), seen
}

// cutAt splits data into pieces whose sizes depend on draw.
func cutAt(data []byte, draw uint16) [][]byte {
	var pieces [][]byte
	size := 1 + int(draw>>4)
	for len(data) > size {
		pieces = append(pieces, bytes.Clone(data[:size]))
		data = data[size:]
		size = 1 + (size*int(draw|1))%197
	}
	if len(data) > 0 {
		pieces = append(pieces, bytes.Clone(data))
	}
	return pieces
}

// FuzzConnection guards against request smuggling and lost requests. A client sends
// arbitrary bytes in arbitrary pieces. The handlers must receive the same requests, and the
// client the same responses, as from a server without pipelining. Additional requests may
// run as compare describes.
func FuzzConnection(f *testing.F) {
	for _, text := range []string{
		get("/1") + get("/2") + get("/3"),
		get("/1") + post("/2", get("/inside")) + get("/3") + get("/4"),
		get("/1") + chunked("/2", get("/inside")) + get("/3") + get("/4"),
		get("/once1") + get("/2") + get("/once3"),
		get("/1") + "GET /2 HTTP/1.1\nHost: h\n\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n",
		get("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nContent-Length : 4\r\n\r\nabcd" + get("/3"),
		get("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nX: a\r\n Content-Length: 4\r\n\r\nabcd" + get("/3"),
		get("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nabcd" + get("/3"),
		get("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + get("/3"),
		get("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n" + get("/3"),
		get("/1") + "GET /2 HTTP/1.0\r\nHost: h\r\n\r\n" + get("/3"),
		get("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/3"),
		get("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n" + get("/3"),
		get("/1") + "GET /2 HTTP/1.1\r\n\r\n" + get("/3"),
		get("/1") + "HEAD /2 HTTP/1.1\r\nHost: h\r\n\r\n" + get("/3"),
		get("/1") + "\r\n" + get("/2") + "\r\n\r\n" + get("/3"),
		get("/1") + "GET http://other/2 HTTP/1.1\r\nHost: h\r\n\r\n" + get("/3"),
		get("/1") + "GET /2\x00 HTTP/1.1\r\nHost: h\r\n\r\n" + get("/3"),
		get("/1") + "@@@",
	} {
		f.Add([]byte(text), uint16(0xffff))
		f.Add([]byte(text), uint16(37))
	}
	f.Fuzz(func(t *testing.T, data []byte, draw uint16) {
		// A process that waits for a processor looks idle. A difference is therefore
		// checked again with more time.
		const quick, patient = 3 * time.Millisecond, 500 * time.Millisecond
		if compare(data, draw, quick) == "" {
			return
		}
		difference := compare(data, draw, patient)
		if difference != "" {
			t.Fatal(difference)
		}
	})
}

// compare returns how the results with and without pipelining differ, or "". With
// pipelining, additional idempotent requests may run that are not answered because the
// connection ends before.
func compare(data []byte, draw uint16, quiet time.Duration) string {
	got, seen := exchangeAll(cutAt(data, draw), false, quiet)
	gotAhead, seenAhead := exchangeAll(cutAt(data, draw), true, quiet)
	if got != gotAhead {
		return fmt.Sprintf("the client received\n%q\nand without pipelining\n%q", gotAhead, got)
	}
	for _, request := range seenAhead {
		if len(seen) > 0 && seen[0] == request {
			seen = seen[1:]
			continue
		}
		again := strings.HasPrefix(request, "GET ") || strings.HasPrefix(request, "HEAD ")
		if !again || strings.Contains(request, "once") || !strings.HasSuffix(request, ` "" false`) {
			return "ran only with pipelining: " + request
		}
	}
	if len(seen) > 0 {
		return "ran only without pipelining: " + seen[0]
	}
	return ""
}
