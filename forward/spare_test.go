package forward

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newSpares() *spares {
	return &spares{slow: slowDial, targets: make(map[string]*spareState)}
}

// TestSparesForFarTargets checks that a connection is opened ahead only where it takes
// long to open one and the last request is recent, and one at a time.
func TestSparesForFarTargets(t *testing.T) {
	s := newSpares()
	now := time.Unix(0, 0)
	require.False(t, s.begin(now, "far"), "nothing is known yet")
	s.dialed("far", 45*time.Millisecond)
	s.dialed("near", 3*time.Millisecond)
	now = now.Add(100 * time.Millisecond)
	require.True(t, s.begin(now, "far"))
	require.False(t, s.begin(now, "far"), "one is being opened")
	s.end("far")
	require.True(t, s.begin(now, "far"))
	s.end("far")
	s.begin(now, "near")
	require.False(t, s.begin(now, "near"), "opening one takes no time")
	now = now.Add(2 * time.Second)
	require.False(t, s.begin(now, "far"), "it would be closed before its use")
	s.expire(now.Add(2 * spareForgotten))
	require.Empty(t, s.targets)
}

// TestSpareIsUsed checks that a spare connection is opened beside a request and used by
// the next one.
func TestSpareIsUsed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	c := NewClient(Headers{}, nil, nil)
	c.spares.slow = 0
	r := &Request{Target: "t", Addr: l.Addr().String(), Deadline: time.Now().Add(time.Minute)}
	first, err := c.connect(t.Context(), r)
	require.NoError(t, err)
	require.False(t, first.reused)
	second, err := c.connect(t.Context(), r)
	require.NoError(t, err)
	require.False(t, second.reused)
	require.Eventually(t, func() bool { return c.idle.count(r.place()) > 0 }, 5*time.Second, time.Millisecond)
	third, err := c.connect(t.Context(), r)
	require.NoError(t, err)
	require.True(t, third.reused, "it was open before it was needed")
	for range 3 {
		_ = (<-accepted).Close()
	}
}

// TestClosedSpareIsNotUsed checks that a spare connection that the target has closed is
// not taken for a request.
func TestClosedSpareIsNotUsed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c := NewClient(Headers{}, nil, nil)
	place := placeOf("t", l.Addr().String())
	c.spares.state("t").opening = true
	c.openSpare("t", l.Addr().String())
	require.Equal(t, 1, c.idle.count(place))
	server, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, server.Close())
	require.Eventually(t, func() bool {
		cn := c.idle.take(place, maxIdle)
		if cn != nil {
			c.idle.put(place, cn)
		}
		return cn == nil
	}, 5*time.Second, time.Millisecond)
}
