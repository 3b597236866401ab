// Package relay provides a stand-in of a network between two sides: it passes bytes on to
// one address, and can silence the connections that are open. It is for tests.
package relay

import (
	"fmt"
	"io"
	"net"
	"sync"

	"github.com/rainford/rainford/internal/loopback"
)

// Relay passes connections on to one address. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns []*pair
}

// pair is a connection and what it is passed on to.
type pair struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

// Start returns a relay to an address, on a port of its own on the loopback address of the process.
func Start(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", loopback.Host()+":0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{listener: ln, target: target}
	go r.accept()
	return r, nil
}

// Addr is IP:PORT.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Silence has the connections that are open pass nothing any more, without a reset or an
// end. New ones work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.conns {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
}

// Accepted returns the number of connections accepted.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.conns {
		p.close()
	}
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &pair{near: near, far: far}
		r.mu.Lock()
		r.conns = append(r.conns, p)
		r.mu.Unlock()
		go p.copy(far, near)
		go p.copy(near, far)
	}
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}

func (p *pair) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

// copy passes bytes on until the end of the connection, which passes too unless it is
// silent.
func (p *pair) copy(to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if p.isSilent() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			_, writeErr := to.Write(buf[:n])
			if writeErr != nil {
				p.close()
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			p.close()
			return
		}
	}
}
