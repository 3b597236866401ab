// Package sockopt provides socket options and checks of connections that package net lacks.
package sockopt

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a function for net.Dialer.Control that sets TCP_USER_TIMEOUT. The kernel then
// ends a connection whose sent bytes the peer has not acknowledged for that time. This happens when
// the peer is partitioned from the network or has lost power, and when packets of this connection
// are dropped while new connections work.
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

// Idle reports whether a connection is open and has no unread bytes. It consumes none. It returns
// true for a connection that is not a *net.TCPConn.
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

// PeerClosed reports whether the peer has closed or reset a connection. It consumes no bytes, and may
// be called while another goroutine reads from the connection. It returns true if this side has
// closed the connection, and false if the connection has no file descriptor.
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

// HungUp is like PeerClosed, for a connection that is known to have unread bytes. It needs one system
// call instead of two.
func HungUp(conn net.Conn) bool { return checkDescriptor(conn, hungUp) }

// hungUp reports whether poll shows that the peer has closed or reset the connection. It detects
// this also while bytes are unread, whereas a peek at the next byte does not.
func hungUp(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// checkDescriptor returns the result of check for the file descriptor of a connection. It returns
// false if the connection has none, and true if this side has closed the connection.
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
	// Control does not wait for a read in progress, whereas Read would.
	err = raw.Control(func(fd uintptr) { result = check(int(fd)) })
	return err != nil || result
}
