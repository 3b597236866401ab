package peer

import (
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/failing"
)

// TestAcceptErrorsDoNotEndServe guards against an instance that hears of no other one any more after
// it had no free descriptor for a connection.
func TestAcceptErrorsDoNotEndServe(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	inner := &failing.Listener{Listener: ln}
	received := collector{messages: make(chan Message, 16)}
	log := slog.New(slog.DiscardHandler)
	m := NewMesh("receiver", "", received, log)
	ended := make(chan error, 1)
	go func() { ended <- m.Serve(inner) }()
	inner.SetError(syscall.EMFILE)
	for inner.Failed() < 3 {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		_ = c.Close()
		require.Empty(t, ended)
		time.Sleep(time.Millisecond)
	}
	inner.SetError(nil)
	sender := NewMesh("sender", "", collector{messages: make(chan Message, 1)}, log)
	defer sender.Close()
	sender.Send(ln.Addr().String(), &Probe{ReplyTo: "1"})
	select {
	case got := <-received.messages:
		require.Equal(t, &Probe{ReplyTo: "1"}, got)
	case <-time.After(5 * time.Second):
		require.Fail(t, "no message was received after the errors")
	}
	require.NoError(t, ln.Close())
	require.NoError(t, <-ended)
	m.Close()
}
