package forward

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rainford/rainford/internal/clock"
	"github.com/rainford/rainford/internal/httpconn"
	"github.com/rainford/rainford/internal/sockopt"
	"github.com/rainford/rainford/retry"
)

const (
	// maxDialTime is the longest time that opening a connection may take if no other limit is given.
	maxDialTime = retry.MaxDialTime
	// slowDialNotice is the time after which the opening of a connection is reported as slow. A round
	// trip takes up to 120 ms between regions.
	slowDialNotice = 150 * time.Millisecond
	// unackedTimeout is how long sent bytes may remain unacknowledged before a connection
	// is closed. The target is then cut off from the network or has lost power.
	unackedTimeout = 2 * time.Second
	readBuffer     = 4 << 10

	// maxIdle is how long an idle connection is used for idempotent requests, and
	// maxIdleNonIdempotent for others. A target may close an idle connection just when a
	// request is sent on it, and a request that must not run twice can't be retried then.
	maxIdle              = 8 * time.Second
	maxIdleNonIdempotent = 3 * time.Second
	// maxIdlePerTarget bounds the number of idle connections to a target.
	maxIdlePerTarget = 16
)

// conn is a connection to a target.
type conn struct {
	*httpconn.Conn
	// reader reads from limited, which bounds what is read for a response.
	reader    *bufio.Reader
	limited   *limitedReader
	idleSince time.Time
	// maxIdle is how long the target keeps the connection open when it is idle.
	maxIdle time.Duration
	// reused is set once the connection has been taken from the idle pool.
	reused bool
	// received is set once a byte has arrived for the current request.
	received bool
	// surplus is the number of responses that arrived during the current request and do not
	// belong to it.
	surplus int
	// carried are the requests that were sent over the connection.
	carried carriedIDs
}

// begin records that a request is sent over the connection.
func (c *conn) begin(id requestID) {
	c.carried = append(c.carried, id)
	c.received, c.surplus = false, 0
}

// Dialer opens a TCP connection to an address within a time-out.
type Dialer func(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error)

// DialTCP is the Dialer of clients that have no other one.
func DialTCP(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: sockopt.UserTimeout(unackedTimeout)}
	return dialer.DialContext(ctx, "tcp", addr)
}

// dial opens a connection to a target within a time-out.
func (c *Client) dial(ctx context.Context, addr string, timeout time.Duration) (*conn, error) {
	opened, err := c.dialer(ctx, addr, timeout)
	if err != nil {
		return nil, err
	}
	return newConn(opened), nil
}

// newConn returns a connection to a target that has just been opened.
func newConn(opened net.Conn) *conn {
	checked := httpconn.New(opened)
	limited := &limitedReader{r: checked}
	return &conn{Conn: checked, reader: bufio.NewReaderSize(limited, readBuffer), limited: limited, maxIdle: maxIdle}
}

// isQuiet reports whether the connection is open and nothing has arrived on it since the
// last response. Bytes on an idle connection belong to no response that this client
// expects, and a closed connection is of no use.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return c.Idle()
}

// expectHead states that a head comes next. It returns an error if the bytes that have been read already contain an
// invalid one.
func (c *conn) expectHead() error {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.ExpectHead(buffered)
}

// idlePool holds idle connections by endpoint.
type idlePool struct {
	clock *clock.Clock

	mu    sync.Mutex
	conns map[string][]*conn
}

// take returns the most recently used connection that may carry a request and is quiet, or
// nil if there is none or it has been idle for limit or longer. It closes the connections
// that it finds closed, not quiet or idle for too long.
func (i *idlePool) take(target string, limit time.Duration, id requestID) *conn {
	now := i.clock.Now()
	for {
		c := i.pop(target, id)
		if c == nil {
			return nil
		}
		age := now.Sub(c.idleSince)
		if age < min(limit, c.maxIdle) && c.isQuiet() {
			c.reused = true
			return c
		}
		if age < c.maxIdle && age >= limit && c.isQuiet() {
			// Requests with a longer limit can use it.
			i.put(target, c)
			return nil
		}
		_ = c.Close()
	}
}

// pop removes and returns the connection that was added last of those that may carry a
// request, or nil.
func (i *idlePool) pop(target string, id requestID) *conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	list := i.conns[target]
	for at, c := range slices.Backward(list) {
		if c.carried.mayCarry(id) {
			i.conns[target] = slices.Delete(list, at, at+1)
			return c
		}
	}
	return nil
}

// size returns the number of idle connections to a target.
func (i *idlePool) size(target string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.conns[target])
}

// release adds a connection that has become idle now.
func (i *idlePool) release(target string, c *conn) {
	c.idleSince = i.clock.Now()
	i.put(target, c)
}

// put adds a connection, or closes it if there are maxIdlePerTarget.
func (i *idlePool) put(target string, c *conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.conns[target]) >= maxIdlePerTarget {
		_ = c.Close()
		return
	}
	i.conns[target] = append(i.conns[target], c)
}

// closeAll closes all idle connections to a target.
func (i *idlePool) closeAll(target string) {
	i.mu.Lock()
	list := i.conns[target]
	delete(i.conns, target)
	i.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// closeEverything closes all idle connections.
func (i *idlePool) closeEverything() {
	i.mu.Lock()
	all := i.conns
	i.conns = make(map[string][]*conn)
	i.mu.Unlock()
	for _, list := range all {
		for _, c := range list {
			_ = c.Close()
		}
	}
}

// expire closes the connections that have been idle for too long.
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
