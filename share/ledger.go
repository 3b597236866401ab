package share

import (
	"hash/fnv"
	"sort"
	"time"

	"github.com/rainford/rainford/table"
)

// Ledger holds one instance's units of all capped rows that start in its
// region. It is not safe for concurrent use.
type Ledger struct {
	// SeatCount is the number of seats that a hall's share is divided over.
	SeatCount int
	// NoLoans disables borrowing and lending, as a baseline for measurements.
	NoLoans bool
	// Terms are the terms of loans. NewLedger sets them to DefaultLoanTerms.
	Terms LoanTerms

	hall           string
	region         string
	plan           *table.Plan
	seats          []int
	leaseEnd       time.Time
	rows           map[table.RowKey]*rowEntry
	nonce          uint64
	lendingStopped bool
}

// rowEntry is the state of one row.
type rowEntry struct {
	limiter   Limiter
	ramp      Ramp
	borrower  *Borrower
	rowCap    int
	hallShare int
	unmet     int
	demand    demand
}

// limiterWindow exceeds the window of the caps by 0.1 percent, to allow for the error
// of a clock's rate. Otherwise, windows would end early on a clock that runs fast.
const limiterWindow = table.CapWindow + table.CapWindow/1000

// NewLedger returns the ledger of an instance in a hall, without units. Nonce
// is the number from which the instance's loan requests are numbered. It should
// differ between processes.
func NewLedger(hall, region string, seatCount int, nonce uint64) *Ledger {
	if seatCount <= 0 {
		panic("share: seat count must be positive")
	}
	return &Ledger{
		SeatCount: seatCount,
		Terms:     DefaultLoanTerms,
		hall:      hall,
		region:    region,
		rows:      make(map[table.RowKey]*rowEntry),
		nonce:     nonce,
	}
}

// SetPlan replaces the table. A lowered cap takes effect at once.
func (l *Ledger) SetPlan(plan *table.Plan) {
	l.plan = plan
	listed := make(map[table.RowKey]bool)
	for _, row := range plan.Table.Rows {
		if row.From != l.region || row.Cap == table.NoCap {
			continue
		}
		listed[row.Key()] = true
		entry := l.rows[row.Key()]
		if entry == nil {
			entry = &rowEntry{limiter: Limiter{Window: limiterWindow}, borrower: NewBorrower(l.Terms)}
			l.rows[row.Key()] = entry
		}
		if row.Cap < entry.rowCap {
			// Units borrowed under the higher cap are not part of any
			// holder's share of the lower cap.
			entry.limiter.DropBorrowed()
		}
		entry.rowCap = row.Cap
		entry.ramp.Configure(row.Shift, row.Ramp)
		entry.hallShare = HallShare(plan, row, l.hall)
	}
	for key, entry := range l.rows {
		if !listed[key] {
			entry.hallShare = 0
			entry.rowCap = 0
			entry.limiter.DropBorrowed()
		}
	}
	l.updateUnits()
}

// HallShare returns the units of a row that belong to a hall of the row's
// origin region. It returns 0 for halls of other regions.
func HallShare(plan *table.Plan, row table.Row, hall string) int {
	halls := plan.Halls(row.From)
	for i, h := range halls {
		if h == hall {
			return Split(row.Cap, len(halls), i, rowOffset(row.Key()))
		}
	}
	return 0
}

// SeatShare returns the units of a hall's share that belong to a seat.
func SeatShare(hallShare, seatCount, seat int, row table.RowKey) int {
	return Split(hallShare, seatCount, seat, rowOffset(row))
}

// rowOffset returns a row's offset for Split, so that the remainders of different
// rows go to different halls and seats.
func rowOffset(row table.RowKey) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(row.String()))
	return int(h.Sum32() >> 1)
}

// SetSeats sets the seats held and the end of their lease.
func (l *Ledger) SetSeats(seats []int, leaseEnd time.Time) {
	l.leaseEnd = leaseEnd
	if equalInts(seats, l.seats) {
		return
	}
	l.seats = append(l.seats[:0:0], seats...)
	l.updateUnits()
}

func equalInts(a, b []int) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func (l *Ledger) updateUnits() {
	for key, entry := range l.rows {
		units := 0
		for _, seat := range l.seats {
			units += SeatShare(entry.hallShare, l.SeatCount, seat, key)
		}
		entry.limiter.SetUnits(units)
	}
}

// expireLease drops the units once the lease has ended. It is called before each
// use of the limiters.
func (l *Ledger) expireLease(now time.Time) {
	if len(l.seats) > 0 && !now.Before(l.leaseEnd) {
		l.seats = nil
		l.updateUnits()
	}
}

// Admission is the ledger's decision on a request.
type Admission int

// The decisions.
const (
	// Admitted means that the request may be sent. It uses a unit, unless the row
	// has no cap.
	Admitted Admission = iota
	// NoUnits means that all units held are in use, or that none are held.
	NoUnits
	// RampLimited means that units are free, but that the ramp does not allow
	// their use yet.
	RampLimited
)

