package forward

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newSpares() *sparePolicy {
	return &sparePolicy{slowDial: slowDial, targets: make(map[string]*spareState)}
}

// TestSpareForDistantTargets checks that a spare connection is opened only if a dial takes
// long and the previous request is recent, and only one at a time.
func TestSpareForDistantTargets(t *testing.T) {
	s := newSpares()
	now := time.Unix(0, 0)
	require.False(t, s.startOpening(now, "far"), "no dial time is known yet")
	s.recordDial("far", 45*time.Millisecond)
	s.recordDial("near", 3*time.Millisecond)
	now = now.Add(100 * time.Millisecond)
	require.True(t, s.startOpening(now, "far"))
	require.False(t, s.startOpening(now, "far"), "a spare connection is being opened")
	s.finishOpening("far")
	require.True(t, s.startOpening(now, "far"))
	s.finishOpening("far")
	s.startOpening(now, "near")
	require.False(t, s.startOpening(now, "near"), "a dial takes little time")
	now = now.Add(2 * time.Second)
	require.False(t, s.startOpening(now, "far"), "the target would close it unused")
	s.expire(now.Add(2 * spareStateTTL))
	require.Empty(t, s.targets)
}

// TestSpareIsUsed checks that a request opens a spare connection in the background, and
// that a later request uses it.
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
	c.spares.slowDial = 0
	r := &Request{Target: "t", Addr: l.Addr().String(), Deadline: time.Now().Add(time.Minute)}
	first, err := c.connect(t.Context(), r)
	require.NoError(t, err)
	require.False(t, first.reused)
	second, err := c.connect(t.Context(), r)
	require.NoError(t, err)
	require.False(t, second.reused)
	require.Eventually(t, func() bool { return c.idle.size(r.endpoint()) > 0 }, 5*time.Second, time.Millisecond)
	third, err := c.connect(t.Context(), r)
	require.NoError(t, err)
	require.True(t, third.reused, "the spare connection was not used")
	for range 3 {
		_ = (<-accepted).Close()
	}
}

// TestClosedSpareIsNotUsed checks that a spare connection that the target has closed is not
// used for a request.
func TestClosedSpareIsNotUsed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c := NewClient(Headers{}, nil, nil)
	place := endpointKey("t", l.Addr().String())
	c.spares.state("t").opening = true
	c.openSpare("t", l.Addr().String())
	require.Equal(t, 1, c.idle.size(place))
	server, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, server.Close())
	require.Eventually(t, func() bool {
		cn := c.idle.take(place, maxIdle, hashID("q"))
		if cn != nil {
			c.idle.put(place, cn)
		}
		return cn == nil
	}, 5*time.Second, time.Millisecond)
}
