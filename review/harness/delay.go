//go:build review

package harness

import (
	"io"
	"net"
	"time"
)

// Delay starts a proxy in front of an address that delays all bytes in both directions, as the way between two
// regions does. It returns the address of the proxy.
func Delay(ip, addr string, oneWay time.Duration) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				far, err := net.Dial("tcp", addr)
				if err != nil {
					_ = near.Close()
					return
				}
				go pipe(near, far, oneWay)
				pipe(far, near, oneWay)
			}()
		}
	}()
	return ln.Addr().String(), nil
}

type piece struct {
	due  time.Time
	text []byte
}

// pipe copies bytes from one connection to another with a delay, and passes the end of the connection on.
func pipe(from, to net.Conn, delay time.Duration) {
	pieces := make(chan piece, 4096)
	go func() {
		defer close(pieces)
		for {
			buf := make([]byte, 16<<10)
			n, err := from.Read(buf)
			if n > 0 {
				pieces <- piece{time.Now().Add(delay), buf[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.text); err != nil {
			break
		}
	}
	time.Sleep(delay)
	_ = to.Close()
	_, _ = io.Copy(io.Discard, from)
	_ = from.Close()
}
