package raw

import (
	"io"
	"net"
	"time"
)

// End is the way in which a server ends a connection.
type End int

// The ways to end a connection.
const (
	// Close ends the server's stream and reads what the client still sends.
	Close End = iota
	// Reset resets the connection.
	Reset
	// CloseThenReset ends the server's stream and then resets the connection.
	CloseThenReset
)

// Early is a server that responds before it has read a whole request, and reads no more of it.
type Early struct {
	// Read is the least number of bytes of the request that it reads first.
	Read int
	// Response is all that the server sends.
	Response string
	// Delay is the time after the response until the connection ends, and again until it is reset in the case
	// CloseThenReset.
	Delay time.Duration
	End   End
}

// Serve serves one connection. It is a function for Start.
func (e Early) Serve(c net.Conn) {
	err := awaitRequest(c, e.Read)
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, e.Response)
	time.Sleep(e.Delay)
	tcp := c.(*net.TCPConn)
	if e.End != Reset {
		_ = tcp.CloseWrite()
	}
	if e.End == Close {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	if e.End == CloseThenReset {
		time.Sleep(e.Delay)
	}
	_ = tcp.SetLinger(0)
}
