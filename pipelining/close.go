package pipelining

import "time"

// lingerTime is how long the rest of what a client sends is read after the last answer, so that
// the answer is not lost by a reset.
const lingerTime = 500 * time.Millisecond

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	return c.write(&c.current, p)
}

// write writes a part of the answer to the request of a turn.
func (c *conn) write(e *entry, p []byte) (int, error) {
	at, closes := findConnectionClose(p)
	if !closes {
		return c.Conn.Write(p)
	}
	c.mu.Lock()
	isLast := c.queue.isLast(e)
	c.draining = c.draining || isLast
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
	c.serverClosed = true
	if c.serving {
		c.serving = false
		c.closeEntry(&c.current)
	}
	c.closing = true
	c.closeIfDone()
	c.interruptRead()
	if !c.connClosed {
		go c.watchClient()
	}
	return nil
}

// finishEntry takes in that the request of a lane has been answered. The caller holds mu.
func (c *conn) finishEntry(e *entry) {
	c.queue.finish(e)
	c.closeIfDone()
	c.interruptRead()
}

// closeEntry takes in that the server has closed the connection of a request: with the last
// answer, or without one, in which case none behind it may be answered either. The caller holds
// mu.
func (c *conn) closeEntry(e *entry) {
	if e.handled {
		c.queue.finish(e)
	} else {
		c.draining = true
		c.queue.abortFrom(e)
	}
	c.closing = c.closing || c.draining
}

// closeIfDone ends the client's connection if it is to end and no turn is left. The caller holds
// mu.
func (c *conn) closeIfDone() {
	if !c.closing || c.connClosed || len(c.queue.entries) > 0 {
		return
	}
	c.connClosed = true
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || c.readErr != nil || len(c.readAhead) == 0 || half.CloseWrite() != nil {
		_ = c.Conn.Close()
		return
	}
	go c.linger()
}

// watchClient notices that the client leaves while requests run that were read before the server closed
// the connection.
func (c *conn) watchClient() {
	_ = c.Conn.SetReadDeadline(time.Time{})
	var ignored [512]byte
	for {
		_, err := c.Conn.Read(ignored[:])
		if err == nil {
			continue
		}
		c.mu.Lock()
		c.fail(err)
		c.closeIfDone()
		c.mu.Unlock()
		return
	}
}

// linger reads what the client still sends, and closes the connection then.
func (c *conn) linger() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	var rest [512]byte
	for {
		_, err := c.Conn.Read(rest[:])
		if err != nil {
			_ = c.Conn.Close()
			return
		}
	}
}
