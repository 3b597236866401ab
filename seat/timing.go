package seat

import "time"

// Timing are the lengths of time that the rules of a roster use.
type Timing struct {
	// RenewInterval is the time between two writes of the roster's keeper.
	RenewInterval time.Duration
	// PlatformLease is the length of a platform lease.
	PlatformLease time.Duration
	// PeerLease is the length of a peer lease.
	PeerLease time.Duration
	// MaxOffline is how long a peer lease may stand in for a platform lease.
	MaxOffline time.Duration
	// Window is the window of the caps: a seat changes hands one window after
	// its last use.
	Window time.Duration
}

// DefaultTiming is the timing of a daemon.
var DefaultTiming = Timing{
	RenewInterval: 3 * time.Second,
	PlatformLease: 10 * time.Second,
	PeerLease:     5 * time.Second,
	MaxOffline:    2 * time.Hour,
	Window:        time.Second,
}

// clockDriftDivisor bounds the difference between the rates of two clocks.
const clockDriftDivisor = 50

// takeoverWait returns how long another instance waits to be sure that d is over on
// the holder's clock, with the window that its last uses still fill.
func (t Timing) takeoverWait(d time.Duration) time.Duration {
	return d + d/clockDriftDivisor + t.Window
}
