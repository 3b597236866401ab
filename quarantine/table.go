package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRecords bounds the table: with six ends each it takes less than 1 MB.
	maxRecords = 2048
	// maxOfAccount bounds the records of one client account, where there are several.
	maxOfAccount = 256
)

// Verdict says what is done with a request.
type Verdict int

// The verdicts.
const (
	// Free requests are sent like any other.
	Free Verdict = iota
	// Suspect requests are sent if a trial is granted.
	Suspect
	// Held requests are refused.
	Held
)

// Standing is what the table says of a request.
type Standing struct {
	Verdict Verdict
	// Ends is the number of targets that have ended under it since it was last answered.
	Ends int
	// Failed is the number of trials among them.
	Failed int
	// Until is when a held request may be tried again or is forgotten.
	Until time.Time
}

// Table holds what is known of the requests under which targets have ended. The zero value
// is ready. It is not safe for concurrent use.
type Table struct {
	records map[Digest]*record
	// suspects is the number of records with suspectEnds and more.
	suspects int
	// ended is when targets ended, also under requests that were answered since.
	ended map[Target]time.Time
}

// Len returns the number of digests of which anything is known.
func (t *Table) Len() int { return len(t.records) }

// Suspects returns the number of digests that are not free.
func (t *Table) Suspects() int { return t.suspects }

// Standing returns what is to be done with a request.
func (t *Table) Standing(now time.Time, d Digest) Standing {
	r := t.records[d]
	if r == nil || !now.Before(r.until()) {
		return Standing{}
	}
	s := Standing{Ends: len(r.ends), Failed: r.failed()}
	if !r.suspects() {
		return s
	}
	next, more := r.nextTrial()
	switch {
	case !more:
		s.Verdict, s.Until = Held, r.until()
	case now.Before(next):
		s.Verdict, s.Until = Held, next
	default:
		s.Verdict = Suspect
	}
	return s
}

// Suspected calls f with all that is not free.
func (t *Table) Suspected(now time.Time, f func(Digest, Standing)) {
	for d := range t.records {
		s := t.Standing(now, d)
		if s.Verdict != Free {
			f(d, s)
		}
	}
}

// Ended notes that a target has ended under a request of an account. Trial says that the
// request was a trial. It reports whether that is new.
func (t *Table) Ended(now time.Time, d Digest, account string, target Target, trial bool) bool {
	return t.add(now, d, AccountHash(account), end{target: target, at: now, trial: trial})
}

func (t *Table) add(now time.Time, d Digest, account uint32, e end) bool {
	r := t.records[d]
	if r == nil {
		r = newRecord(d, account)
		if !t.makeRoom(now, account) {
			return false
		}
		t.put(d, r)
	}
	t.noteEnded(e)
	var fresh bool
	t.change(r, func() { fresh = r.add(e) })
	return fresh
}

// maxEnded bounds the ended targets that are remembered for a minute.
const maxEnded = 4096

// noteEnded remembers when a target ended.
func (t *Table) noteEnded(e end) {
	known, ok := t.ended[e.target]
	if (ok && !e.at.Before(known)) || (!ok && len(t.ended) >= maxEnded) {
		return
	}
	if t.ended == nil {
		t.ended = make(map[Target]time.Time)
	}
	t.ended[e.target] = e.at
}

// Answered notes that a request was answered. It reports whether that frees a suspect one.
func (t *Table) Answered(now time.Time, d Digest) bool {
	r := t.records[d]
	if r == nil {
		return false
	}
	before := r.suspects()
	t.change(r, func() { r.answer(now) })
	return before && !r.suspects()
}

// change changes a record and counts the suspects anew.
func (t *Table) change(r *record, f func()) {
	before := r.suspects()
	f()
	after := r.suspects()
	switch {
	case after && !before:
		t.suspects++
	case before && !after:
		t.suspects--
	}
}

func (t *Table) put(d Digest, r *record) {
	if t.records == nil {
		t.records = make(map[Digest]*record)
	}
	t.records[d] = r
}

func (t *Table) drop(d Digest) {
	if r := t.records[d]; r != nil {
		t.change(r, func() { r.ends = nil })
		delete(t.records, d)
	}
}

// Expire forgets what is no longer remembered.
func (t *Table) Expire(now time.Time) {
	for d, r := range t.records {
		if !now.Before(r.until()) {
			t.drop(d)
		}
	}
	for target, at := range t.ended {
		if now.Sub(at) >= floodWindow {
			delete(t.ended, target)
		}
	}
}

// makeRoom drops a record if the table is full, of the account or in all: one with the
// fewest ends, and of those the oldest. An account that has filled its part loses one of its
// own, so that no account's requests make those of another forgotten. It reports whether
// there is room.
func (t *Table) makeRoom(now time.Time, account uint32) bool {
	own := 0
	accounts := make(map[uint32]bool)
	for _, r := range t.records {
		accounts[r.account] = true
		if r.account == account {
			own++
		}
	}
	accounts[account] = true
	switch {
	case len(accounts) > 1 && own >= maxOfAccount:
		t.dropLeast(func(r *record) bool { return r.account == account })
	case len(t.records) >= maxRecords:
		t.Expire(now)
		if len(t.records) >= maxRecords {
			t.dropLeast(func(*record) bool { return true })
		}
	}
	return len(t.records) < maxRecords
}

// dropLeast drops, of the records that f picks, the one that says least.
func (t *Table) dropLeast(f func(*record) bool) {
	var least Digest
	var found *record
	for d, r := range t.records {
		if f(r) && (found == nil || less(d, r, least, found)) {
			least, found = d, r
		}
	}
	t.drop(least)
}

// less orders records by what they say: their ends, the time of the last, and, so that all
// instances drop the same one, their digests.
func less(d Digest, r *record, other Digest, o *record) bool {
	order := cmp.Or(cmp.Compare(len(r.ends), len(o.ends)), r.lastEnd().Compare(o.lastEnd()), slices.Compare(d[:], other[:]))
	return order < 0
}
