package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/claim"
	"github.com/rainford/rainford/internal/standin/relay"
	"github.com/rainford/rainford/member"
	"github.com/rainford/rainford/seat"
	"github.com/rainford/rainford/share"
	"github.com/rainford/rainford/table"
)

func messages() []Message {
	return []Message{
		&Hello{From: "a", Secret: "s"},
		&Heartbeat{member.Heartbeat{From: member.Instance{ID: "a"}, Seat: seat.Heartbeat{Seq: 3, Released: []seat.SeatTerm{{Seat: 1, Term: 2}}}, Loads: []member.Load{{Service: "s", Free: 2}}, Heard: []string{"b"}}},
		&LoanRequest{share.LoanRequest{Row: table.RowKey{Service: "s", From: "a", To: "b"}, Units: 3, Nonce: 9}},
		&Loan{share.Loan{Units: 3, For: time.Second, Nonce: 9, Version: 4}},
		&Pull{Key: "config/table", Version: 3},
		&Object{Key: "config/table", Version: 3, Value: []byte("{}")},
		&Claim{Shard: claim.ShardID{TimeSlice: "x", Number: 1}, Op: claim.Op{Key: "k", Owner: "o", Attempt: 2}},
		&ClaimReply{Owner: "o", Reply: claim.Reply{Result: claim.Held, Status: 200}},
	}
}

func TestFrameRoundTrip(t *testing.T) {
	for _, m := range messages() {
		frame, err := Encode(m)
		require.NoError(t, err)
		got, err := ReadFrame(bytes.NewReader(frame))
		require.NoError(t, err)
		require.Equal(t, m, got)
	}
}

func FuzzReadFrame(f *testing.F) {
	for _, m := range messages() {
		frame, err := Encode(m)
		require.NoError(f, err)
		f.Add(frame)
	}
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{255, 255, 255, 255, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := ReadFrame(bytes.NewReader(data))
		if (m == nil) == (err == nil) {
			t.Fatalf("message %v, error %v", m, err)
		}
	})
}

type recorder struct {
	mu          sync.Mutex
	got         []Message
	unreachable []string
}

func (r *recorder) Receive(_ string, m Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.got = append(r.got, m)
}

func (r *recorder) Unreachable(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable = append(r.unreachable, addr)
}

func (r *recorder) unreachableCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.unreachable)
}

func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.got)
}

func startMesh(t *testing.T, name, secret string, r Receiver) (*Mesh, string) {
	t.Helper()
	m := NewMesh(name, secret, r, slog.New(slog.DiscardHandler))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- m.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		require.NoError(t, <-done)
		m.Close()
	})
	return m, ln.Addr().String()
}

// TestInvalidConnectionsAreClosed checks that a connection with an invalid Hello or a
// malformed frame is closed, and that the mesh continues to receive messages of other
// peers.
func TestInvalidConnectionsAreClosed(t *testing.T) {
	r := &recorder{}
	_, addr := startMesh(t, "a", "secret", r)
	friend, _ := startMesh(t, "b", "secret", &recorder{})
	hello, err := Encode(&Hello{From: "x", Secret: "secret"})
	require.NoError(t, err)
	wrong, err := Encode(&Hello{From: "x", Secret: "guess"})
	require.NoError(t, err)
	beat, err := Encode(&Heartbeat{})
	require.NoError(t, err)
	long := binary.BigEndian.AppendUint32(nil, maxFrameBytes+1)
	cases := map[string][]byte{
		"wrong secret":         append(wrong, beat...),
		"no hello":             beat,
		"large first frame":    append(binary.BigEndian.AppendUint32(nil, maxHelloBytes+1), 1),
		"too long":             append(append([]byte(nil), hello...), long...),
		"unknown kind":         append(append([]byte(nil), hello...), 0, 0, 0, 1, 99),
		"not msgpack":          append(append([]byte(nil), hello...), 0, 0, 0, 2, byte(kindHeartbeat), 0xc1),
		"text of another kind": []byte("GET / HTTP/1.1\r\n\r\n"),
	}
	for name, data := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", addr)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write(data)
			require.NoError(t, err)
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			_, err = io.ReadAll(conn)
			var timeout net.Error
			require.False(t, err != nil && isTimeout(err, &timeout), "the connection was not closed")
		})
	}
	require.Zero(t, r.count())
	friend.Send(addr, &Pull{Key: "k"})
	require.Eventually(t, func() bool { return r.count() == 1 }, 10*time.Second, 5*time.Millisecond)
}

func isTimeout(err error, out *net.Error) bool {
	e, ok := err.(net.Error)
	if ok {
		*out = e
	}
	return ok && e.Timeout()
}

func TestUnreachablePeerIsReported(t *testing.T) {
	r := &recorder{}
	m, _ := startMesh(t, "a", "s", r)
	m.Send("127.0.0.1:1", &Pull{Key: "k"})
	require.Eventually(t, func() bool { return r.unreachableCount() > 0 }, 10*time.Second, 5*time.Millisecond)
}

// TestSendNeverBlocks guards against a peer that does not read and thereby blocks the
// sender. Its frames must be dropped instead.
func TestSendNeverBlocks(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	m := NewMesh("a", "s", &recorder{}, slog.New(slog.DiscardHandler))
	big := &Object{Value: make([]byte, 512<<10)}
	for range 4 * queueCapacity {
		m.Send(ln.Addr().String(), big)
	}
	_, _, dropped := m.Traffic()
	require.Positive(t, dropped)
	m.Close()
}

// TestReconnect guards against a connection that silently drops all packets for good. After
// Reconnect, frames must arrive over a new connection.
func TestReconnect(t *testing.T) {
	r := &recorder{}
	_, addr := startMesh(t, "b", "", r)
	network, err := relay.Start(addr)
	require.NoError(t, err)
	t.Cleanup(network.Close)
	mesh, _ := startMesh(t, "a", "", &recorder{})
	mesh.Send(network.Addr(), &Probe{ReplyTo: "a"})
	require.Eventually(t, func() bool { return r.count() == 1 }, 10*time.Second, time.Millisecond)
	network.Silence()
	mesh.Send(network.Addr(), &Probe{ReplyTo: "a"})
	require.Never(t, func() bool { return r.count() > 1 }, 100*time.Millisecond, time.Millisecond)
	mesh.Reconnect(network.Addr())
	mesh.Send(network.Addr(), &Probe{ReplyTo: "a"})
	require.Eventually(t, func() bool { return r.count() == 2 }, 10*time.Second, time.Millisecond)
}
