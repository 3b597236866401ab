package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/standin/link"
	"github.com/rainford/rainford/internal/standin/origin"
)

// loseTargets cuts the links of instances and waits until each has noticed it. The requests by which they
// notice it have been answered when it returns, so that none of them is counted later.
func (s *cutSite) loseTargets(t *testing.T, mode link.Mode, names ...string) {
	var sent sync.WaitGroup
	defer sent.Wait()
	for _, name := range names {
		s.links[name].Cut(mode, link.All)
	}
	for _, name := range names {
		in := s.instances[name]
		require.Eventually(t, func() bool {
			// More requests at a time than there are open connections need new ones.
			for i := range 40 {
				sent.Go(func() { in.sendKey(fmt.Sprint(i)) })
			}
			return in.metric("rainford_targets_lost") == 1
		}, contact, 50*time.Millisecond)
	}
}

// handedOver returns how many requests an instance has received from others.
func (in *instance) handedOver() int {
	return max(0, in.counted("rainford_handovers_total", `direction="in"`))
}

// setFault makes all servers answer each request with a fault.
func (s *cutSite) setFault(fault origin.Fault) {
	for _, server := range s.servers {
		server.SetScript(func(*http.Request) origin.Fault { return fault })
	}
}

// runsOf returns the runs of a request at all servers.
func (s *cutSite) runsOf(id string) []origin.Run {
	var out []origin.Run
	for _, server := range s.servers {
		for _, r := range server.Runs() {
			if r.ID == id {
				out = append(out, r)
			}
		}
	}
	return out
}

func TestHandoverKeepsTheResponse(t *testing.T) {
	s := newCutSite(t)
	s.configure(2, idempotentRoute, route{prefix: "/up/", service: "s", kind: "upload"}, route{prefix: oncePath, service: "s", kind: "non_idempotent"})
	in := s.instances["n1"]
	in.awaitStatus("/up/", 200)
	body := strings.Repeat("b", 900<<10)
	faults := []origin.Fault{origin.None, origin.Failed, origin.LostResponse, origin.Shed, origin.Unmarked503}
	send := func(fault origin.Fault) reply {
		s.setFault(fault)
		defer s.setFault(origin.None)
		return in.send("POST", "/up/?q=%2F", body)
	}
	var want []reply
	for _, fault := range faults {
		want = append(want, send(fault))
	}
	s.loseTargets(t, link.Reset, "n1")
	for i, fault := range faults {
		got := send(fault)
		require.Equal(t, want[i].status, got.status, "fault %d", fault)
		require.Equal(t, want[i].header.Get("Server-Signature") != "", got.header.Get("Server-Signature") != "")
		for name := range got.header {
			require.False(t, strings.HasPrefix(name, "Rainford-"), name)
		}
		runs := s.runsOf(got.id)
		require.LessOrEqual(t, len(runs), 1)
		require.False(t, got.status == 503 && len(runs) > 0)
		for _, r := range runs {
			require.Equal(t, body, string(r.Body))
			require.Equal(t, "/up/?q=%2F", r.URI)
		}
	}
	require.Positive(t, s.instances["n2"].handedOver()+s.instances["n3"].handedOver())
}

// TestHandoverIsNotPassedOn guards against requests that travel between instances that all reach no
// target, and against clients that wait for connections that can't be opened.
func TestHandoverIsNotPassedOn(t *testing.T) {
	for _, mode := range []link.Mode{link.Silent, link.Reset} {
		t.Run(mode.String(), func(t *testing.T) {
			t.Parallel()
			s := newCutSite(t)
			s.loadAll(300 * time.Millisecond)
			s.loseTargets(t, mode, "n1", "n2", "n3")
			before := 0
			for _, in := range s.instances {
				before += in.handedOver()
			}
			began := time.Now()
			const requests = 20
			for range requests {
				require.Equal(t, 503, s.instances["n1"].send("GET", readPath, "").status)
			}
			require.Less(t, time.Since(began), requests*100*time.Millisecond, "a request that nobody can serve is refused at once")
			after := 0
			for _, in := range s.instances {
				after += in.handedOver()
			}
			require.LessOrEqual(t, after-before, 3*requests)
		})
	}
}

// TestClientLeavesDuringHandover guards against targets that go on working for a client that has left.
func TestClientLeavesDuringHandover(t *testing.T) {
	s := newCutSite(t)
	s.loseTargets(t, link.Reset, "n1")
	canceled := func() int {
		n := 0
		for _, server := range s.servers {
			n += server.Canceled()
		}
		return n
	}
	s.setFault(origin.Silent)
	ctx, leave := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer leave()
	s.instances["n1"].sendAs(ctx, s.newID(), "GET", readPath, "")
	require.Eventually(t, func() bool { return canceled() > 0 }, time.Second, poll)
}

// TestHandoverStaysInHomeRegions guards against bodies that are passed to instances outside of the home
// regions of their requests.
func TestHandoverStaysInHomeRegions(t *testing.T) {
	s := newCutSite(t)
	s.configure(2, idempotentRoute, route{prefix: "/home/", service: "s", kind: "non_idempotent", homes: []string{"b"}})
	s.instances["n1"].awaitStatus("/home/", 200)
	s.loseTargets(t, link.Reset, "n1")
	before := s.instances["n2"].handedOver() + s.instances["n3"].handedOver()
	require.Equal(t, 503, s.instances["n1"].send("POST", "/home/", "body").status)
	require.Equal(t, before, s.instances["n2"].handedOver()+s.instances["n3"].handedOver())
	home := s.instance("n4", "b1", s.joining)
	home.awaitReady()
	require.Eventually(t, func() bool { return s.instances["n1"].send("POST", "/home/", "body").status == 200 }, wait, poll)
	require.Positive(t, home.handedOver())
}

// TestHandoverOfInvalidRequests checks what an instance answers to requests at its peer address that are
// no handovers for it.
func TestHandoverOfInvalidRequests(t *testing.T) {
	s := newCutSite(t)
	in := s.instances["n1"]
	valid := map[string]string{"Request-Id": "q1", "Expected-Instance": "n1", "Rainford-Attempts": "1", "Rainford-Config": "1", "Timeout-Ms": "1000", "Rainford-Secret": ""}
	send := func(change func(http.Header)) (int, string) {
		req, err := http.NewRequest("GET", "http://"+in.config.PeerListen+readPath, nil)
		require.NoError(t, err)
		req.Host = "h.example"
		for name, value := range valid {
			req.Header.Set(name, value)
		}
		change(req.Header)
		resp, err := in.client.Do(req)
		require.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, string(text)
	}
	status, _ := send(func(http.Header) {})
	require.Equal(t, 200, status)
	for _, c := range []struct {
		header, value string
		status        int
		text          string
	}{
		{"Rainford-Secret", "x", 403, "secret"},
		{"Expected-Instance", "n2", 421, "another instance"},
		{"Request-Id", "", 400, "request ID"},
		{"Rainford-Attempts", "0", 400, "attempts"},
		{"Rainford-Attempts", "-1x", 400, "attempts"},
		{"Rainford-Config", "r1", 400, "version"},
		{"Timeout-Ms", "soon", 400, "deadline"},
	} {
		status, text := send(func(h http.Header) { h.Set(c.header, c.value) })
		require.Equal(t, c.status, status, "%s: %q", c.header, c.value)
		require.Contains(t, text, c.text)
	}
	status, _ = send(func(h http.Header) { h.Set("Rainford-Config", "99") })
	require.Equal(t, 503, status, "the other instance has a newer configuration")
	require.Contains(t, s.logs["n1"].String(), `"msg":"handover rejected"`)
}
