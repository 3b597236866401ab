package link

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echo starts a server that sends back each line.
func echo(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(c)
				for lines.Scan() {
					_, _ = c.Write(append(lines.Bytes(), '\n'))
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// exchange sends a line and returns the error of receiving it back within the time.
func exchange(c net.Conn, within time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(within))
	_, err := c.Write([]byte("x\n"))
	if err != nil {
		return err
	}
	_, err = c.Read(make([]byte, 2))
	return err
}

func TestModes(t *testing.T) {
	for _, c := range []struct {
		mode Mode
		// open and refused state whether open connections work, and whether new ones are refused
		// at once rather than timing out.
		open, refused bool
	}{{Silent, false, false}, {Reset, false, true}, {RefuseNew, true, true}, {HangNew, true, false}, {OneWay, false, false}} {
		t.Run(c.mode.String(), func(t *testing.T) {
			l, err := New()
			require.NoError(t, err)
			defer l.Close()
			addr := echo(t)
			conn, err := l.Dial(context.Background(), addr, time.Second)
			require.NoError(t, err)
			require.NoError(t, exchange(conn, time.Second))
			l.Cut(c.mode, All)
			err = exchange(conn, 100*time.Millisecond)
			require.Equal(t, c.open, err == nil, "%v", err)
			_, err = l.Dial(context.Background(), addr, 50*time.Millisecond)
			require.Error(t, err)
			require.Equal(t, c.refused, isRefused(err), "%v", err)
			l.Restore()
			conn, err = l.Dial(context.Background(), addr, time.Second)
			require.NoError(t, err)
			require.NoError(t, exchange(conn, time.Second))
		})
	}
}

func isRefused(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno == syscall.ECONNREFUSED
}

func TestCutOfOneAddress(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	defer l.Close()
	cut, whole := echo(t), echo(t)
	l.Cut(Reset, func(addr string) bool { return addr == cut })
	_, err = l.Dial(context.Background(), cut, time.Second)
	require.Error(t, err)
	_, err = l.Dial(context.Background(), whole, time.Second)
	require.NoError(t, err)
}

// TestOneWay checks that a one-way cut delivers requests and holds responses until its end.
func TestOneWay(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	l, err := New()
	require.NoError(t, err)
	defer l.Close()
	near, err := l.Dial(context.Background(), ln.Addr().String(), time.Second)
	require.NoError(t, err)
	far, err := ln.Accept()
	require.NoError(t, err)
	defer func() { _ = far.Close() }()
	l.Cut(OneWay, All)
	received := make([]byte, 1)
	_, err = near.Write([]byte("x"))
	require.NoError(t, err)
	_, err = far.Read(received)
	require.NoError(t, err, "the request must arrive")
	_, err = far.Write([]byte("y"))
	require.NoError(t, err)
	require.NoError(t, near.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = near.Read(received)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the response must not come back")
	l.Restore()
	require.NoError(t, near.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = near.Read(received)
	require.NoError(t, err)
	require.Equal(t, "y", string(received))
}

// TestSilentConnection checks that bytes that are held by a short cut are delivered after it, and that
// a long one breaks the connection.
func TestSilentConnection(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	defer l.Close()
	addr := echo(t)
	conn, err := l.Dial(context.Background(), addr, time.Second)
	require.NoError(t, err)
	l.Cut(Silent, All)
	time.AfterFunc(100*time.Millisecond, l.Restore)
	require.NoError(t, exchange(conn, time.Second))
	l.Cut(Silent, All)
	began := time.Now()
	require.Error(t, exchange(conn, 2*UnackedTimeout))
	require.Less(t, time.Since(began), UnackedTimeout+time.Second)
}

func TestTextOfCuts(t *testing.T) {
	for _, mode := range Modes() {
		got, affects, err := ParseCut(FormatCut(mode, nil))
		require.NoError(t, err)
		require.Equal(t, mode, got)
		require.True(t, affects("a:1"))
		_, affects, err = ParseCut(FormatCut(mode, []string{"a:1", "b:2"}))
		require.NoError(t, err)
		require.True(t, affects("b:2"))
		require.False(t, affects("c:3"))
	}
	_, affects, err := ParseCut("")
	require.NoError(t, err)
	require.Nil(t, affects)
	_, _, err = ParseCut("none all")
	require.Error(t, err)
}
