// Package sockopt does what sockets can and the standard library has no names for.
package sockopt

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a net.Dialer.Control that ends connections whose bytes the other
// side has not acknowledged for a time: it is cut off, has lost power, or the connection
// carries nothing any more while new ones work.
func UserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setErr
	}
}

// Idle tells whether a connection is open and nothing has arrived on it that was not read.
// One that is not of TCP counts as quiet.
func Idle(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN
		return true
	})
	return err == nil && idle
}

// PeerClosed tells whether the other side of a connection has closed or reset it. It reads nothing,
// and may be called beside a read.
func PeerClosed(conn net.Conn) bool {
	return checkDescriptor(conn, func(fd int) bool {
		var buf [1]byte
		n, _, err := unix.Recvfrom(fd, buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err == nil && n > 0 {
			return hungUp(fd)
		}
		return err == nil || !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
	})
}

// HungUp is Closed for a connection on which bytes are known to lie unread.
func HungUp(conn net.Conn) bool { return checkDescriptor(conn, hungUp) }

func hungUp(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// checkDescriptor returns what ask says of the descriptor of a connection: false if there is none,
// true if this side has closed it.
func checkDescriptor(conn net.Conn, check func(fd int) bool) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return true
	}
	result := false
	// Control does not wait for a read that is under way, as Read would.
	err = raw.Control(func(fd uintptr) { result = check(int(fd)) })
	return err != nil || result
}
