package retry

// Budget limits retries to a fraction of the successful requests: each success earns a tenth of a
// retry, up to a limit of 100 retries. The zero value is ready to use, with a credit of 10 retries.
// A Budget is not safe for concurrent use.
type Budget struct {
	spent  int
	earned int
}

const (
	// successesPerRetry is the number of successes that earn one retry. initialCredit and maxCredit
	// are also numbers of successes.
	successesPerRetry = 10
	initialCredit     = 10 * successesPerRetry
	maxCredit         = 100 * successesPerRetry
)

// Success records a successful request, which earns a tenth of a retry.
func (b *Budget) Success() {
	if b.available() < maxCredit {
		b.earned++
	}
}

// Spend spends one retry. It reports whether the budget had one.
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

// Allowed reports whether an attempt with the given outcome may be followed by a retry. It does not
// consult a Budget. The argument retriable states whether requests to the service may run more than
// once, that is whether they are idempotent.
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
