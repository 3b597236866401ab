package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/gateway"
	"github.com/rainford/rainford/internal/standin/link"
	"github.com/rainford/rainford/internal/standin/objects"
	"github.com/rainford/rainford/internal/standin/raw"
)

// cutTarget answers each request with the first bytes of a response, and then closes the connection.
type cutTarget struct {
	*raw.Server
	// length is the number of bytes that are sent, or negative for the whole response.
	length atomic.Int64
	// framing is the part of the head that frames the body, and cuts the number of responses that were cut.
	framing string
	cuts    atomic.Int64
}

func startCutTarget(t *testing.T, framing string) *cutTarget {
	target := &cutTarget{framing: framing}
	target.length.Store(-1)
	server, err := raw.Start(target.serve)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	target.Server = server
	return target
}

// response returns the response to a request. Its body is "body" in all framings.
func (s *cutTarget) response(id string) string {
	body := "body"
	if strings.Contains(s.framing, "chunked") {
		body = "4\r\nbody\r\n0\r\n\r\n"
	}
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Signature: sound\r\n" + s.framing + "Connection: close\r\n\r\n" + body
}

func (s *cutTarget) serve(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(wait))
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	response := s.response(r.Header.Get("Request-Id"))
	length := s.length.Load()
	if length < 0 || length >= int64(len(response)) {
		_, _ = io.WriteString(c, response)
		return
	}
	s.cuts.Add(1)
	_, _ = io.WriteString(c, response[:length])
}

// cutPaths are the ways that a response takes to a client: what prepares an instance for it, and how a client
// sends two requests and gets their responses.
var cutPaths = map[string]func(n *instance) []reply{
	"direct": func(n *instance) []reply {
		return []reply{n.send("POST", "/once/x", "b")}
	},
	"pipelined": func(n *instance) []reply {
		conn := n.dial()
		defer conn.disconnect(false)
		var all strings.Builder
		for range 2 {
			fmt.Fprintf(&all, "GET /once/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nTimeout-Ms: 3000\r\n\r\n", n.site.newID())
		}
		conn.write(all.String())
		var replies []reply
		reader := bufio.NewReader(conn)
		for range 2 {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return replies
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				return replies
			}
			replies = append(replies, reply{status: resp.StatusCode, body: string(body)})
		}
		return replies
	},
}

// TestCutHeadIsNoAnswer guards against a client that gets a 200 with an empty or short body, framed as whole,
// because a target stopped in the middle of its response and closed the connection. It cuts responses at each byte,
// on the way to ordinary and to pipelined clients, and to those of an instance that hands requests over.
func TestCutHeadIsNoAnswer(t *testing.T) {
	for _, framing := range []string{"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n"} {
		for path, send := range cutPaths {
			for _, handsOver := range []bool{false, true} {
				t.Run(fmt.Sprintf("%.8s,%s,handover=%t", framing, path, handsOver), func(t *testing.T) {
					t.Parallel()
					testCutHead(t, framing, handsOver, send)
				})
			}
		}
	}
}

func testCutHead(t *testing.T, framing string, handsOver bool, send func(*instance) []reply) {
	s := newSite(t)
	s.configure(1, route{prefix: "/once/", service: "s", kind: "non_idempotent"}, route{prefix: "/x/", service: "s", kind: "idempotent"})
	target := startCutTarget(t, framing)
	for i := range 3 {
		s.store.SetServer(fmt.Sprint("i-", i), objects.Server{Service: "s", Address: target.Addr(), Zone: "a1", Slots: 9,
			State: "ready", WarmupRemaining: "0ms", Sequence: 1})
	}
	helper := s.instance("n2", "a1")
	n := helper
	if handsOver {
		n = s.cutOffInstance(t, helper)
	}
	served := func() bool {
		replies := send(n)
		return len(replies) > 0 && replies[0].status == http.StatusOK
	}
	whole := target.response("q00")
	for length := range len(whole) {
		require.Eventually(t, served, wait, poll)
		target.length.Store(int64(length))
		for _, r := range send(n) {
			if r.status/100 == 2 {
				require.Equal(t, "body", r.body, "cut after %q", whole[:length])
			}
		}
		target.length.Store(-1)
	}
	require.Greater(t, target.cuts.Load(), int64(len(whole)/2))
	require.Equal(t, handsOver, helper.handedOver() > 0)
}

// cutOffInstance starts an instance that reaches no target, and waits until it knows.
func (s *site) cutOffInstance(t *testing.T, helper *instance) *instance {
	targets, err := link.New()
	require.NoError(t, err)
	t.Cleanup(targets.Close)
	s.targetLink = targets
	n := s.instance("n1", "a1", func(c *gateway.Config) { c.Seeds = []string{helper.config.PeerListen} })
	n.awaitStatus("/x/", http.StatusOK)
	targets.Cut(link.Reset, link.All)
	require.Eventually(t, func() bool {
		var sent sync.WaitGroup
		for i := range 20 {
			sent.Go(func() { n.sendKey(fmt.Sprint(i)) })
		}
		sent.Wait()
		return n.metric("rainford_targets_lost") == 1
	}, wait, poll)
	return n
}
