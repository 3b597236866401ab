package seat

import "time"

// Timing are the lengths of time that the rules of a roster use.
type Timing struct {
	// Renew is the time between two writes of the roster's keeper.
	Renew time.Duration
	// Lease is the length of a platform lease.
	Lease time.Duration
	// Grant is the length of a peer lease.
	Grant time.Duration
	// Offline is how long a peer lease may stand in for a platform lease.
	Offline time.Duration
	// Window is the window of the caps: a seat changes hands one window after
	// its last use.
	Window time.Duration
}

// DefaultTiming is the timing of a daemon.
var DefaultTiming = Timing{
	Renew:   3 * time.Second,
	Lease:   10 * time.Second,
	Grant:   5 * time.Second,
	Offline: 2 * time.Hour,
	Window:  time.Second,
}

// clockDriftDivisor bounds the difference between the rates of two clocks.
const clockDriftDivisor = 50

// takeoverWait returns how long another instance waits to be sure that d is over on
// the holder's clock, with the window that its last uses still fill.
func (t Timing) takeoverWait(d time.Duration) time.Duration {
	return d + d/clockDriftDivisor + t.Window
}
