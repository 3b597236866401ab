package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRecords bounds the table: with six ends each it takes less than 1 MB.
	maxRecords = 2048
	// maxRecordsPerAccount bounds the records of one client account, where there are several.
	maxRecordsPerAccount = 256
)

// Verdict says what is done with a request.
type Verdict int

// The verdicts.
const (
	// Allowed requests are sent like any other.
	Allowed Verdict = iota
	// Suspect requests are sent if a trial is granted.
	Suspect
	// Held requests are refused.
	Held
)

// Status is what the table says of a request.
type Status struct {
	Verdict Verdict
	// Crashes is the number of targets that have ended under it since it was last answered.
	Crashes int
	// FailedTrials is the number of trials among them.
	FailedTrials int
	// Until is when a held request may be tried again or is forgotten.
	Until time.Time
}

// Table holds what is known of the requests under which targets have ended. The zero value
// is ready. It is not safe for concurrent use.
type Table struct {
	records map[Digest]*record
	// suspectCount is the number of records with suspectEnds and more.
	suspectCount int
	// crashedAt is when targets crashedAt, also under requests that were answered since.
	crashedAt map[TargetID]time.Time
}

// Len returns the number of digests of which anything is known.
func (t *Table) Len() int { return len(t.records) }

// SuspectCount returns the number of digests that are not free.
func (t *Table) SuspectCount() int { return t.suspectCount }

// Status returns what is to be done with a request.
func (t *Table) Status(now time.Time, d Digest) Status {
	r := t.records[d]
	if r == nil || !now.Before(r.expiresAt()) {
		return Status{}
	}
	s := Status{Crashes: len(r.crashes), FailedTrials: r.failedTrials()}
	if !r.isSuspect() {
		return s
	}
	next, more := r.nextTrial()
	switch {
	case !more:
		s.Verdict, s.Until = Held, r.expiresAt()
	case now.Before(next):
		s.Verdict, s.Until = Held, next
	default:
		s.Verdict = Suspect
	}
	return s
}

// ForEachSuspect calls f with all that is not free.
func (t *Table) ForEachSuspect(now time.Time, f func(Digest, Status)) {
	for d := range t.records {
		s := t.Status(now, d)
		if s.Verdict != Allowed {
			f(d, s)
		}
	}
}

// RecordCrash notes that a target has ended under a request of an account. Trial says that the
// request was a trial. It reports whether that is new.
func (t *Table) RecordCrash(now time.Time, d Digest, account string, target TargetID, trial bool) bool {
	return t.add(now, d, AccountHash(account), crash{target: target, at: now, trial: trial})
}

func (t *Table) add(now time.Time, d Digest, account uint32, c crash) bool {
	r := t.records[d]
	if r == nil {
		r = newRecord(d, account)
		if !t.makeRoom(now, account) {
			return false
		}
		t.put(d, r)
	}
	t.noteCrash(c)
	var changed bool
	t.modify(r, func() { changed = r.addCrash(c) })
	return changed
}

// maxCrashedTargets bounds the ended targets that are remembered for a minute.
const maxCrashedTargets = 4096

// noteCrash remembers when a target ended.
func (t *Table) noteCrash(c crash) {
	known, ok := t.crashedAt[c.target]
	if (ok && !c.at.Before(known)) || (!ok && len(t.crashedAt) >= maxCrashedTargets) {
		return
	}
	if t.crashedAt == nil {
		t.crashedAt = make(map[TargetID]time.Time)
	}
	t.crashedAt[c.target] = c.at
}

// RecordAnswer notes that a request was answered. It reports whether that frees a suspect one.
func (t *Table) RecordAnswer(now time.Time, d Digest) bool {
	r := t.records[d]
	if r == nil {
		return false
	}
	before := r.isSuspect()
	t.modify(r, func() { r.addAnswer(now) })
	return before && !r.isSuspect()
}

// modify changes a record and counts the suspects anew.
func (t *Table) modify(r *record, f func()) {
	before := r.isSuspect()
	f()
	after := r.isSuspect()
	switch {
	case after && !before:
		t.suspectCount++
	case before && !after:
		t.suspectCount--
	}
}

func (t *Table) put(d Digest, r *record) {
	if t.records == nil {
		t.records = make(map[Digest]*record)
	}
	t.records[d] = r
}

func (t *Table) remove(d Digest) {
	if r := t.records[d]; r != nil {
		t.modify(r, func() { r.crashes = nil })
		delete(t.records, d)
	}
}

// Expire forgets what is no longer remembered.
func (t *Table) Expire(now time.Time) {
	for d, r := range t.records {
		if !now.Before(r.expiresAt()) {
			t.remove(d)
		}
	}
	for target, at := range t.crashedAt {
		if now.Sub(at) >= flagWindow {
			delete(t.crashedAt, target)
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
	case len(accounts) > 1 && own >= maxRecordsPerAccount:
		t.evictLeast(func(r *record) bool { return r.account == account })
	case len(t.records) >= maxRecords:
		t.Expire(now)
		if len(t.records) >= maxRecords {
			t.evictLeast(func(*record) bool { return true })
		}
	}
	return len(t.records) < maxRecords
}

// evictLeast drops, of the records that f picks, the one that says least.
func (t *Table) evictLeast(f func(*record) bool) {
	var least Digest
	var found *record
	for d, r := range t.records {
		if f(r) && (found == nil || carriesLess(d, r, least, found)) {
			least, found = d, r
		}
	}
	t.remove(least)
}

// carriesLess orders records by what they say: their ends, the time of the last, and, so that all
// instances drop the same one, their digests.
func carriesLess(d Digest, r *record, other Digest, o *record) bool {
	order := cmp.Or(cmp.Compare(len(r.crashes), len(o.crashes)), r.lastCrash().Compare(o.lastCrash()), slices.Compare(d[:], other[:]))
	return order < 0
}
