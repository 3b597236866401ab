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
	// Nonce names the ask, so that its sender finds when it was sent.
	Nonce uint64 `msgpack:"n"`
}

// Loan answers an Ask.
type Loan struct {
	Row   table.RowKey  `msgpack:"r"`
	Units int           `msgpack:"u"`
	For   time.Duration `msgpack:"d"`
	Nonce uint64        `msgpack:"n"`
	// Version is the version of the table that the lender's units follow.
	Version int64 `msgpack:"v"`
}

// LoanTerms are the settings of borrowing and lending.
type LoanTerms struct {
	// Duration is the length of a loan.
	Duration time.Duration
	// RequestInterval is the shortest time between two asks for one row.
	RequestInterval time.Duration
}

// DefaultLoanTerms were chosen by the measurement in docs/MEASUREMENTS.md.
var DefaultLoanTerms = LoanTerms{
	Duration:        5 * time.Second,
	RequestInterval: 500 * time.Millisecond,
}

// Borrower keeps the asks of one row that are under way.
type Borrower struct {
	terms     LoanTerms
	requested map[uint64]time.Time
	last      time.Time
}

// NewBorrower returns a borrower on the given terms.
func NewBorrower(terms LoanTerms) *Borrower {
	return &Borrower{terms: terms, requested: make(map[uint64]time.Time)}
}

// TryRequest tells whether to ask for more units now. If so it records the nonces of
// the asks that are sent.
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

// Receive adds a loan to the meter if it answers an ask of this borrower. Each
// ask is answered once: a copy of a loan that the network delivers twice is
// dropped. It returns the units added.
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

// Lend answers an ask from the idle units of m. Keep is the number of units that
// stay with the lender, and leaseEnd the end of the lender's own lease: no loan
// outlives it.
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

// demand follows the use of a row by the instance itself: it rises at once and
// falls slowly.
type demand float64

const (
	demandDecay = 0.8
	// reserveFactor times the demand stays with a lender.
	reserveFactor = 1.5
)

func (d *demand) observe(used int) {
	*d = max(demand(used), demandDecay**d)
}

// reserve returns the number of units that the demand needs. A holder without
// demand keeps none: else a cap of a few units would serve one instance only.
func (d demand) reserve() int {
	if d < 0.5 {
		return 0
	}
	return int(math.Ceil(reserveFactor * float64(d)))
}
