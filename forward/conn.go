package forward

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/internal/sockopt"
)

const (
	maxDialTime = 800 * time.Millisecond
	// unackedTimeout ends a connection whose bytes the other side does not
	// acknowledge: it is cut off or has lost power.
	unackedTimeout = 2 * time.Second
	readBuffer     = 4 << 10

	// maxIdle is how long a connection is kept for requests that may run
	// more than once, and maxIdleOnce for those that may not.
	maxIdle              = 8 * time.Second
	maxIdleNonIdempotent = 3 * time.Second
	// maxIdlePerTarget bounds the connections kept to one target.
	maxIdlePerTarget = 16
)

// conn is a connection to a target.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time
	// maxIdle is what the target allows.
	maxIdle time.Duration
	reused  bool
}

// dial opens a connection to a target within the time that is left.
func dial(ctx context.Context, addr string, left time.Duration) (*conn, error) {
	dialer := net.Dialer{
		Timeout:   min(maxDialTime, left),
		KeepAlive: -1,
		Control:   sockopt.LimitUnacked(unackedTimeout),
	}
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer), maxIdle: maxIdle}, nil
}

// isQuiet tells whether the connection is open and nothing has arrived on it since
// the last answer: a kept connection with bytes on it carries something that is
// nobody's answer, and one at its end is of no use.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return sockopt.Quiet(c.Conn)
}

// idlePool holds the kept connections by target.
type idlePool struct {
	clock *clock.Clock

	mu    sync.Mutex
	conns map[string][]*conn
}

// take returns the connection used last, if it was used less than limit ago and
// is quiet.
func (i *idlePool) take(target string, limit time.Duration) *conn {
	now := i.clock.Now()
	for {
		c := i.pop(target)
		if c == nil {
			return nil
		}
		age := now.Sub(c.idleSince)
		if age < min(limit, c.maxIdle) && c.isQuiet() {
			c.reused = true
			return c
		}
		if age < c.maxIdle && age >= limit && c.isQuiet() {
			// Good enough for others.
			i.put(target, c)
			return nil
		}
		_ = c.Close()
	}
}

func (i *idlePool) pop(target string) *conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	list := i.conns[target]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	i.conns[target] = list[:len(list)-1]
	return c
}

// size returns the number of connections to a target that are kept.
func (i *idlePool) size(target string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.conns[target])
}

func (i *idlePool) release(target string, c *conn) {
	c.idleSince = i.clock.Now()
	i.put(target, c)
}

func (i *idlePool) put(target string, c *conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.conns[target]) >= maxIdlePerTarget {
		_ = c.Close()
		return
	}
	i.conns[target] = append(i.conns[target], c)
}

// closeAll closes all connections kept to a target.
func (i *idlePool) closeAll(target string) {
	i.mu.Lock()
	list := i.conns[target]
	delete(i.conns, target)
	i.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// expire closes connections that were idle for too long.
func (i *idlePool) expire(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for target, list := range i.conns {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.maxIdle {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(i.conns, target)
			continue
		}
		i.conns[target] = kept
	}
}
