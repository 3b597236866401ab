package link

import (
	"bufio"
	"context"
	"errors"
	"net"
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
		// open, accepted and refused state whether open connections work, and whether new ones are
		// accepted, or refused at once rather than timing out.
		open, accepted, refused bool
	}{{Silent, false, false, false}, {Reset, false, false, true}, {RefuseNew, true, false, true}, {HangNew, true, false, false},
		{OneWay, false, false, false}, {AcceptAndDrop, false, true, false}} {
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
			dropped, err := l.Dial(context.Background(), addr, 50*time.Millisecond)
			require.Equal(t, c.accepted, err == nil)
			require.Equal(t, c.refused, isRefused(err), "%v", err)
			if c.accepted {
				require.Error(t, exchange(dropped, 100*time.Millisecond))
			}
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

// TestOneWay checks that what is sent arrives although no response does, and that the connection breaks.
func TestOneWay(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	defer l.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	received := make(chan string, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		line, _ := bufio.NewReader(c).ReadString('\n')
		received <- line
		_, _ = c.Write([]byte(line))
	}()
	conn, err := l.Dial(context.Background(), ln.Addr().String(), time.Second)
	require.NoError(t, err)
	l.Cut(OneWay, All)
	began := time.Now()
	require.Error(t, exchange(conn, 2*UnackedTimeout))
	require.Equal(t, "x\n", <-received)
	require.Less(t, time.Since(began), UnackedTimeout+time.Second)
}

// TestAcceptAndDropDoesNotHeal checks that a connection that has dropped bytes stays useless.
func TestAcceptAndDropDoesNotHeal(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	defer l.Close()
	addr := echo(t)
	conn, err := l.Dial(context.Background(), addr, time.Second)
	require.NoError(t, err)
	l.Cut(AcceptAndDrop, All)
	require.Error(t, exchange(conn, 100*time.Millisecond))
	l.Restore()
	require.Error(t, exchange(conn, 100*time.Millisecond))
}

func TestTextOfCuts(t *testing.T) {
	for _, mode := range AllModes() {
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
