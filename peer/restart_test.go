package peer

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// collector passes received messages to a channel.
type collector struct{ messages chan Message }

func (c collector) Receive(_ string, m Message) { c.messages <- m }
func (collector) Unreachable(string)            {}

// TestFirstFrameAfterRestart guards against the loss of the first message to a restarted
// peer, which is written to the connection of the previous process. The end of that
// connection must be noticed before the write. The first messages after a restart matter
// most, since they carry the changes that the peer has missed.
func TestFirstFrameAfterRestart(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	serve := func(addr string) (func(), collector, string) {
		ln, err := net.Listen("tcp", addr)
		require.NoError(t, err)
		c := collector{messages: make(chan Message, 16)}
		m := NewMesh(ln.Addr().String(), "", c, log)
		go func() { _ = m.Serve(ln) }()
		end := func() {
			_ = ln.Close()
			m.Close()
		}
		return end, c, ln.Addr().String()
	}
	sender := NewMesh("sender", "", collector{messages: make(chan Message, 1)}, log)
	defer sender.Close()
	endFirst, received, addr := serve("127.0.0.1:0")
	sender.Send(addr, &Probe{ReplyTo: "1"})
	require.Equal(t, &Probe{ReplyTo: "1"}, <-received.messages)
	endFirst()
	// The end of the connection takes a moment to arrive.
	time.Sleep(50 * time.Millisecond)
	endSecond, received, _ := serve(addr)
	defer endSecond()
	sender.Send(addr, &Probe{ReplyTo: "2"})
	select {
	case m := <-received.messages:
		require.Equal(t, &Probe{ReplyTo: "2"}, m)
	case <-time.After(5 * time.Second):
		require.Fail(t, "the message was written to the connection of the previous process")
	}
}
