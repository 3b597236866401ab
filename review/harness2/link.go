package main

import (
	"bytes"
	"net"
	"sync"
)

// link is the path of one instance to the store. While it is silent, no answer of the store passes, and a
// connection on which an answer was lost says nothing further.
type link struct {
	ln    net.Listener
	store string

	mu     sync.Mutex
	silent bool
	// watching counts the connections with a pending watch of the kind.
	kind     string
	watching int
}

// newLink opens the path of one instance to the store. It tells whether a watch of the kind is pending.
func newLink(store, kind string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, store: store, kind: kind}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(c)
		}
	}()
	return l, nil
}

// setSilent begins or ends a silence.
func (l *link) setSilent(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
}

// watches reports whether a watch of the kind is pending.
func (l *link) watches() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watching > 0
}

// carry carries one connection.
func (l *link) carry(c net.Conn) {
	defer func() { _ = c.Close() }()
	s, err := net.Dial("tcp", l.store)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	watching, dead := false, false
	setWatching := func(now bool) {
		if now != watching {
			watching = now
			if now {
				l.watching++
			} else {
				l.watching--
			}
		}
	}
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		setWatching(false)
	}()
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := c.Read(buf)
			l.mu.Lock()
			call := buf[:n]
			if bytes.HasPrefix(call, []byte("GET /objects/"+l.kind+"?")) && bytes.Contains(call, []byte("watch=")) {
				setWatching(true)
			}
			pass := !dead
			l.mu.Unlock()
			if n > 0 && pass {
				_, _ = s.Write(call)
			}
			if err != nil {
				_ = s.Close()
				return
			}
		}
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := s.Read(buf)
		l.mu.Lock()
		setWatching(false)
		if n > 0 && l.silent && !dead {
			dead = true
		}
		pass := !dead
		l.mu.Unlock()
		if n > 0 && pass {
			if _, err := c.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !pass {
				// The caller hears nothing of it. It ends the connection when it likes.
				_, _ = c.Read(make([]byte, 1))
			}
			return
		}
	}
}
