package forward

import "time"

// SetSlowDial sets the time to open a connection from which on spare connections are kept.
func (c *Client) SetSlowDial(d time.Duration) { c.spares.slowDial = d }
