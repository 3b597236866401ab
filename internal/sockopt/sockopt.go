// Package sockopt sets options of sockets that the standard library has no names for.
package sockopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// LimitUnacked returns a net.Dialer.Control that ends connections whose bytes the other
// side has not acknowledged for a time: it is cut off, has lost power, or the connection
// carries nothing any more while new ones work.
func LimitUnacked(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setErr
	}
}
