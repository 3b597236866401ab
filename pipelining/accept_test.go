package pipelining_test

import (
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/failing"
	"github.com/rainford/rainford/pipelining"
)

// TestAcceptErrorsDoNotEndListener guards against a server that accepts no client any more after it
// had no free descriptor for one.
func TestAcceptErrorsDoNotEndListener(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	inner := &failing.Listener{Listener: ln}
	server := &http.Server{Handler: http.NotFoundHandler()}
	go func() { _ = server.Serve(pipelining.NewListener(server, inner, defaultLimits)) }()
	defer func() { _ = server.Close() }()
	url := "http://" + ln.Addr().String()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: wait}
	for range 3 {
		inner.SetError(syscall.EMFILE)
		enough := inner.Failed() + 2
		require.Eventually(t, func() bool {
			resp, err := client.Get(url)
			if err == nil {
				_ = resp.Body.Close()
			}
			return err != nil && inner.Failed() >= enough
		}, wait, poll)
		inner.SetError(nil)
		resp, err := client.Get(url)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
}
