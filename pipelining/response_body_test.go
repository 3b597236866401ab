package pipelining_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/pipelining"
)

// headersInText is text of a body that looks like the headers that a Listener reads.
const headersInText = "\r\nConnection: close\r\nContent-Length: 900000000\r\n\r\n"

// bodyCase is how a response is written.
type bodyCase struct {
	// bodyBytes is the size of the body, and headBytes that of an additional header.
	bodyBytes, headBytes int
	// flushes says that the head is written before the body, sized that the head states the
	// size of the body, and early that an interim response comes first.
	flushes, sized, early bool
	// closes says that the head closes the connection.
	closes bool
}

func (b bodyCase) String() string {
	return fmt.Sprintf("body=%d,head=%d,flush=%t,sized=%t,early=%t,close=%t", b.bodyBytes, b.headBytes, b.flushes, b.sized, b.early, b.closes)
}

// body returns the body of the response to a path.
func (b bodyCase) body(path string) string {
	text := "answer to " + path + headersInText
	return strings.Repeat(text, b.bodyBytes/len(text)+1)[:b.bodyBytes]
}

func (b bodyCase) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if pipelining.AwaitStart(r, true) != nil {
		panic(http.ErrAbortHandler)
	}
	if b.early {
		w.Header().Set("Link", "</style>; rel=preload")
		w.WriteHeader(http.StatusEarlyHints)
	}
	body := b.body(r.URL.Path)
	if b.sized {
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	}
	if b.headBytes > 0 {
		w.Header().Set("A-Large-Header", strings.Repeat("x", b.headBytes))
	}
	if b.closes {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(http.StatusOK)
	if b.flushes {
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = io.WriteString(w, body)
}

// TestBodyIsNotReadAsHead guards against bodies that are changed because their text looks
// like a header, and against heads that close the connection before further responses, for
// all sizes of heads and bodies and all ways of writing them.
func TestBodyIsNotReadAsHead(t *testing.T) {
	for _, bodyBytes := range []int{0, 10, 60, 2000, 4000, 4096, 5000, 8192, 100_000} {
		for _, headBytes := range []int{0, 3000, 3900, 4000, 4050, 4096, 9000} {
			for flags := range 1 << 4 {
				b := bodyCase{bodyBytes: bodyBytes, headBytes: headBytes, flushes: flags&1 > 0, sized: flags&2 > 0, early: flags&4 > 0, closes: flags&8 > 0}
				t.Run(b.String(), b.check)
			}
		}
	}
}

// check sends three requests at once, and three more if the connection stays open. None of the
// responses may be changed, and only the last one may close the connection.
func (b bodyCase) check(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{}
	paths := []string{"/1", "/2", "/3"}
	var started atomic.Int64
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		awaitMultiple(&started, int64(len(paths)))
		b.ServeHTTP(w, r)
	})
	go func() { _ = server.Serve(pipelining.NewListener(server, ln, defaultLimits)) }()
	defer func() { _ = server.Close() }()
	s := &testServer{t: t, addr: ln.Addr().String()}
	c := s.dial()
	b.checkResponses(t, c, paths)
	if b.closes {
		c.expectEnd()
		return
	}
	// The connection's next responses are separated from their bodies just as the first ones.
	b.checkResponses(t, c, paths)
}

// awaitMultiple increments a counter and waits until it is a multiple of n or has passed one.
func awaitMultiple(counter *atomic.Int64, n int64) {
	multiple := (counter.Add(1) + n - 1) / n * n
	for counter.Load() < multiple {
		time.Sleep(poll)
	}
}

// checkResponses sends one request for each path at once and checks the responses.
func (b bodyCase) checkResponses(t *testing.T, c *client, paths []string) {
	for _, path := range paths {
		c.send(get(path))
	}
	for i, path := range paths {
		resp, err := http.ReadResponse(c.reader, nil)
		if b.early && err == nil {
			require.Equal(t, http.StatusEarlyHints, resp.StatusCode)
			resp, err = http.ReadResponse(c.reader, nil)
		}
		require.NoError(t, err, path)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err, path)
		require.Equal(t, b.body(path), string(body), path)
		require.Equal(t, b.closes && i == len(paths)-1, resp.Close, path)
	}
}

// TestHeldBytesAreReadFromHead guards against a size of a waiting response that is read from
// its body, or is not found because the head takes several writes.
func TestHeldBytesAreReadFromHead(t *testing.T) {
	for _, headBytes := range []int{0, 3000, 4050, 9000} {
		for _, sized := range []bool{false, true} {
			b := bodyCase{bodyBytes: 100_000, headBytes: headBytes, sized: sized}
			t.Run(b.String(), func(t *testing.T) {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				goOn := make(chan struct{})
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_ = pipelining.AwaitStart(r, true)
					if r.URL.Path == "/1" {
						<-goOn
					}
					b.ServeHTTP(w, r)
				})}
				listener := pipelining.NewListener(server, ln, defaultLimits)
				go func() { _ = server.Serve(listener) }()
				defer func() { _ = server.Close() }()
				s := &testServer{t: t, addr: ln.Addr().String()}
				c := s.dial()
				c.send(get("/1"), get("/2"))
				held := func() int64 { _, held := listener.Usage(); return held }
				require.Eventually(t, func() bool { return held() > 0 }, wait, poll)
				if sized {
					require.EqualValues(t, b.bodyBytes, held())
				} else {
					require.Less(t, held(), int64(headBytes+2*4096))
				}
				close(goOn)
				c.expect("/1", "/2")
				require.Eventually(t, func() bool { return held() == 0 }, wait, poll)
			})
		}
	}
}
