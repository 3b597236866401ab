package forward

import (
	"context"
	"net/http"
	"time"
)

// CheckHealth sends a health request for a path over a new connection to a target, and waits for the
// head of a response. It returns nil if one has arrived within the time-out, whatever its status.
func (c *Client) CheckHealth(addr, path string, timeout time.Duration) error {
	deadline := c.clock.Now().Add(timeout)
	cn, err := c.dial(context.Background(), addr, timeout)
	if err != nil {
		return err
	}
	defer func() { _ = cn.Close() }()
	_ = cn.SetDeadline(c.clock.System(deadline))
	_, err = cn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + addr + "\r\nConnection: close\r\n\r\n"))
	if err != nil {
		return err
	}
	cn.limited.allow(maxHeadBytes)
	// The body is not read: closing the connection ends it.
	_, err = http.ReadResponse(cn.reader, nil)
	return err
}
