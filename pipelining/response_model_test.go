package pipelining_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/pipelining"
)

// writtenResponse is a response as a server writes it.
type writtenResponse struct {
	interim, body string
	// fields are the lines of the final head.
	fields []string
	closes bool
	// pieces are the sizes of the writes, used in turn.
	pieces []int
	// delay is how long the server waits before the response.
	delay time.Duration
}

// text returns the response with or without the header that closes the connection.
func (w writtenResponse) text(closes bool) string {
	var text strings.Builder
	text.WriteString(w.interim + "HTTP/1.1 200 OK\r\n")
	for _, line := range w.fields {
		if closes || !strings.HasPrefix(line, "Connection: close") {
			text.WriteString(line + "\r\n")
		}
	}
	text.WriteString("\r\n" + w.body)
	return text.String()
}

// write writes the response in pieces.
func (w writtenResponse) write(conn net.Conn) error {
	time.Sleep(w.delay)
	rest := []byte(w.text(true))
	for i := 0; len(rest) > 0; i++ {
		n := min(w.pieces[i%len(w.pieces)], len(rest))
		piece := bytes.Clone(rest[:n])
		written, err := conn.Write(piece)
		if err != nil || written != n {
			return fmt.Errorf("wrote %d of %d bytes: %w", written, n, err)
		}
		clear(piece)
		rest = rest[n:]
	}
	return nil
}

// drawResponse draws a response whose body consists of text that looks like heads.
func drawResponse(t *rapid.T) writtenResponse {
	textual := rapid.SampledFrom([]string{"\r\n", "\r\n\r\n", "Connection: close", "Content-Length: 7", "HTTP/1.1 200 OK", "HTTP/1.1 100 Continue\r\n\r\n", "x", strings.Repeat("y", 600)})
	w := writtenResponse{
		body:   strings.Join(rapid.SliceOfN(textual, 0, 12).Draw(t, "body"), ""),
		fields: rapid.SliceOfN(rapid.SampledFrom([]string{"Content-Length: 5", "X-Connection: close", "Connection-X: close", "X: Connection: close", "Long: " + strings.Repeat("z", 700)}), 0, 5).Draw(t, "fields"),
		pieces: rapid.SliceOfN(rapid.OneOf(rapid.IntRange(1, 30), rapid.IntRange(1, 4096)), 1, 4).Draw(t, "pieces"),
		delay:  time.Duration(rapid.IntRange(0, 2).Draw(t, "delay")) * 100 * time.Microsecond,
	}
	w.interim = strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", rapid.IntRange(0, 2).Draw(t, "interim"))
	if rapid.Bool().Draw(t, "closes") {
		w.closes = true
		at := rapid.IntRange(0, len(w.fields)).Draw(t, "at")
		w.fields = append(w.fields[:at:at], append([]string{"Connection: close"}, w.fields[at:]...)...)
	}
	return w
}

// TestSwitchingProtocolsIsFinal guards against bytes behind a head with status 101 that are kept as
// if they were another head.
func TestSwitchingProtocolsIsFinal(t *testing.T) {
	client := newScriptedConn([][]byte{[]byte(get("/1"))})
	server := &http.Server{Handler: http.NotFoundHandler()}
	listener := pipelining.NewListener(server, &singleConnListener{conn: client, done: make(chan struct{})}, defaultLimits)
	defer func() { _ = listener.Close() }()
	conn, err := listener.Accept()
	require.NoError(t, err)
	_, err = http.ReadRequest(bufio.NewReader(conn))
	require.NoError(t, err)
	const head = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n"
	for _, piece := range []string{head[:20], head[20:] + "a", "b"} {
		_, err = conn.Write([]byte(piece))
		require.NoError(t, err)
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	require.Equal(t, head+"ab", client.got.String())
}

// TestResponsesModel guards against bytes of a body that are read as a head, and against
// heads that are not read because they take several writes. However the writes divide the
// responses and whatever their order, the client must receive exactly their bytes, except
// for the header that closes the connection in all but the last one.
func TestResponsesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		responses := rapid.SliceOfN(rapid.Custom(drawResponse), 1, 5).Draw(t, "responses")
		var expected strings.Builder
		for i, w := range responses {
			expected.WriteString(w.text(i == len(responses)-1))
		}
		require.Equal(t, expected.String(), deliver(t, responses))
	})
}

// deliver sends as many requests as there are responses at once, has them answered, and
// returns what the client received.
func deliver(t *rapid.T, responses []writtenResponse) string {
	var requests strings.Builder
	for i := range responses {
		requests.WriteString(get(fmt.Sprint("/", i)))
	}
	client := newScriptedConn([][]byte{[]byte(requests.String())})
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	listener := pipelining.NewListener(server, &singleConnListener{conn: client, done: make(chan struct{})}, defaultLimits)
	defer func() { _ = listener.Close() }()
	var started, ended sync.WaitGroup
	started.Add(len(responses))
	errs := make(chan error, len(responses))
	for range responses {
		conn, err := listener.Accept()
		require.NoError(t, err)
		ended.Go(func() { errs <- serveOne(server, conn, responses, &started) })
	}
	ended.Wait()
	for range responses {
		require.NoError(t, <-errs)
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.got.String()
}

// serveOne reads one request as an http.Server does, waits until all requests are read, and
// writes the response.
func serveOne(server *http.Server, conn net.Conn, responses []writtenResponse, started *sync.WaitGroup) error {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return err
	}
	// The server reads one byte ahead while a request runs.
	reading := make(chan struct{})
	go func() {
		defer close(reading)
		_, _ = conn.Read(make([]byte, 1))
	}()
	started.Done()
	started.Wait()
	var index int
	_, err = fmt.Sscanf(r.URL.Path, "/%d", &index)
	if err != nil {
		return err
	}
	server.Handler.ServeHTTP(nil, r.WithContext(server.ConnContext(context.Background(), conn)))
	w := responses[index]
	err = w.write(conn)
	_ = conn.SetReadDeadline(time.Unix(1, 0))
	<-reading
	if w.closes {
		_ = conn.Close()
		return err
	}
	server.ConnState(conn, http.StateIdle)
	return err
}
