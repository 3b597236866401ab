// Package link simulates the network between one instance and all targets, for tests that cut it while
// the same targets remain reachable for others.
//
// A Link opens the connections of the instance (Dial) and relays their bytes. A cut applies to some
// addresses or to all, and has a mode, which states what happens to open connections and to new ones.
package link

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rainford/rainford/internal/loopback"
)

// Mode is the way in which connections fail while a link is cut.
type Mode int

// The modes of a cut.
const (
	// Silent drops all packets. An open connection breaks once sent bytes have not been
	// acknowledged for UnackedTimeout, and opening one times out.
	Silent Mode = iota
	// Reset resets open connections and refuses new ones.
	Reset
	// RefuseNew refuses new connections. Open ones work.
	RefuseNew
	// HangNew drops the packets of new connections. Open ones work.
	HangNew
	// OneWay delivers what the instance sends on open connections and drops all packets to the instance.
	// A connection breaks as in the mode Silent, and opening one times out.
	OneWay
	// AcceptAndDrop accepts new connections in the place of the address, as a middlebox may, and drops all
	// that is sent on any. A connection that has dropped bytes delivers none after the end of the cut.
	AcceptAndDrop
	modes
)

// Modes returns the modes in which connections fail, so that a link to all addresses is seen to be cut by
// connecting.
func Modes() []Mode { return []Mode{Silent, Reset, RefuseNew, HangNew} }

// AllModes returns all modes.
func AllModes() []Mode {
	var out []Mode
	for m := range modes {
		out = append(out, m)
	}
	return out
}

// String returns the name of the mode.
func (m Mode) String() string {
	return [...]string{"silent", "reset", "refuse-new", "hang-new", "one-way", "accept-and-drop"}[m]
}

// UnackedTimeout is how long sent bytes may remain unacknowledged in the mode Silent before the
// connection breaks.
const UnackedTimeout = 2 * time.Second

// Link is the network between an instance and the targets. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	// dialing serializes Dial, so that an accepted connection belongs to the current call.
	dialing sync.Mutex

	mu      sync.Mutex
	mode    Mode
	affects func(addr string) bool
	// changed is closed when the cut changes.
	changed chan struct{}
	pairs   map[*pair]bool
}

// pair is a connection of the instance (near) and the one to the target (far).
type pair struct {
	addr string
	// far is nil if the connection was opened in the mode AcceptAndDrop.
	near, far net.Conn
	// dropped is set once bytes have been dropped in that mode.
	dropped atomic.Bool
}

func (p *pair) close() {
	_ = p.near.Close()
	if p.far != nil {
		_ = p.far.Close()
	}
}

// reset resets the connection of the instance.
func (p *pair) reset() {
	if tcp, ok := p.near.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	p.close()
}

// New returns a link that is not cut.
func New() (*Link, error) {
	ln, err := net.Listen("tcp", loopback.Host()+":0")
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	return &Link{listener: ln, changed: make(chan struct{}), pairs: make(map[*pair]bool)}, nil
}

// Cut cuts the link to the addresses for which affects returns true, in place of an earlier cut.
func (l *Link) Cut(mode Mode, affects func(addr string) bool) {
	l.set(mode, affects)
	if mode != Reset {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		if affects(p.addr) {
			p.reset()
		}
	}
}

// All is a predicate for Cut that affects all addresses.
func All(string) bool { return true }

// Restore ends the cut. Bytes that it held are delivered.
func (l *Link) Restore() { l.set(Silent, nil) }

func (l *Link) set(mode Mode, affects func(string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode, l.affects = mode, affects
	close(l.changed)
	l.changed = make(chan struct{})
}

// Close closes all connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.close()
	}
}

// state returns the mode of the cut for an address, whether the address is cut at all, and a channel
// that is closed when this changes.
func (l *Link) state(addr string) (mode Mode, cut bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.affects != nil && l.affects(addr), l.changed
}

// Dial opens a connection to an address through the link. It has the signature of forward.Dialer.
func (l *Link) Dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	mode, cut, _ := l.state(addr)
	if cut && mode != AcceptAndDrop {
		return nil, fail(ctx, mode, timeout)
	}
	if cut {
		return l.open(addr, nil)
	}
	far, err := (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	near, err := l.open(addr, far)
	if err != nil {
		_ = far.Close()
	}
	return near, err
}

// open returns the instance's end of a connection whose bytes are relayed to and from far, or dropped if
// far is nil.
func (l *Link) open(addr string, far net.Conn) (net.Conn, error) {
	l.dialing.Lock()
	defer l.dialing.Unlock()
	outer, err := net.Dial("tcp", l.listener.Addr().String())
	if err != nil {
		return nil, err
	}
	near, err := l.listener.Accept()
	if err != nil {
		_ = outer.Close()
		return nil, err
	}
	p := &pair{addr: addr, near: near, far: far}
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	if far == nil {
		p.dropped.Store(true)
		go l.copy(p, nil, near)
		return outer, nil
	}
	go l.copy(p, far, near)
	go l.copy(p, near, far)
	return outer, nil
}

// fail returns the error of opening a connection through a cut link, when it would be known.
func fail(ctx context.Context, mode Mode, timeout time.Duration) error {
	if mode == Reset || mode == RefuseNew {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
}

// breakUnacked resets a connection whose sent bytes have not been acknowledged, unless the cut has changed
// since they were sent.
func (l *Link) breakUnacked(p *pair, changed <-chan struct{}) {
	select {
	case <-changed:
	default:
		p.reset()
	}
}

// copy relays the bytes of one direction until the connection ends.
func (l *Link) copy(p *pair, to, from net.Conn) {
	defer func() {
		p.close()
		l.mu.Lock()
		delete(l.pairs, p)
		l.mu.Unlock()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if !l.awaitDelivery(p, from == p.near) {
			return
		}
		if n > 0 && !p.dropped.Load() {
			_, writeErr := to.Write(buf[:n])
			if writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitDelivery waits while the link drops the packets of open connections in the given direction. It
// returns false after UnackedTimeout, when the connection has been reset.
func (l *Link) awaitDelivery(p *pair, sent bool) bool {
	timer := time.NewTimer(UnackedTimeout)
	defer timer.Stop()
	for {
		mode, cut, changed := l.state(p.addr)
		switch {
		case cut && mode == AcceptAndDrop:
			p.dropped.Store(true)
			return true
		case cut && mode == OneWay && sent:
			time.AfterFunc(UnackedTimeout, func() { l.breakUnacked(p, changed) })
			return true
		case !cut || mode != Silent && mode != OneWay:
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			p.reset()
			return false
		}
	}
}
