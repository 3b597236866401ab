// Package loopback provides local addresses to programs and tests that start servers. It is for
// servers whose address has to be known before the start, and for servers that are restarted at the
// same address. Where the system allows it, each process uses a loopback IP address of its own, so
// that no process takes the port of another process's server that has just ended.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
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

// reservedPort is the port on which a process listens, without accepting connections, to reserve an
// IP address for itself. It is outside the range of FreeAddr.
const reservedPort = firstPort - 1

// maxHosts is the largest number of IP addresses that reserveHost tries.
const maxHosts = 64

// reservation is an IP address with the listener that reserves it.
type reservation struct {
	listener net.Listener
	host     string
}

// own is the reservation of this process. It is kept until the process ends, since a listener that is
// no longer referenced is closed.
var own = sync.OnceValue(func() reservation { return reserveHost(os.Getpid()) })

// Host returns the IP address for the servers of this process. It always returns the same one.
func Host() string { return own().host }

// reserveHost reserves an IP address that no other process uses through this package. The first address
// that it tries depends on the process ID. If it can't reserve any, it returns the address that exists
// on every system, without a listener.
func reserveHost(pid int) reservation {
	for n := pid; n < pid+maxHosts; n++ {
		host := fmt.Sprintf("127.%d.%d.1", 1+(n>>7)%200, 1+n%128)
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, reservedPort))
		if err == nil {
			return reservation{listener: ln, host: host}
		}
	}
	return reservation{host: defaultHost}
}

// maxStarts is the largest number of calls by Start.
const maxStarts = 8

// Start calls start, which starts a server at addresses of FreeAddr. If another process has begun to
// listen on one of them in the meantime, Start calls start again, so that start can get other
// addresses. It returns the last error.
func Start(start func() error) error {
	var err error
	for range maxStarts {
		err = start()
		if !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
	}
	return err
}

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
