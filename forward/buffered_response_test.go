package forward

import (
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/availability"
	"github.com/rainford/rainford/upstream"
)

// noCodec parses nothing.
type noCodec struct{}

func (noCodec) ParseLoad(string) *upstream.LoadReport { return nil }
func (noCodec) IsReplaced(int) bool                   { return false }

func (noCodec) ParseSelfReport(int, http.Header) availability.SelfReport {
	return availability.SelfReport{}
}

// connPair returns a connection to a target, and the target's end of it.
func connPair(t *testing.T) (*conn, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	server, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return newConn(c), server
}

// TestBufferedResponseIsReadAfterDeadline guards against the loss of a response that
// arrived in time while the process was suspended until after the deadline. Without a
// buffered response the read must fail because of the deadline.
func TestBufferedResponseIsReadAfterDeadline(t *testing.T) {
	client := NewClient(Headers{RequestID: "Request-Id", Signature: "Signed"}, noCodec{}, nil)
	r := &Request{Method: http.MethodGet, ID: "q1"}
	cn, server := connPair(t)
	_, err := io.WriteString(server, "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nSigned: yes\r\nContent-Length: 2\r\n\r\nhi")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !cn.isQuiet() }, 5*time.Second, time.Millisecond)
	require.NoError(t, cn.SetDeadline(time.Unix(1, 0)))
	got, err := client.read(cn, r)
	require.NoError(t, err)
	require.Equal(t, "hi", string(got.body))

	silent, _ := connPair(t)
	require.NoError(t, silent.SetDeadline(time.Unix(1, 0)))
	_, err = client.read(silent, r)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
