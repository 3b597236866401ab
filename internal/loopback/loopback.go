// Package loopback provides local addresses to programs and tests that start servers. It is for
// servers whose address has to be known before the start, and for servers that are restarted at the
// same address. Where the system allows it, each process uses a loopback IP address of its own, so
// that no process takes the port of another process's server that has just ended.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// The ports are below the range from which the kernel assigns ports to outgoing connections.
// Otherwise such a connection could take a port between its choice and its use. Each process starts
// at a port that depends on its process ID.
const (
	firstPort = 12000
	lastPort  = 32000
	portStep  = 131
)

var (
	mu       sync.Mutex
	nextPort = firstPort + (os.Getpid()*portStep)%(lastPort-firstPort)
)

// defaultHost is the loopback IP address that exists on every system. Processes share it where the
// rest of 127.0.0.0/8 can't be used.
const defaultHost = "127.0.0.1"

// Host returns the IP address for the servers of this process. It always returns the same one.
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

// FreeAddr returns an address on which nothing listens. It returns an address again only after
// trying all other ports of the range. It returns the last error if it can listen on none of them.
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
