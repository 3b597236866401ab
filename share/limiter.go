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

func (m *Limiter) window() time.Duration {
	if m.Window == 0 {
		return defaultWindow
	}
	return m.Window
}

// SetUnits sets the number of units held. A lower number takes effect at once:
// uses within the last window and units on loan count against it.
func (m *Limiter) SetUnits(n int) { m.units = n }

// Units returns the number of units held, with those on loan.
func (m *Limiter) Units() int { return m.units }

// Idle returns the number of own units that were not used within the last
// window and are not on loan. It may be negative after SetUnits.
func (m *Limiter) Idle(now time.Time) int {
	m.expire(now)
	return m.units - m.uses.len() - m.unitsLent()
}

// Available returns the number of requests that Take would admit at now.
func (m *Limiter) Available(now time.Time) int {
	free := max(m.Idle(now), 0)
	for i := range m.borrowed {
		free += m.borrowed[i].units - m.borrowed[i].uses.len()
	}
	return free
}

// Used returns the number of uses within the last window.
func (m *Limiter) Used(now time.Time) int {
	m.expire(now)
	n := m.uses.len()
	for i := range m.borrowed {
		n += m.borrowed[i].uses.len()
	}
	return n
}

// Total returns the units that may be used now: own and not lent, and
// borrowed.
func (m *Limiter) Total(now time.Time) int {
	m.expire(now)
	n := m.units - m.unitsLent()
	for i := range m.borrowed {
		n += m.borrowed[i].units
	}
	return max(n, 0)
}

// Allow uses one unit if there is one to use, and reports whether it did.
// Borrowed units go first, since they end sooner.
func (m *Limiter) Allow(now time.Time) bool {
	m.expire(now)
	for i := range m.borrowed {
		c := &m.borrowed[i]
		if now.Before(c.until) && c.uses.len() < c.units {
			c.uses.push(now)
			return true
		}
	}
	if m.units-m.uses.len()-m.unitsLent() <= 0 {
		return false
	}
	m.uses.push(now)
	return true
}

// Lend lends up to n idle units for a length of time that starts at now, and
// returns how many it lent.
func (m *Limiter) Lend(now time.Time, n int, length time.Duration) int {
	n = min(n, m.Idle(now))
	if n <= 0 || length <= 0 {
		return 0
	}
	m.lent = append(m.lent, loanOut{units: n, until: now.Add(length)})
	return n
}

// Borrow adds n units lent for a length of time, in answer to a request that
// was sent at asked. It returns false when the loan is of no use any more.
func (m *Limiter) Borrow(now, asked time.Time, n int, length time.Duration) bool {
	until := asked.Add(length - length/ClockDriftDivisor - m.window())
	if n <= 0 || !now.Before(until) {
		return false
	}
	m.borrowed = append(m.borrowed, loanIn{units: n, until: until})
	return true
}

// DropBorrowed gives up all borrowed units.
func (m *Limiter) DropBorrowed() { m.borrowed = nil }

// ClockDriftDivisor bounds the difference between the rates of two clocks: within
// a time d they may differ by d/ClockDriftDivisor.
const ClockDriftDivisor = 100

// Lent returns the units on loan.
func (m *Limiter) Lent(now time.Time) int {
	m.expire(now)
	return m.unitsLent()
}

// LastLoanEnd returns the end of the last loan, or the zero time.
func (m *Limiter) LastLoanEnd() time.Time {
	var end time.Time
	for _, l := range m.lent {
		if l.until.After(end) {
			end = l.until
		}
	}
	return end
}

func (m *Limiter) unitsLent() int {
	n := 0
	for _, l := range m.lent {
		n += l.units
	}
	return n
}

// expire drops what is over: uses older than a window and ended loans. A
// credit is kept until its last use has left the window.
func (m *Limiter) expire(now time.Time) {
	since := now.Add(-m.window())
	m.uses.dropThrough(since)
	lent := m.lent[:0]
	for _, l := range m.lent {
		if now.Before(l.until) {
			lent = append(lent, l)
		}
	}
	m.lent = lent
	borrowed := m.borrowed[:0]
	for _, c := range m.borrowed {
		c.uses.dropThrough(since)
		if now.Before(c.until) {
			borrowed = append(borrowed, c)
		}
	}
	m.borrowed = borrowed
}
