package peer

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// collector keeps the messages that arrive.
type collector struct{ messages chan Message }

func (c collector) Receive(_ string, m Message) { c.messages <- m }
func (collector) Unreachable(string)            {}

// TestFirstFrameAfterRestart checks that the first message to a peer that has started again
// arrives: the connection to the process before is known to have ended before it is written
// to. What is lost otherwise is what a peer needs first, such as the news that it missed.
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
	// The end of the connection is on its way for a moment.
	time.Sleep(50 * time.Millisecond)
	endSecond, received, _ := serve(addr)
	defer endSecond()
	sender.Send(addr, &Probe{ReplyTo: "2"})
	select {
	case m := <-received.messages:
		require.Equal(t, &Probe{ReplyTo: "2"}, m)
	case <-time.After(5 * time.Second):
		require.Fail(t, "the message was written to the connection of the process before")
	}
}
