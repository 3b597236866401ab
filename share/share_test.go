package share_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rainford/rainford/share"
	"github.com/rainford/rainford/table"
)

// init fixes the seed, so that all runs draw the same cases unless -rapid.seed is set.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 500).Draw(t, "total")
		holders := rapid.IntRange(1, 70).Draw(t, "holders")
		offset := rapid.Int().Draw(t, "offset")
		sum, smallest, largest := 0, total, 0
		for i := range holders {
			got := share.Split(total, holders, i, offset)
			require.GreaterOrEqual(t, share.Split(total+1, holders, i, offset), got, "a share decreases when the total increases")
			sum += got
			smallest, largest = min(smallest, got), max(largest, got)
		}
		require.Equal(t, total, sum)
		require.LessOrEqual(t, largest-smallest, 1)
	})
}

// TestSplitSpread checks, for totals of 2 to 16 and all offsets, that the first half of 64
// holders gets half of the total, give or take 2 units.
func TestSplitSpread(t *testing.T) {
	const holders = 64
	for total := 2; total <= 16; total++ {
		for offset := range holders {
			half := 0
			for i := range holders / 2 {
				half += share.Split(total, holders, i, offset)
			}
			require.InDelta(t, float64(total)/2, half, 2, "total %d offset %d", total, offset)
		}
	}
}

// TestLimiterAgainstCount compares the limiter with a count over all past uses.
func TestLimiterAgainstCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := &share.Limiter{}
		now := time.Unix(0, 0)
		units := 0
		var uses []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "set") == 0 {
				units = rapid.IntRange(0, 5).Draw(t, "units")
				limiter.SetUnits(units)
			}
			recent := 0
			for _, u := range uses {
				if now.Sub(u) < time.Second {
					recent++
				}
			}
			require.Equal(t, recent < units, limiter.Allow(now))
			if recent < units {
				uses = append(uses, now)
			}
		}
	})
}

// loanPair is a lender and a borrower with different clocks, and a network that loses,
// duplicates and delays messages.
type loanPair struct {
	now      time.Time
	rnd      *rand.Rand
	lender   share.Limiter
	borrower share.Limiter
	// requests tracks the loan requests of the borrower.
	requests *share.Borrower
	// inTransit holds the messages that have not arrived yet.
	inTransit []delivery
	// uses are the times of all uses by both sides, on the lender's clock.
	uses []time.Time
}

// delivery is a message in transit. It arrives at time at, when deliver handles it at the receiver.
type delivery struct {
	at      time.Time
	deliver func()
}

const (
	pairUnits = 10
	// borrowerAhead is how far the borrower's clock is ahead of the lender's.
	borrowerAhead = 1000 * time.Hour
)

// send sends a message once or twice. Each copy is lost with a probability of 1/10. It arrives
// after less than 300 ms, or, with a probability of 1/20, after less than 6 s.
func (p *loanPair) send(deliver func()) {
	for range 1 + p.rnd.IntN(2) {
		if p.rnd.IntN(10) == 0 {
			continue
		}
		delay := time.Duration(p.rnd.IntN(300)) * time.Millisecond
		if p.rnd.IntN(20) == 0 {
			delay = time.Duration(p.rnd.IntN(6000)) * time.Millisecond
		}
		p.inTransit = append(p.inTransit, delivery{p.now.Add(delay), deliver})
	}
}

// step advances the clock by 10 ms, delivers the messages that are due, lets both sides use units,
// and lets the borrower send a loan request with the given nonce if it may. The lender keeps 2 idle
// units, and its lease lasts longer than any loan.
func (p *loanPair) step(nonce uint64) {
	p.now = p.now.Add(10 * time.Millisecond)
	var pending []delivery
	messages := p.inTransit
	p.inTransit = nil
	for _, d := range messages {
		if d.at.After(p.now) {
			pending = append(pending, d)
			continue
		}
		d.deliver()
	}
	p.inTransit = append(p.inTransit, pending...)
	borrowerNow := p.now.Add(borrowerAhead)
	for range p.rnd.IntN(2) {
		if p.lender.Allow(p.now) {
			p.uses = append(p.uses, p.now)
		}
	}
	for range p.rnd.IntN(3) {
		if p.borrower.Allow(borrowerNow) {
			p.uses = append(p.uses, p.now)
		}
	}
	if p.requests.TryRequest(borrowerNow, nonce) {
		request := share.LoanRequest{Units: 3, Nonce: nonce}
		p.send(func() {
			loan, ok := share.DefaultLoanTerms.Lend(p.now, &p.lender, request, 2, p.now.Add(time.Hour))
			if ok {
				p.send(func() { p.requests.Receive(p.now.Add(borrowerAhead), &p.borrower, loan) })
			}
		})
	}
}

