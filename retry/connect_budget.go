package retry

import "time"

const (
	// MaxDialTime is the longest time for which a request waits for one connection. A round trip takes up
	// to 120 ms between regions.
	MaxDialTime = 400 * time.Millisecond
	// MaxConnectTime is the longest time for which a request waits for connections in all: one that can't
	// be opened does not keep it from another target.
	MaxConnectTime = 2 * MaxDialTime
	// minDialTime is the shortest time in which the opening of a connection may fail. A target is
	// suspected afterwards, and must have had time to respond.
	minDialTime = 150 * time.Millisecond
	// longWait is the time from which on a request has waited for long.
	longWait = 300 * time.Millisecond
)

// ConnectBudget bounds the time for which one request waits until connections are opened. In the zero
// value none has been spent. It is not safe for concurrent use.
type ConnectBudget struct {
	spent time.Duration
}

// Limit returns how long the request may wait for its next connection, or 0 if it may not wait and needs
// one that is open.
func (b *ConnectBudget) Limit() time.Duration {
	left := MaxConnectTime - b.spent
	if left < minDialTime {
		return 0
	}
	return min(left, MaxDialTime)
}

// Spend records that the request has waited for a connection, whether it was opened or not.
func (b *ConnectBudget) Spend(waited time.Duration) { b.spent += waited }

// HedgeLimit returns Limit for a second attempt that is started while a first one may still wait for its
// connection.
func (b *ConnectBudget) HedgeLimit() time.Duration {
	left := ConnectBudget{spent: b.spent + b.Limit()}
	return left.Limit()
}

// HasWaited reports whether the request has waited for so long that it should avoid to wait again.
func (b *ConnectBudget) HasWaited() bool { return b.spent >= longWait }
