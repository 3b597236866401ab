// Package loopback hands out addresses to programs and tests that start servers whose
// addresses have to be known beforehand, and that may be started again at the same
// address. Each process has an IP address of its own where the system allows it, so that
// none takes the port of another one's server that has just ended.
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

// defaultHost is the IP address that is there on every system.
const defaultHost = "127.0.0.1"

// Host returns the IP address of this process's servers.
var Host = sync.OnceValue(func() string {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.1", 1+(pid>>7)%200, 1+pid%128)
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return defaultHost
	}
	_ = ln.Close()
	return host
})

// FreeAddr returns an address that nothing listens on and that this process has not
// handed out of late.
func FreeAddr() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	var lastErr error
	for range lastPort - firstPort {
		nextPort++
		if nextPort >= lastPort {
			nextPort = firstPort
		}
		addr := fmt.Sprintf("%s:%d", Host(), nextPort)
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, ln.Close()
		}
		lastErr = err
	}
	return "", lastErr
}