// TestLoansCreateNoUnits checks that lender and borrower together never use more than the lender's
// units in any window. It fails if one of three loan rules of the package documentation is broken:
// if the lender lends units that it has used within the last window, if the loan starts for the
// borrower only on receipt, or if the borrower uses the units until the loan ends.
func TestLoansCreateNoUnits(t *testing.T) {
	lentAny := false
	for seed := range uint64(40) {
		p := &loanPair{now: time.Unix(0, 0), rnd: rand.New(rand.NewPCG(seed, 3)), requests: share.NewBorrower(share.DefaultLoanTerms)}
		p.lender.SetUnits(pairUnits)
		for i := range 6000 {
			p.step(uint64(i + 1))
		}
		lentAny = lentAny || p.lender.Lent(p.now) > 0
		from := 0
		for i, u := range p.uses {
			for !u.Before(p.uses[from].Add(time.Second)) {
				from++
			}
			require.LessOrEqual(t, i-from+1, pairUnits, "seed %d", seed)
		}
	}
	require.True(t, lentAny)
}

// TestUnitsEndWithLease checks that an instance neither admits requests nor lends units once
// the lease of its seats has expired, also if the ledger was not called between the expiry and the
// request, as in a process that was paused.
func TestUnitsEndWithLease(t *testing.T) {
	plan := table.Compile(&table.Table{
		Regions: []table.Region{{Name: "r", Halls: []string{"h"}}, {Name: "q", Halls: []string{"z"}}},
		Rows:    []table.Row{{Service: "s", From: "r", To: "q", Weight: 1, Cap: 64, Shift: 100}},
	}, 1)
	row := plan.Table.Rows[0]
	l := share.NewLedger("h", "r", 64, 1)
	l.SetPlan(plan)
	start := time.Unix(0, 0)
	l.SetSeats([]int{0, 1, 2}, start.Add(10*time.Second))
	require.Equal(t, share.Admitted, l.Admit(start, row))
	require.Equal(t, share.Admitted, l.Admit(start.Add(10*time.Second-1), row))
	require.Equal(t, share.NoUnits, l.Admit(start.Add(10*time.Second), row))
	_, lent := l.Lend(start.Add(10*time.Second), share.LoanRequest{Row: row.Key(), Units: 1})
	require.False(t, lent)
}

// TestBorrowOnlyUnit checks loans with a cap of one unit, which belongs to one of two instances,
// while all demand is at the other: the latter uses more than half of the 20 uses that are possible
// in 2000 steps of 10 ms.
func TestBorrowOnlyUnit(t *testing.T) {
	plan := table.Compile(&table.Table{
		Regions: []table.Region{{Name: "r", Halls: []string{"h"}}, {Name: "q", Halls: []string{"z"}}},
		Rows:    []table.Row{{Service: "s", From: "r", To: "q", Weight: 1, Cap: 1, Shift: 10, Ramp: time.Second}},
	}, 1)
	row := plan.Table.Rows[0]
	var ledgers []*share.Ledger
	now := time.Unix(0, 0)
	for i := range 2 {
		l := share.NewLedger("h", "r", 2, uint64(100*i))
		l.SetPlan(plan)
		l.SetSeats([]int{i}, now.Add(time.Hour))
		ledgers = append(ledgers, l)
	}
	lender, borrower := ledgers[0], ledgers[1]
	if lender.States(now)[0].Units == 0 {
		lender, borrower = borrower, lender
	}
	used := 0
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		if borrower.Admit(now, row) == share.Admitted {
			used++
		}
		for _, request := range borrower.LoanRequests(now, 1) {
			if loan, ok := lender.Lend(now, request); ok {
				borrower.Receive(now, loan)
			}
		}
	}
	t.Logf("%d uses of 20 possible ones", used)
	require.Greater(t, used, 10)
}

// TestRampRisesInSteps checks that the allowed units of a fully used ramp rise by one step in each
// period, that a cold destination, for which Observe gets false, delays the rise, and that at least
// one unit is allowed.
func TestRampRisesInSteps(t *testing.T) {
	const total = 100
	r := &share.Ramp{Step: 25, Period: time.Second}
	now := time.Unix(0, 0)
	for i, want := range []int{25, 50, 75, 100, 100} {
		require.Equal(t, want, r.Allowed(now, total), "step %d", i)
		r.Observe(now, want, total, true)
		now = now.Add(time.Second)
		r.Observe(now, want, total, true)
	}
	toCold := &share.Ramp{Step: 25, Period: time.Second}
	for range 5 {
		toCold.Observe(now, toCold.Allowed(now, total), total, false)
		now = now.Add(time.Second)
	}
	require.Equal(t, 25, toCold.Allowed(now, total), "a cold destination delays the next rise but does not lower the level")
	require.Equal(t, 1, (&share.Ramp{Step: 10, Period: time.Second}).Allowed(now, 1), "a row with one unit can be used")
}

func BenchmarkLimiterAllow(b *testing.B) {
	for _, units := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("units%d", units), func(b *testing.B) {
			limiter := &share.Limiter{}
			limiter.SetUnits(units)
			now := time.Unix(0, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				limiter.Allow(now)
			}
		})
	}
}

func ExampleLimiter() {
	limiter := &share.Limiter{}
	limiter.SetUnits(2)
	start := time.Unix(0, 0)
	for _, ms := range []int{0, 300, 600, 1000, 1300} {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		fmt.Println(ms, limiter.Allow(now))
	}
	// Output:
	// 0 true
	// 300 true
	// 600 false
	// 1000 true
	// 1300 true
}
