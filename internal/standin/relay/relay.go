// Package relay provides a TCP proxy for tests. It forwards connections to one address and can simulate
// a network that drops packets: Silence makes the open connections discard all bytes without closing.
package relay

import (
	"fmt"
	"io"
	"net"
	"sync"

	"github.com/rainford/rainford/internal/loopback"
)

// Relay is a TCP proxy to one address. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns []*pair
}

// pair is an accepted connection (near) and the connection to the target address (far).
type pair struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

// Start returns a relay that forwards to the address target. It listens on a free port of the process's
// loopback address.
func Start(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", loopback.Host()+":0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{listener: ln, target: target}
	go r.accept()
	return r, nil
}

// Addr returns the address on which the relay listens, as IP:PORT.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Silence makes the open connections discard all further bytes. They are neither reset nor closed.
// Connections that are accepted later are forwarded as usual.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.conns {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
}

// Accepted returns the number of connections that the relay has forwarded since its start.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Close stops listening and closes all connections.
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

// copy forwards bytes in one direction until from is closed. It forwards the end of the stream too, unless
// the pair is silent: then it reads and discards.
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
