package peer

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// counter is a Receiver that passes on messages.
type counter struct{ received chan Message }

func (c counter) Receive(_ string, m Message) { c.received <- m }
func (counter) Unreachable(string)            {}

// serveMesh starts a mesh with the secret "s" that serves frames, and HTTP requests if handler is not
// nil. It returns the mesh, its address and the messages that it receives.
func serveMesh(t *testing.T, handler http.Handler) (*Mesh, string, <-chan Message) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	received := counter{make(chan Message, 10)}
	m := NewMesh(ln.Addr().String(), "s", received, slog.New(slog.DiscardHandler))
	if handler != nil {
		server := &http.Server{Handler: handler}
		go func() { _ = server.Serve(m.Requests()) }()
		t.Cleanup(func() { _ = server.Close() })
	}
	go func() { _ = m.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		m.Close()
	})
	return m, ln.Addr().String(), received.received
}

func TestRequestsShareThePeerAddress(t *testing.T) {
	_, addr, received := serveMesh(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(append([]byte(r.Method), body...))
	}))
	sender, _, _ := serveMesh(t, nil)
	for range 2 {
		sender.Send(addr, &Probe{ReplyTo: "x"})
		require.Equal(t, &Probe{ReplyTo: "x"}, <-received)
		resp, err := http.Post("http://"+addr+"/", "", bytes.NewReader(make([]byte, 100_000)))
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Len(t, body, 100_004)
	}
}

func TestRequestsAreRejectedWithoutListener(t *testing.T) {
	_, addr, _ := serveMesh(t, nil)
	_, err := (&http.Client{Timeout: 5 * time.Second}).Get("http://" + addr)
	require.Error(t, err)
}

func TestSecretOfRequests(t *testing.T) {
	m, _, _ := serveMesh(t, nil)
	h := http.Header{}
	require.False(t, m.HasSecret(h))
	h.Set(HeaderSecret, "other")
	require.False(t, m.HasSecret(h))
	m.SetSecret(h)
	require.True(t, m.HasSecret(h))
	h.Add(HeaderSecret, "s")
	require.False(t, m.HasSecret(h), "two secrets")
}
