package pipelining

import "time"

// endTime is how long the rest of what a client sends is read after the last answer, so that
// the answer is not lost by a reset.
const endTime = 500 * time.Millisecond

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	return c.write(&c.own, p)
}

// write writes a part of the answer to the request of a turn.
func (c *conn) write(t *turn, p []byte) (int, error) {
	at, closes := announcesClose(p)
	if !closes {
		return c.Conn.Write(p)
	}
	c.mu.Lock()
	isLast := c.turns.isLast(t)
	c.last = c.last || isLast
	c.mu.Unlock()
	if isLast {
		return c.Conn.Write(p)
	}
	// Others that run already are answered behind this one.
	shorter := append(append(make([]byte, 0, len(p)), p[:at]...), p[at+len(closeLine)-len("\r\n"):]...)
	_, err := c.Conn.Write(shorter)
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close implements net.Conn. The server closes a connection after the last answer, when it rests,
// or when a request ends without an answer. The answers to others that were read before the end
// are still written.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.serving {
		c.serving = false
		c.closeTurn(&c.own)
	}
	c.closing = true
	c.endIfClosing()
	c.wake()
	if !c.ended {
		go c.watch()
	}
	return nil
}

// endTurn takes in that the request of a lane has been answered. The caller holds mu.
func (c *conn) endTurn(t *turn) {
	c.turns.end(t)
	c.endIfClosing()
	c.wake()
}

// closeTurn takes in that the server has closed the connection of a request: with the last
// answer, or without one, in which case none behind it may be answered either. The caller holds
// mu.
func (c *conn) closeTurn(t *turn) {
	if t.answered {
		c.turns.end(t)
	} else {
		c.last = true
		c.turns.dropFrom(t)
	}
	c.closing = c.closing || c.last
}

// endIfClosing ends the client's connection if it is to end and no turn is left. The caller holds
// mu.
func (c *conn) endIfClosing() {
	if !c.closing || c.ended || len(c.turns.waiting) > 0 {
		return
	}
	c.ended = true
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || c.gone != nil || len(c.unread) == 0 || half.CloseWrite() != nil {
		_ = c.Conn.Close()
		return
	}
	go c.linger()
}

// watch notices that the client leaves while requests run that were read before the server closed
// the connection.
func (c *conn) watch() {
	_ = c.Conn.SetReadDeadline(time.Time{})
	var ignored [512]byte
	for {
		_, err := c.Conn.Read(ignored[:])
		if err == nil {
			continue
		}
		c.mu.Lock()
		c.lose(err)
		c.endIfClosing()
		c.mu.Unlock()
		return
	}
}

// linger reads what the client still sends, and closes the connection then.
func (c *conn) linger() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(endTime))
	var rest [512]byte
	for {
		_, err := c.Conn.Read(rest[:])
		if err != nil {
			_ = c.Conn.Close()
			return
		}
	}
}
