package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/forward"
	"github.com/rainford/rainford/platform"
	"github.com/rainford/rainford/retry"
	"github.com/rainford/rainford/upstream"
)

// repeatingTarget is a target that sends copies of earlier responses on their connections.
type repeatingTarget struct {
	listener net.Listener
	// reply decides about each request.
	reply func(received) reply

	mu       sync.Mutex
	sends    int
	accepted int
}

// received is a request as a target receives it.
type received struct {
	id string
	// send is the number of the request among those of the target, and position that among those of
	// its connection, both from 0.
	send, position int
}

// reply is what a target does with a request.
type reply struct {
	// rejection is the status with which the request is rejected, "" if it is run.
	rejection string
	// work is how long the request runs.
	work time.Duration
	// copies are the copies of the response that the target sends later on the connection.
	copies []time.Duration
	// repeats is how often the target repeats its previous response on the connection before this one.
	repeats int
	// withoutID omits the request ID from the response.
	withoutID bool
}

func startRepeatingTarget(t require.TestingT, decide func(received) reply) *repeatingTarget {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &repeatingTarget{listener: ln, reply: decide}
	go s.accept()
	return s
}

func (s *repeatingTarget) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.accepted++
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *repeatingTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	var writing sync.Mutex
	write := func(text string) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = io.WriteString(c, text)
	}
	reader := bufio.NewReader(c)
	var previous string
	for position := 0; ; position++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		got := received{id: r.Header.Get("Request-Id"), send: s.sends, position: position}
		s.sends++
		s.mu.Unlock()
		answer := s.reply(got)
		time.Sleep(answer.work)
		for range answer.repeats {
			write(previous)
		}
		text := answer.text(got)
		previous = text
		write(text)
		for _, delay := range answer.copies {
			time.AfterFunc(delay, func() { write(text) })
		}
	}
}

// text returns the response to a request.
func (r reply) text(to received) string {
	id := "Request-Id: " + to.id + "\r\n"
	if r.withoutID || to.id == "" {
		id = ""
	}
	if r.rejection != "" {
		return "HTTP/1.1 " + r.rejection + "\r\nNot-Executed: 1\r\n" + id + "Content-Length: 0\r\n\r\n"
	}
	body := fmt.Sprint("run ", to.send)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sServer-Signature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func (s *repeatingTarget) acceptedConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// send sends a request with an ID, or without one if it is "".
func (s *repeatingTarget) send(c *forward.Client, id string) forward.Attempt {
	return s.sendWithin(c, id, 5*time.Second)
}

// sendWithin is send with a time-out.
func (s *repeatingTarget) sendWithin(c *forward.Client, id string, timeout time.Duration) forward.Attempt {
	header := http.Header{}
	if id != "" {
		header.Set("Request-Id", id)
	}
	return c.Do(context.Background(), &forward.Request{
		Method: "POST", URI: "/", Host: "h.example", Header: header, ID: id, Target: "i-1", TargetName: "i-1", Addr: s.listener.Addr().String(),
		Body: []byte("body"), Timeout: timeout, Deadline: time.Now().Add(timeout), NonIdempotent: true,
	})
}

var rejections = []string{"503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout", "400 Bad Request", "421 Misdirected Request"}

// TestLateRejectionIsNotTakenForNextSend guards against a request that counts as not run and has
// run: a late copy of its first rejection must not count for its second send, whatever the
// status, the time of the copy and the requests between.
func TestLateRejectionIsNotTakenForNextSend(t *testing.T) {
	for _, status := range rejections {
		for _, delay := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond} {
			for _, between := range []int{0, 1, 20} {
				t.Run(fmt.Sprintf("%s,delay=%s,between=%d", status, delay, between), func(t *testing.T) {
					t.Parallel()
					s := startRepeatingTarget(t, func(r received) reply {
						if r.send == 0 {
							return reply{rejection: status, copies: []time.Duration{delay, delay + 20*time.Millisecond}}
						}
						if r.id == "q" {
							return reply{work: 60 * time.Millisecond}
						}
						return reply{}
					})
					defer func() { _ = s.listener.Close() }()
					c := forward.NewClient(platform.Headers(), platform.Codec{}, nil)
					require.Equal(t, retry.NotRun, s.send(c, "q").Outcome)
					for i := range between {
						require.Equal(t, retry.Ran, s.send(c, fmt.Sprint("other", i)).Outcome)
					}
					a := s.send(c, "q")
					require.Equal(t, retry.Ran, a.Outcome)
					require.Equal(t, fmt.Sprint("run ", between+1), string(a.Response.Body))
				})
			}
		}
	}
}

