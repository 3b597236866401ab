package share

import "time"

// Limiter counts one holder's use of its units of one row. The zero value holds
// no units. It is not safe for concurrent use.
type Limiter struct {
	// Window is the length of the sliding window. 0 stands for one second.
	Window time.Duration

	units    int
	uses     timeRing
	lent     []loanOut
	borrowed []loanIn
}

// loanOut is a number of own units that are lent until a time.
type loanOut struct {
	units int
	until time.Time
}

// loanIn is a number of borrowed units that may be used until a time.
type loanIn struct {
	units int
	until time.Time
	uses  timeRing
}

const defaultWindow = time.Second

func (l *Limiter) window() time.Duration {
	if l.Window == 0 {
		return defaultWindow
	}
	return l.Window
}

// SetUnits sets the number of units held. A lower number takes effect at once:
// uses within the last window and units on loan count against it.
func (l *Limiter) SetUnits(n int) { l.units = n }

// Units returns the number of units held, with those on loan.
func (l *Limiter) Units() int { return l.units }

// Idle returns the number of own units that were not used within the last
// window and are not on loan. It may be negative after SetUnits.
func (l *Limiter) Idle(now time.Time) int {
	l.expire(now)
	return l.units - l.uses.len() - l.unitsLent()
}

// Available returns the number of requests that Take would admit at now.
func (l *Limiter) Available(now time.Time) int {
	free := max(l.Idle(now), 0)
	for i := range l.borrowed {
		free += l.borrowed[i].units - l.borrowed[i].uses.len()
	}
	return free
}

// Used returns the number of uses within the last window.
func (l *Limiter) Used(now time.Time) int {
	l.expire(now)
	n := l.uses.len()
	for i := range l.borrowed {
		n += l.borrowed[i].uses.len()
	}
	return n
}

// Total returns the units that may be used now: own and not lent, and
// borrowed.
func (l *Limiter) Total(now time.Time) int {
	l.expire(now)
	n := l.units - l.unitsLent()
	for i := range l.borrowed {
		n += l.borrowed[i].units
	}
	return max(n, 0)
}

// Allow uses one unit if there is one to use, and reports whether it did.
// Borrowed units go first, since they end sooner.
func (l *Limiter) Allow(now time.Time) bool {
	l.expire(now)
	for i := range l.borrowed {
		loan := &l.borrowed[i]
		if now.Before(loan.until) && loan.uses.len() < loan.units {
			loan.uses.push(now)
			return true
		}
	}
	if l.units-l.uses.len()-l.unitsLent() <= 0 {
		return false
	}
	l.uses.push(now)
	return true
}

// Lend lends up to n idle units for a length of time that starts at now, and
// returns how many it lent.
func (l *Limiter) Lend(now time.Time, n int, length time.Duration) int {
	n = min(n, l.Idle(now))
	if n <= 0 || length <= 0 {
		return 0
	}
	l.lent = append(l.lent, loanOut{units: n, until: now.Add(length)})
	return n
}

// Borrow adds n units lent for a length of time, in answer to a request that
// was sent at asked. It returns false when the loan is of no use any more.
func (l *Limiter) Borrow(now, requestedAt time.Time, n int, length time.Duration) bool {
	until := requestedAt.Add(length - length/ClockDriftDivisor - l.window())
	if n <= 0 || !now.Before(until) {
		return false
	}
	l.borrowed = append(l.borrowed, loanIn{units: n, until: until})
	return true
}

// DropBorrowed gives up all borrowed units.
func (l *Limiter) DropBorrowed() { l.borrowed = nil }

// ClockDriftDivisor bounds the difference between the rates of two clocks: within
// a time d they may differ by d/ClockDriftDivisor.
const ClockDriftDivisor = 100

// Lent returns the units on loan.
func (l *Limiter) Lent(now time.Time) int {
	l.expire(now)
	return l.unitsLent()
}

// LastLoanEnd returns the end of the last loan, or the zero time.
func (l *Limiter) LastLoanEnd() time.Time {
	var end time.Time
	for _, loan := range l.lent {
		if loan.until.After(end) {
			end = loan.until
		}
	}
	return end
}

func (l *Limiter) unitsLent() int {
	n := 0
	for _, loan := range l.lent {
		n += loan.units
	}
	return n
}

// expire drops what is over: uses older than a window and ended loans. A
// credit is kept until its last use has left the window.
func (l *Limiter) expire(now time.Time) {
	since := now.Add(-l.window())
	l.uses.dropThrough(since)
	lent := l.lent[:0]
	for _, loan := range l.lent {
		if now.Before(loan.until) {
			lent = append(lent, loan)
		}
	}
	l.lent = lent
	borrowed := l.borrowed[:0]
	for _, loan := range l.borrowed {
		loan.uses.dropThrough(since)
		if now.Before(loan.until) {
			borrowed = append(borrowed, loan)
		}
	}
	l.borrowed = borrowed
}
