// Package failing provides a listener for tests that can't accept connections, as that of a process
// without a free file descriptor.
package failing

import (
	"net"
	"sync"
)

// Listener passes on the connections of another listener, unless it fails. It is safe for concurrent
// use.
type Listener struct {
	net.Listener

	mu     sync.Mutex
	err    error
	failed int
}

// SetError makes Accept fail with an error for each further connection, which is closed. With nil,
// connections are accepted again.
func (l *Listener) SetError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = err
}

// Failed returns the number of connections for which Accept has failed.
func (l *Listener) Failed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil {
		return c, nil
	}
	l.failed++
	_ = c.Close()
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: l.err}
}
