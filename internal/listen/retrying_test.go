package listen_test

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/listen"
	"github.com/rainford/rainford/internal/standin/failing"
)

// open returns a listener on a free port.
func open(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, ln net.Listener) net.Conn {
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestAcceptGoesOnAfterErrors guards against a server that accepts no connection any more after
// errors, whatever they are and however many come in a row.
func TestAcceptGoesOnAfterErrors(t *testing.T) {
	for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPERM, errors.New("other")} {
		for _, inRow := range []int{0, 1, 2, 8} {
			t.Run(err.Error(), func(t *testing.T) {
				t.Parallel()
				inner := &failing.Listener{Listener: open(t)}
				var mu sync.Mutex
				var seen []error
				ln := listen.Retrying(inner, func(err error) {
					mu.Lock()
					defer mu.Unlock()
					seen = append(seen, err)
				})
				accepted := make(chan net.Conn, 1)
				go func() {
					c, err := ln.Accept()
					if err == nil {
						accepted <- c
					}
				}()
				inner.SetError(err)
				for range inRow {
					dial(t, ln)
				}
				require.Eventually(t, func() bool { return inner.Failed() == inRow }, 5*time.Second, time.Millisecond)
				inner.SetError(nil)
				last := dial(t, ln)
				c := <-accepted
				require.Equal(t, last.LocalAddr(), c.RemoteAddr())
				require.NoError(t, c.Close())
				require.Len(t, seen, min(inRow, 1))
			})
		}
	}
}

// TestAcceptEndsWithListener checks that Accept returns when the listener is closed, also while
// it waits after an error.
func TestAcceptEndsWithListener(t *testing.T) {
	for _, fails := range []bool{false, true} {
		inner := &failing.Listener{Listener: open(t)}
		ln := listen.Retrying(inner, nil)
		ended := make(chan error, 1)
		go func() {
			_, err := ln.Accept()
			ended <- err
		}()
		if fails {
			inner.SetError(syscall.EMFILE)
			dial(t, ln)
			require.Eventually(t, func() bool { return inner.Failed() == 1 }, 5*time.Second, time.Millisecond)
		}
		require.NoError(t, ln.Close())
		select {
		case err := <-ended:
			require.ErrorIs(t, err, net.ErrClosed)
		case <-time.After(5 * time.Second):
			require.Fail(t, "Accept did not return")
		}
	}
}