// TestResponsesModelByConnection guards against a response to an earlier send that counts for a
// later one. Two callers share the connections, and send requests with few IDs or none. The target
// rejects some of them, sends copies of responses after any time, and omits the ID from some.
// No attempt may have another result than its own send.
func TestResponsesModelByConnection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replies := rapid.SliceOfN(rapid.Custom(drawReply), 8, 8).Draw(t, "replies")
		m := &responsesModel{lastSend: make(map[string]int), results: make(map[int]string)}
		s := startRepeatingTarget(t, func(r received) reply { return m.record(r, replies[r.send%len(replies)]) })
		defer func() { _ = s.listener.Close() }()
		c := forward.NewClient(platform.Headers(), platform.Codec{}, nil)
		defer c.CloseIdle()
		var callers sync.WaitGroup
		for _, ids := range [][]string{{"", "a", "b"}, {"c", "d"}} {
			sends := rapid.SliceOfN(rapid.SampledFrom(ids), 2, 8).Draw(t, "sends")
			pause := time.Duration(rapid.IntRange(0, 3).Draw(t, "pause")) * time.Millisecond
			callers.Go(func() {
				for _, id := range sends {
					m.check(id, s.sendWithin(c, id, 50*time.Millisecond))
					time.Sleep(pause)
				}
			})
		}
		callers.Wait()
		require.Empty(t, m.wrong)
	})
}

// responsesModel is what has become of each send.
type responsesModel struct {
	mu sync.Mutex
	// lastSend is the last send of each ID, and results has the results by send.
	lastSend map[string]int
	results  map[int]string
	wrong    []string
}

const notRun = "not run"

func (m *responsesModel) record(r received, answer reply) reply {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastSend[r.id] = r.send
	m.results[r.send] = notRun
	if answer.rejection == "" {
		m.results[r.send] = fmt.Sprint("run ", r.send)
	}
	return answer
}

// check compares the attempt that was made last with an ID with its send.
func (m *responsesModel) check(id string, a forward.Attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.results[m.lastSend[id]]
	switch {
	case a.Outcome == retry.NotRun && a.Sent && own != notRun:
		m.wrong = append(m.wrong, id+" counts as not run: "+own)
	case a.Outcome == retry.Ran && string(a.Response.Body) != own:
		m.wrong = append(m.wrong, id+" got "+string(a.Response.Body)+": "+own)
	}
}

func drawReply(t *rapid.T) reply {
	r := reply{
		rejection: rapid.SampledFrom(append([]string{"", "", ""}, rejections...)).Draw(t, "rejection"),
		work:      time.Duration(rapid.IntRange(0, 4).Draw(t, "work")) * time.Millisecond,
		withoutID: rapid.IntRange(0, 9).Draw(t, "without ID") == 0,
	}
	for range rapid.IntRange(0, 2).Draw(t, "copies") {
		r.copies = append(r.copies, time.Duration(rapid.IntRange(0, 12).Draw(t, "delay"))*time.Millisecond/2)
	}
	if r.rejection == "" {
		// The ID shows to which request a response that ran belongs.
		r.withoutID = false
	}
	return r
}

// TestRequestWithoutID checks that a request without an ID has a connection that has carried
// nothing else, gets the response without an ID, and leaves the connection to others.
func TestRequestWithoutID(t *testing.T) {
	s := startRepeatingTarget(t, func(r received) reply {
		if r.id == "" {
			return reply{rejection: "400 Bad Request", copies: []time.Duration{0}}
		}
		return reply{}
	})
	defer func() { _ = s.listener.Close() }()
	c := forward.NewClient(platform.Headers(), platform.Codec{}, nil)
	require.Equal(t, retry.Ran, s.send(c, "a").Outcome)
	for range 3 {
		a := s.send(c, "")
		require.Equal(t, retry.NotRun, a.Outcome)
		require.False(t, a.Reused)
		require.Equal(t, retry.Ran, s.send(c, fmt.Sprint("b", a.TargetResult.Latency)).Outcome)
	}
}

// TestOtherConnectionIsUsed checks that a request that is sent again uses another connection that
// is idle, and opens one only if there is none.
func TestOtherConnectionIsUsed(t *testing.T) {
	var arrived sync.WaitGroup
	arrived.Add(2)
	s := startRepeatingTarget(t, func(r received) reply {
		if r.send < 2 {
			arrived.Done()
			arrived.Wait()
		}
		return reply{rejection: rejections[0]}
	})
	defer func() { _ = s.listener.Close() }()
	c := forward.NewClient(platform.Headers(), platform.Codec{}, nil)
	var both sync.WaitGroup
	for _, id := range []string{"a", "b"} {
		both.Go(func() { s.send(c, id) })
	}
	both.Wait()
	require.Equal(t, 2, s.acceptedConns())
	require.True(t, s.send(c, "a").Reused)
	require.Equal(t, 2, s.acceptedConns())
	require.False(t, s.send(c, "a").Reused)
	require.Equal(t, 3, s.acceptedConns())
}

// TestSurplusIsCounted checks that an attempt reports the responses that belong to no request.
func TestSurplusIsCounted(t *testing.T) {
	s := startRepeatingTarget(t, func(r received) reply { return reply{repeats: 2 * r.position} })
	defer func() { _ = s.listener.Close() }()
	c := forward.NewClient(platform.Headers(), platform.Codec{}, nil)
	require.Zero(t, s.send(c, "a").Surplus)
	a := s.send(c, "b")
	require.Equal(t, upstream.Answered, a.TargetResult.Outcome)
	require.Equal(t, 2, a.Surplus)
	require.Equal(t, 4, s.send(c, "c").Surplus)
}
