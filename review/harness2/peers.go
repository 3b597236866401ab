package main

import (
	"bytes"
	"net"
	"strconv"
	"strings"
	"sync"
)

// peerLink is the path of the other instances to one instance. It carries the connections at the instance's
// address to the one that it listens at.
type peerLink struct {
	in     *instance
	ln     net.Listener
	behind string

	mu sync.Mutex
	// cut names the instance that is cut off from this one, or all others if it is this one, or is nil.
	cut *instance
}

// newPeerLink opens the path to an instance.
func newPeerLink(in *instance) (*peerLink, error) {
	port := strconv.Itoa(internalPort)
	ln, err := net.Listen("tcp", net.JoinHostPort(in.ip, port))
	if err != nil {
		return nil, err
	}
	behind := strings.TrimSuffix(in.ip, ".1") + ".2"
	l := &peerLink{in: in, ln: ln, behind: net.JoinHostPort(behind, port)}
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

// setCut cuts one instance off from all others, or ends the cut if it is nil.
func (w *world) setCut(from *instance) {
	for _, in := range w.instances {
		in.peers.mu.Lock()
		in.peers.cut = from
		in.peers.mu.Unlock()
	}
}

// passes reports whether bytes pass between the instance and one whose first bytes on the connection are given.
func (l *peerLink) passes(first []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut == nil {
		return true
	}
	return l.cut != l.in && !bytes.Contains(first, []byte(l.cut.ip+":")) && !bytes.Contains(first, []byte(l.cut.name))
}

// carry carries one connection. What does not pass is lost, and the connection says nothing further.
func (l *peerLink) carry(c net.Conn) {
	defer func() { _ = c.Close() }()
	first := make([]byte, 4096)
	n, err := c.Read(first)
	if err != nil {
		return
	}
	first = first[:n]
	s, err := net.Dial("tcp", l.behind)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	var mu sync.Mutex
	dead := false
	copyTo := func(to, from net.Conn, head []byte) {
		buf := make([]byte, 64<<10)
		n, err := copy(buf, head), error(nil)
		for {
			if n > 0 {
				mu.Lock()
				dead = dead || !l.passes(first)
				pass := !dead
				mu.Unlock()
				if pass {
					_, _ = to.Write(buf[:n])
				}
			}
			if err != nil {
				_ = to.Close()
				return
			}
			n, err = from.Read(buf)
		}
	}
	go copyTo(c, s, nil)
	copyTo(s, c, first)
}