// Admit decides whether a request of a row may be sent now.
func (l *Ledger) Admit(now time.Time, row table.Row) Admission {
	if row.Cap == table.NoCap {
		return Admitted
	}
	l.expireLease(now)
	entry := l.rows[row.Key()]
	if entry == nil {
		return NoUnits
	}
	used, total := entry.limiter.Used(now), entry.limiter.Total(now)
	if total > 0 && used >= entry.ramp.Allowed(now, total) && used < total {
		return RampLimited
	}
	if !entry.limiter.Allow(now) {
		entry.unmet++
		return NoUnits
	}
	return Admitted
}

// Observe updates the ramps and the demand of all rows with the use of the last
// window. The caller calls it about once per window. Warm reports whether a
// service in a region answers about as fast as usual.
func (l *Ledger) Observe(now time.Time, warm func(service, region string) bool) {
	l.expireLease(now)
	for key, entry := range l.rows {
		used := entry.limiter.Used(now)
		entry.demand.observe(used)
		entry.ramp.Observe(now, used, entry.limiter.Total(now), warm(key.Service, key.To))
	}
}

// LoanRequests returns the loan requests to send now for the rows that ran out of
// units since the last call. There are count requests for each row, to be sent to
// one lender each, but none for a row whose last requests are more recent than
// LoanTerms.RequestInterval.
func (l *Ledger) LoanRequests(now time.Time, count int) []LoanRequest {
	if l.NoLoans {
		return nil
	}
	var out []LoanRequest
	for _, key := range l.sortedRows() {
		entry := l.rows[key]
		if entry.unmet == 0 {
			continue
		}
		out = append(out, l.requestsFor(now, key, entry, count)...)
		entry.unmet = 0
	}
	return out
}

func (l *Ledger) requestsFor(now time.Time, key table.RowKey, entry *rowEntry, count int) []LoanRequest {
	nonces := make([]uint64, count)
	for i := range nonces {
		l.nonce++
		nonces[i] = l.nonce
	}
	if !entry.borrower.TryRequest(now, nonces...) {
		return nil
	}
	each := (entry.unmet + count - 1) / count
	out := make([]LoanRequest, count)
	for i := range out {
		out[i] = LoanRequest{Row: key, Units: each, Nonce: nonces[i]}
	}
	return out
}

func (l *Ledger) sortedRows() []table.RowKey {
	keys := make([]table.RowKey, 0, len(l.rows))
	for key := range l.rows {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].String() < keys[j].String() })
	return keys
}

// Lend handles a loan request of another instance. It returns false if there is
// nothing to lend, or if lending is disabled or has been stopped.
func (l *Ledger) Lend(now time.Time, request LoanRequest) (Loan, bool) {
	l.expireLease(now)
	entry := l.rows[request.Row]
	if entry == nil || l.NoLoans || l.lendingStopped {
		return Loan{}, false
	}
	loan, ok := l.Terms.Lend(now, &entry.limiter, request, entry.demand.reserve(), l.leaseEnd)
	loan.Version = l.plan.Version
	return loan, ok
}

// StopLending ends lending before a planned shutdown.
func (l *Ledger) StopLending() { l.lendingStopped = true }

// LastLoanEnd returns the latest end of the loans that this instance has given, or
// the zero time if there are none.
func (l *Ledger) LastLoanEnd() time.Time {
	var end time.Time
	for _, entry := range l.rows {
		if t := entry.limiter.LastLoanEnd(); t.After(end) {
			end = t
		}
	}
	return end
}

// Receive adds the units of a loan, and returns their number.
func (l *Ledger) Receive(now time.Time, loan Loan) int {
	entry := l.rows[loan.Row]
	if entry == nil || loan.Version < l.plan.Version {
		// A loan that was made under an older table may contain units that do
		// not exist in the newer one.
		return 0
	}
	return entry.borrower.Receive(now, &entry.limiter, loan)
}

// RowState is the state of one row, for status reports and metrics.
type RowState struct {
	Row       table.RowKey `json:"row"`
	Units     int          `json:"units"`
	Used      int          `json:"used"`
	Available int          `json:"available"`
	Lent      int          `json:"lent"`
	Level     int          `json:"level"`
}

// States returns the state of every row, ordered by key.
func (l *Ledger) States(now time.Time) []RowState {
	l.expireLease(now)
	var out []RowState
	for _, key := range l.sortedRows() {
		entry := l.rows[key]
		out = append(out, RowState{
			Row:       key,
			Units:     entry.limiter.Units(),
			Used:      entry.limiter.Used(now),
			Available: entry.limiter.Available(now),
			Lent:      entry.limiter.Lent(now),
			Level:     entry.ramp.Level(),
		})
	}
	return out
}

// TimeToUnit returns the time from now until the oldest recorded use of the row's own
// units is one window of the caps old, at least 0. It returns one window if no use is
// recorded or the row is unknown, even if units are free.
func (l *Ledger) TimeToUnit(now time.Time, row table.RowKey) time.Duration {
	entry := l.rows[row]
	if entry == nil {
		return table.CapWindow
	}
	oldest, ok := entry.limiter.uses.oldest()
	if !ok {
		return table.CapWindow
	}
	return max(oldest.Add(table.CapWindow).Sub(now), 0)
}
