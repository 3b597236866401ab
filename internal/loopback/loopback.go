// Package loopback hands out addresses on 127.0.0.1 to programs and tests that start
// servers whose addresses have to be known beforehand, and that may be started again at
// the same address.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// The ports lie below those that the kernel gives to outgoing connections, one of
// which could otherwise take a port between its choice and its use. Each process
// begins elsewhere.
const (
	firstPort = 12000
	lastPort  = 32000
	portStep  = 131
)

var (
	mu       sync.Mutex
	nextPort = firstPort + (os.Getpid()*portStep)%(lastPort-firstPort)
)

// FreeAddr returns an address that nothing listens on and that this process has not
// handed out of late.
func FreeAddr() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	var last error
	for range lastPort - firstPort {
		nextPort++
		if nextPort >= lastPort {
			nextPort = firstPort
		}
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, ln.Close()
		}
		last = err
	}
	return "", last
}
