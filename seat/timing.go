package seat

import "time"

// Timing contains the time limits of the roster's rules.
type Timing struct {
	// RenewInterval is the time between two renewals of the roster by the writer.
	RenewInterval time.Duration
	// PlatformLease is the length of a platform lease.
	PlatformLease time.Duration
	// PeerLease is the length of a peer lease.
	PeerLease time.Duration
	// MaxOffline is the longest time for which peer leases are valid without a
	// renewal in the roster.
	MaxOffline time.Duration
	// Window is the window of the caps. A seat passes to another holder one window
	// after its last use at the earliest.
	Window time.Duration
}

// DefaultTiming is the default timing of an instance.
var DefaultTiming = Timing{
	RenewInterval: 3 * time.Second,
	PlatformLease: 10 * time.Second,
	PeerLease:     5 * time.Second,
	MaxOffline:    2 * time.Hour,
	Window:        time.Second,
}

// clockDriftDivisor bounds the difference between the rates of two clocks. Over a time
// d, they differ by at most d/clockDriftDivisor.
const clockDriftDivisor = 50

// takeoverWait returns how long another instance waits until a lease of length d is
// certain to be over on the holder's clock. It includes the window that the holder's last
// uses still count in.
func (t Timing) takeoverWait(d time.Duration) time.Duration {
	return d + d/clockDriftDivisor + t.Window
}
