package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/origin"
)

// cancelTime bounds how long a request may run after its client has disconnected.
const cancelTime = 500 * time.Millisecond

// writeRequest writes a request whose client disconnects before the response.
func (c rawConn) writeRequest(method, path, more string) {
	c.write(method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: left\r\nTimeout-Ms: 9000\r\n" + more + "\r\n")
}

// disconnect closes or resets a client's connection.
func (c rawConn) disconnect(reset bool) {
	if reset {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
	}
	require.NoError(c.t, c.Close())
}

// TestClientLeavesAtTarget checks that a request is cancelled at its target when its client
// disconnects.
func TestClientLeavesAtTarget(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset=%t", reset), func(t *testing.T) {
			s := newSite(t)
			s.configure(1, route{prefix: "/x/", service: "s", kind: "idempotent", timeout: "9s"})
			server := s.server("i-1", "s", "a1")
			in := s.instance("n1", "a1")
			in.awaitStatus("/x/", 200)
			arrived := make(chan struct{}, 1)
			server.SetObserver(func(origin.Arrival) { arrived <- struct{}{} })
			server.SetScript(func(*http.Request) origin.Fault { return origin.Silent })
			conn := in.dial()
			conn.writeRequest("GET", "/x/", "")
			<-arrived
			conn.disconnect(reset)
			require.Eventually(t, func() bool { return server.Canceled() == 1 }, cancelTime, poll)
		})
	}
}

// TestClientLeavesInQueue checks that a request is never sent if its client disconnects while the
// request waits for a target.
func TestClientLeavesInQueue(t *testing.T) {
	s := newSite(t)
	s.store.Configure(objects.Configuration{
		Version: "r1",
		Routes: map[string]objects.Route{"r": {Host: "h.example", PathPrefix: "/x/", RouteType: "idempotent", Timeout: "9s", TargetLatency: "8s",
			Priority: 1, Service: "s", MaxAttempts: 2}},
		Services: map[string]objects.Service{"s": {Warmup: "3s", WarmupPerS: 11}},
	})
	server := s.server("i-1", "s", "a1")
	in := s.instance("n1", "a1")
	in.awaitStatus("/x/", 200)
	var arrivals atomic.Int64
	release := make(chan struct{})
	server.SetObserver(func(origin.Arrival) {
		arrivals.Add(1)
		<-release
	})
	// These requests fill the target: it accepts twice as many as it has slots.
	for range 6 {
		go in.send("GET", "/x/", "")
	}
	require.Eventually(t, func() bool { return arrivals.Load() == 6 }, wait, poll)
	conn := in.dial()
	conn.writeRequest("GET", "/x/", "")
	time.Sleep(50 * time.Millisecond)
	conn.disconnect(false)
	time.Sleep(100 * time.Millisecond)
	close(release)
	require.Never(t, func() bool { return arrivals.Load() > 6 }, cancelTime, poll)
}

// TestClientLeavesWithinBody checks that a request with an incomplete body is not sent.
func TestClientLeavesWithinBody(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute)
	server := s.server("i-1", "s", "a1")
	in := s.instance("n1", "a1")
	in.awaitStatus("/x/", 200)
	ran := len(server.Runs())
	for _, reset := range []bool{false, true} {
		conn := in.dial()
		conn.writeRequest("POST", "/x/", "Content-Length: 5\r\n")
		conn.write("ab")
		conn.disconnect(reset)
	}
	require.Never(t, func() bool { return len(server.Runs()) > ran }, cancelTime, poll)
}

// TestClientLeavesWhileConnecting checks that a request is not sent if its client disconnects while
// the connection to the target is being opened.
func TestClientLeavesWhileConnecting(t *testing.T) {
	s := newSite(t)
	s.configure(1, route{prefix: "/x/", service: "s", kind: "idempotent", timeout: "9s"})
	ln := fullListener(t)
	s.store.SetServer("i-1", objects.Server{Service: "s", Address: ln.Addr().String(), Zone: "a1", Slots: 3, State: "ready", WarmupRemaining: "0ms"})
	in := s.instance("n1", "a1")
	in.awaitReady()
	conn := in.dial()
	conn.writeRequest("GET", "/x/", "")
	time.Sleep(50 * time.Millisecond)
	conn.disconnect(false)
	time.Sleep(50 * time.Millisecond)
	var received atomic.Int64
	go func() {
		for {
			accepted, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				n, _ := io.Copy(io.Discard, accepted)
				received.Add(n)
			}()
		}
	}()
	// The kernel retransmits the connection request after a second, and it then succeeds.
	require.Never(t, func() bool { return received.Load() > 0 }, 3*cancelTime, poll)
}

// fullListener returns a listener with a full accept queue, so that new connections to it wait
// until some are accepted.
func fullListener(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	raw, err := ln.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) }))
	require.NoError(t, err)
	for {
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return ln
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// TestRequestReadAfterClientLeft checks that a request is not sent if its client disconnected
// before the instance read the request.
func TestRequestReadAfterClientLeft(t *testing.T) {
	s := newSite(t)
	s.configure(1, idempotentRoute)
	server := s.server("i-1", "s", "a1")
	var arrivals atomic.Int64
	read := &gate{}
	s.wrapFront = func(ln net.Listener) net.Listener { return delayedListener{ln, read} }
	in := s.instance("n1", "a1")
	in.awaitStatus("/x/", 200)
	server.SetObserver(func(origin.Arrival) { arrivals.Add(1) })
	open := read.shut()
	for range 50 {
		conn := in.dial()
		conn.writeRequest("GET", "/x/", "")
		conn.disconnect(false)
	}
	open()
	require.Never(t, func() bool { return arrivals.Load() > 0 }, cancelTime, poll)
}

// gate blocks reads while it is shut.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

// shut blocks reads until the returned function is called.
func (g *gate) shut() func() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
	return func() { close(g.open) }
}

func (g *gate) pass() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	if open != nil {
		<-open
	}
}

// delayedListener accepts connections whose reads are delayed, as in an overloaded process.
type delayedListener struct {
	net.Listener
	read *gate
}

// Accept implements net.Listener.
func (l delayedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return delayedConn{c.(*net.TCPConn), l.read}, nil
}

type delayedConn struct {
	*net.TCPConn
	read *gate
}

// Read implements net.Conn.
func (c delayedConn) Read(p []byte) (int, error) {
	c.read.pass()
	return c.TCPConn.Read(p)
}
