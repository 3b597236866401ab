// Package membudget bounds the memory that many requests may use together.
//
// A Budget is a number of bytes. Each request draws from it by a Lease of its own, which returns all
// that it has drawn when it is released. ReadAll reads what others send into memory that it draws.
package membudget

import "sync"

// Budget is a number of bytes that leases draw from. It is safe for concurrent use.
type Budget struct {
	mu   sync.Mutex
	free int64
}

// New returns a budget of the given number of bytes.
func New(bytes int64) *Budget { return &Budget{free: bytes} }

// Free returns the number of bytes that no lease has drawn.
func (b *Budget) Free() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free
}

// Lease returns a lease that has drawn nothing.
func (b *Budget) Lease() *Lease { return &Lease{budget: b} }

// Lease is the part of a budget that one request has drawn. A nil lease is not bounded. It is safe for
// concurrent use.
type Lease struct {
	budget *Budget
	// drawn and released are protected by the mutex of the budget.
	drawn    int64
	released bool
}

// Draw draws a number of bytes. It reports false, and draws nothing, if the budget does not have them, or
// the lease was released.
func (l *Lease) Draw(bytes int64) bool {
	if l == nil {
		return true
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if l.released || bytes > l.budget.free {
		return false
	}
	l.budget.free -= bytes
	l.drawn += bytes
	return true
}

// Release returns all that was drawn. Nothing can be drawn afterwards.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.budget.free += l.drawn
	l.drawn, l.released = 0, true
}
