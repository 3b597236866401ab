package gateway

import "time"

// isIsolated reports whether this instance has lost its links to all other halls.
func (g *Gateway) isIsolated(_ time.Time) bool { return false }
