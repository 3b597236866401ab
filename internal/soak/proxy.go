package soak

import (
	"net"
	"sync"
	"time"

	"github.com/rainford/rainford/internal/loopback"
)

// Mode is how a proxy treats the bytes that it forwards.
type Mode int

// The modes of a proxy.
const (
	// Pass forwards bytes at once.
	Pass Mode = iota
	// Delay forwards each piece after delayTime.
	Delay
	// Trickle forwards at most trickleSize bytes at a time, trickleTime apart.
	Trickle
	// Stall forwards nothing in either direction until the mode changes.
	Stall
	// StallUp forwards nothing from the client to the target, and StallDown nothing from the
	// target to the client, until the mode changes.
	StallUp
	StallDown
	// Off forwards nothing, and new connections get no answer.
	Off
)

const (
	delayTime   = 60 * time.Millisecond
	trickleSize = 700
	trickleTime = 2 * time.Millisecond
	modePoll    = 5 * time.Millisecond
	proxyBuffer = 16 << 10
)

// proxy forwards TCP connections to one target address.
type proxy struct {
	listener net.Listener
	mu       sync.Mutex
	target   string
	mode     Mode
	conns    map[net.Conn]bool
	// silenced holds the connections whose received bytes are discarded.
	silenced map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp", loopback.Host()+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: ln, target: target, conns: make(map[net.Conn]bool), silenced: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

func (p *proxy) current() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// silence makes the open connections discard all further bytes without being closed. New
// connections work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.silenced[c] = true
	}
}

// powerOff makes the proxy answer nothing any more, on open connections and on new ones.
func (p *proxy) powerOff() {
	p.silence()
	p.set(Off)
}

// powerOn ends the connections from before powerOff and makes new ones work.
func (p *proxy) powerOn() {
	p.reset()
	p.set(Pass)
}

func (p *proxy) isSilenced(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silenced[c]
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
	delete(p.silenced, c)
}

func (p *proxy) serve(client net.Conn) {
	p.track(client, true)
	defer p.track(client, false)
	defer func() { _ = client.Close() }()
	for p.current() == Off {
		time.Sleep(modePoll)
	}
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	server, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return
	}
	p.track(server, true)
	defer p.track(server, false)
	defer func() { _ = server.Close() }()
	done := make(chan struct{}, 2)
	go p.copy(server, client, StallUp, done)
	go p.copy(client, server, StallDown, done)
	<-done
	<-done
}

// copy forwards bytes from src to dst according to the mode.
func (p *proxy) copy(dst, src net.Conn, deaf Mode, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, proxyBuffer)
	for {
		n, err := src.Read(buf)
		if p.isSilenced(src) {
			if err != nil {
				return
			}
			continue
		}
		for sent := 0; sent < n; {
			size := p.next(n-sent, deaf)
			_, writeErr := dst.Write(buf[sent : sent+size])
			if writeErr != nil {
				_ = src.Close()
				return
			}
			sent += size
		}
		if err != nil {
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// next waits as the mode requires and returns how many of the left bytes may be forwarded. The
// mode deaf blocks this direction.
func (p *proxy) next(left int, deaf Mode) int {
	for {
		switch mode := p.current(); mode {
		case Stall, Off, deaf:
			time.Sleep(modePoll)
		case Delay:
			time.Sleep(delayTime)
			return left
		case Trickle:
			time.Sleep(trickleTime)
			return min(left, trickleSize)
		default:
			return left
		}
	}
}
