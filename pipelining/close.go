package pipelining

import "time"

// lingerTime is how long the remaining bytes of the client are read after the last
// response. Closing the connection with unread bytes would reset it, and the client might
// lose the response.
const lingerTime = 500 * time.Millisecond

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	return c.writePart(&c.current, c.response.add(p), p)
}

// writePart writes the part of the response to the request of an entry that results from p,
// and returns the result of Write.
func (c *conn) writePart(e *entry, part responsePart, p []byte) (int, error) {
	if part.size() == 0 {
		return len(p), nil
	}
	if c.mustOmitClose(e, part.head) {
		part.head, part.isWritten = withoutClose(part.head), false
	}
	out := p
	if !part.isWritten {
		out = part.bytes()
	}
	_, err := c.Conn.Write(out)
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// mustOmitClose reports whether a final head, which may be empty, says that the connection
// ends although the responses to other requests follow. If none follow, no further requests
// are run.
func (c *conn) mustOmitClose(e *entry, head []byte) bool {
	if !closesConnection(head) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	isLast := c.queue.isLast(e)
	c.draining = c.draining || isLast
	return !isLast
}

// Close implements net.Conn. The server closes a connection after the last response, when
// it has been idle for too long, or when a request ends without a response. Responses to
// other requests that were read before are still written, except those behind a request that
// ends without a response.
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

// finishEntry records that the request of a virtual connection has been answered. The
// caller holds mu.
func (c *conn) finishEntry(e *entry) {
	c.queue.finish(e)
	c.closeIfDone()
	c.interruptRead()
}

// closeEntry records that the server has closed the connection of a request. If the handler
// has not returned, the request gets no response, and neither do those behind it. The
// caller holds mu.
func (c *conn) closeEntry(e *entry) {
	if e.handled {
		c.queue.finish(e)
	} else {
		c.draining = true
		c.queue.abortFrom(e)
	}
	c.closing = c.closing || c.draining
}

// closeIfDone closes the connection of the client if it is to be closed and the response
// queue is empty. The caller holds mu.
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

// watchClient waits until the client disconnects, after the server has closed the
// connection while requests that were read before are running.
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

// linger reads and discards what the client still sends for lingerTime, and then closes the
// connection.
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
