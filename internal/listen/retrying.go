package listen

import (
	"errors"
	"net"
	"time"
)

const (
	// minDelay is the pause after the first error. It doubles with each further one in a row,
	// up to maxDelay.
	minDelay = 5 * time.Millisecond
	maxDelay = 100 * time.Millisecond
)

// Retrying returns a listener whose Accept waits and tries again after an error of ln until that
// is closed. The error is then net.ErrClosed. The function onError, if it is not nil, is called
// with the first error of several in a row.
//
// Accept fails, for example, while the process has no free file descriptor. The listening socket
// stays open then, so that clients still connect to it, and wait in vain if nobody accepts them
// any more.
func Retrying(ln net.Listener, onError func(error)) net.Listener {
	return retrying{Listener: ln, onError: onError}
}

type retrying struct {
	net.Listener
	onError func(error)
}

// Accept implements net.Listener.
func (l retrying) Accept() (net.Conn, error) {
	for delay := minDelay; ; delay = min(2*delay, maxDelay) {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		if delay == minDelay && l.onError != nil {
			l.onError(err)
		}
		time.Sleep(delay)
	}
}
