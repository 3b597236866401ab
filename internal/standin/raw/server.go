// Package raw provides servers whose bytes a test writes by itself, in place of valid responses.
package raw

import (
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Server accepts connections on a loopback address and serves each in a goroutine.
type Server struct {
	listener net.Listener
	serving  sync.WaitGroup
}

// Start starts a server that calls serve with each connection, and closes the connection afterwards.
func Start(serve func(net.Conn)) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l}
	s.serving.Go(func() { s.accept(serve) })
	return s, nil
}

func (s *Server) accept(serve func(net.Conn)) {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.serving.Go(func() {
			defer func() { _ = c.Close() }()
			serve(c)
		})
	}
}

// Addr returns the address of the server, an IP:PORT.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the server, and waits until all connections have been served.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.serving.Wait()
}

// requestTimeout is how long a connection may be open without a request. A client that has stopped may leave such
// connections open.
const requestTimeout = 10 * time.Second

// awaitRequest reads at least the given number of bytes of a request.
func awaitRequest(c net.Conn, bytes int) error {
	_ = c.SetReadDeadline(time.Now().Add(requestTimeout))
	_, err := io.ReadAtLeast(c, make([]byte, max(chunk, bytes)), max(1, bytes))
	_ = c.SetReadDeadline(time.Time{})
	return err
}

// chunk is the least number of bytes that Endless writes at a time.
const chunk = 4 << 10

// Endless returns a function for Start that awaits a request, writes begin, and then more again and again until the
// connection is closed. It adds the number of bytes after begin to sent.
func Endless(begin, more string, sent *atomic.Int64) func(net.Conn) {
	repeated := strings.Repeat(more, 1+chunk/len(more))
	return func(c net.Conn) {
		err := awaitRequest(c, 1)
		if err == nil {
			_, err = io.WriteString(c, begin)
		}
		for err == nil {
			var n int
			n, err = io.WriteString(c, repeated)
			sent.Add(int64(n))
		}
	}
}
