package share

import "time"

// Limiter is a sliding-window limiter for one holder's units of one row. The zero
// value has no units. It is not safe for concurrent use.
type Limiter struct {
	// Window is the length of the sliding window. 0 means one second.
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

// SetUnits sets the number of own units. A lower number takes effect at once: uses
// within the last window and lent units count against it.
func (l *Limiter) SetUnits(n int) { l.units = n }

// Units returns the number of own units, including those on loan.
func (l *Limiter) Units() int { return l.units }

// Idle returns the number of own units that were not used within the last window
// and are not on loan. It may be negative after SetUnits.
func (l *Limiter) Idle(now time.Time) int {
	l.expire(now)
	return l.units - l.uses.len() - l.unitsLent()
}

// Available returns the number of requests that Allow would admit at now.
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

// Total returns the number of units that may be used now: own units that are not
// on loan, plus borrowed units.
func (l *Limiter) Total(now time.Time) int {
	l.expire(now)
	n := l.units - l.unitsLent()
	for i := range l.borrowed {
		n += l.borrowed[i].units
	}
	return max(n, 0)
}

// Allow uses one unit if one is free, and reports whether it did. It uses borrowed
// units first, because they expire earlier.
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

// Lend lends up to n idle units for a time that starts at now. It returns the
// number of units lent.
func (l *Limiter) Lend(now time.Time, n int, length time.Duration) int {
	n = min(n, l.Idle(now))
	if n <= 0 || length <= 0 {
		return 0
	}
	l.lent = append(l.lent, loanOut{units: n, until: now.Add(length)})
	return n
}

// Borrow adds n units that were lent for the given time, in reply to a request that
// was sent at requestedAt. It returns false if the loan has already ended.
func (l *Limiter) Borrow(now, requestedAt time.Time, n int, length time.Duration) bool {
	until := requestedAt.Add(length - length/ClockDriftDivisor - l.window())
	if n <= 0 || !now.Before(until) {
		return false
	}
	l.borrowed = append(l.borrowed, loanIn{units: n, until: until})
	return true
}

// DropBorrowed drops all borrowed units.
func (l *Limiter) DropBorrowed() { l.borrowed = nil }

// ClockDriftDivisor bounds the difference between the rates of two clocks. Over a
// time d, they differ by at most d/ClockDriftDivisor.
const ClockDriftDivisor = 100

// Lent returns the number of units on loan.
func (l *Limiter) Lent(now time.Time) int {
	l.expire(now)
	return l.unitsLent()
}

// LastLoanEnd returns the latest end of the loans given, or the zero time.
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

// expire removes uses older than a window, and loans that have ended.
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
