package retry

// Budget bounds retries to a part of the successes: each success earns a
// tenth of a retry, up to a limit. The zero value is ready and starts with
// startTenths.
type Budget struct {
	spent  int
	earned int
}

const (
	// successesPerRetry is the number of successes that earn one retry.
	successesPerRetry = 10
	initialCredit     = 10 * successesPerRetry
	maxCredit         = 100 * successesPerRetry
)

// Success earns a part of a retry.
func (b *Budget) Success() {
	if b.available() < maxCredit {
		b.earned++
	}
}

// Spend takes one retry. It reports whether there was one.
func (b *Budget) Spend() bool {
	if b.available() < successesPerRetry {
		return false
	}
	b.spent += successesPerRetry
	return true
}

func (b *Budget) available() int {
	return initialCredit + b.earned - b.spent
}

// Allowed tells whether an attempt with the outcome may be followed by another,
// the budget aside. Retriable marks a service whose requests may run more than
// once.
func Allowed(o Outcome, retriable bool) bool {
	switch o {
	case NotRun:
		return true
	case Unknown:
		return retriable
	default:
		return false
	}
}
