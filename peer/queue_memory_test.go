package peer

import (
	"bytes"
	"log/slog"
	"net"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/member"
)

// heapBytes returns the size of the heap after a collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// newStalledPeer returns the address of a peer that accepts connections and reads nothing.
func newStalledPeer(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	return ln.Addr().String()
}

// TestStalledPeersTakeLittleMemory guards against an instance that goes over its memory with messages for peers that
// read nothing, as those do that stand still during a series of changes. The bound is a share of the smallest
// machines' 184 MB, whatever the number of peers and the size of the messages.
func TestStalledPeersTakeLittleMemory(t *testing.T) {
	for _, c := range []struct {
		name         string
		peers, bytes int
	}{{"one peer", 1, 900 << 10}, {"four peers", 4, 900 << 10}, {"twelve peers", 12, 900 << 10}, {"many peers", 40, 100 << 10}} {
		t.Run(c.name, func(t *testing.T) {
			m := NewMesh("n0", "", &recorder{}, slog.New(slog.DiscardHandler))
			t.Cleanup(m.Close)
			addrs := make([]string, c.peers)
			for i := range addrs {
				addrs[i] = newStalledPeer(t)
			}
			before := heapBytes()
			for range 60 {
				for _, addr := range addrs {
					m.Send(addr, &Object{Key: "k", Value: bytes.Repeat([]byte("x"), c.bytes)})
				}
			}
			require.Less(t, heapBytes()-before, int64(32<<20))
			_, _, dropped := m.Traffic()
			for _, addr := range addrs {
				m.Send(addr, &Heartbeat{member.Heartbeat{From: member.Instance{ID: "n0"}}})
			}
			_, _, after := m.Traffic()
			require.Equal(t, dropped, after, "heartbeats have room beside large messages")
		})
	}
}
