package share

import (
	"math"
	"time"

	"github.com/rainford/rainford/table"
)

// LoanRequest is a request for units of one row.
type LoanRequest struct {
	Row   table.RowKey `msgpack:"r"`
	Units int          `msgpack:"u"`
	// Nonce identifies the request, so that its sender can determine when it was
	// sent.
	Nonce uint64 `msgpack:"n"`
}

// Loan is the reply to a LoanRequest.
type Loan struct {
	Row   table.RowKey  `msgpack:"r"`
	Units int           `msgpack:"u"`
	For   time.Duration `msgpack:"d"`
	Nonce uint64        `msgpack:"n"`
	// Version is the version of the table that the lender's units are derived from.
	Version int64 `msgpack:"v"`
}

// LoanTerms are the settings of borrowing and lending.
type LoanTerms struct {
	// Duration is the longest duration of a loan.
	Duration time.Duration
	// RequestInterval is the shortest time between loan requests for one row.
	RequestInterval time.Duration
}

// DefaultLoanTerms are the terms that NewLedger sets.
var DefaultLoanTerms = LoanTerms{
	Duration:        5 * time.Second,
	RequestInterval: 500 * time.Millisecond,
}

// Borrower tracks the outstanding loan requests of one row.
type Borrower struct {
	terms     LoanTerms
	requested map[uint64]time.Time
	last      time.Time
}

// NewBorrower returns a borrower with the given terms.
func NewBorrower(terms LoanTerms) *Borrower {
	return &Borrower{terms: terms, requested: make(map[uint64]time.Time)}
}

// TryRequest reports whether to request more units now. If so, it records the
// nonces of the requests that are sent.
func (b *Borrower) TryRequest(now time.Time, nonces ...uint64) bool {
	if !b.last.IsZero() && now.Sub(b.last) < b.terms.RequestInterval {
		return false
	}
	for n, t := range b.requested {
		if now.Sub(t) > b.terms.Duration {
			delete(b.requested, n)
		}
	}
	b.last = now
	for _, n := range nonces {
		b.requested[n] = now
	}
	return true
}

// Receive adds a loan to the limiter if it answers an outstanding request of this
// borrower. Each request is answered at most once, so that a duplicated message
// is dropped. It returns the number of units added.
func (b *Borrower) Receive(now time.Time, l *Limiter, loan Loan) int {
	requestedAt, ok := b.requested[loan.Nonce]
	if !ok {
		return 0
	}
	delete(b.requested, loan.Nonce)
	if !l.Borrow(now, requestedAt, loan.Units, loan.For) {
		return 0
	}
	return loan.Units
}

// Lend handles a loan request with idle units of a limiter. Reserved is the number
// of idle units that stay with the lender. LeaseEnd is the end of the lender's
// lease, and no loan lasts beyond it. Lend returns false if no idle units
// are left beyond the reserved ones, or if the loan would be shorter than two windows.
func (t LoanTerms) Lend(now time.Time, l *Limiter, request LoanRequest, reserved int, leaseEnd time.Time) (Loan, bool) {
	length := min(t.Duration, leaseEnd.Sub(now))
	spare := min(l.Idle(now)-reserved, request.Units)
	if length < 2*l.window() {
		return Loan{}, false
	}
	n := l.Lend(now, spare, length)
	if n == 0 {
		return Loan{}, false
	}
	return Loan{Row: request.Row, Units: n, For: length, Nonce: request.Nonce}, true
}

// demand is an estimate of a row's use by the instance itself. It rises at once
// and decays slowly.
type demand float64

const (
	demandDecay = 0.8
	// reserveFactor is the multiple of its demand that a lender keeps.
	reserveFactor = 1.5
)

func (d *demand) observe(used int) {
	*d = max(demand(used), demandDecay**d)
}

// reserve returns the number of units to keep for the demand. A holder without
// demand keeps none. Otherwise, a cap of a few units would serve one instance only.
func (d demand) reserve() int {
	if d < 0.5 {
		return 0
	}
	return int(math.Ceil(reserveFactor * float64(d)))
}
