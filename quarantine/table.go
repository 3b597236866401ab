package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRecords bounds the number of records. A full table with maxCrashes crashes in each record
	// takes less than 1 MiB (TestFullTableMemory).
	maxRecords = 2048
	// maxRecordsPerAccount bounds the records of one client account if the table holds records of
	// several accounts.
	maxRecordsPerAccount = 256
)

// Verdict states how instances treat a request.
type Verdict int

// The verdicts of a Table.
const (
	// Allowed requests are sent like any other.
	Allowed Verdict = iota
	// Suspect requests are sent only if their coordinator grants a trial.
	Suspect
	// Held requests are refused.
	Held
)

// Status is the state of a request or of an account in a Table.
type Status struct {
	Verdict Verdict
	// Crashes is the number of targets that have crashed under it since its last answer, at most
	// maxCrashes.
	Crashes int
	// FailedTrials is the number of these crashes that happened during trials.
	FailedTrials int
	// Until is the time from which on a held request may have another trial, or at which its record
	// expires. It is zero for the other verdicts.
	Until time.Time
}

// Table holds the records of requests and accounts under which targets have crashed. The zero value
// is an empty table, ready to use. A Table is not safe for concurrent use.
type Table struct {
	records map[Digest]*record
	// suspectCount is the number of records for which isSuspect holds.
	suspectCount int
	// crashedAt maps targets to the times of their crashes. It includes crashes that answers have
	// cleared from all records.
	crashedAt map[TargetID]time.Time
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// SuspectCount returns the number of records of requests and accounts that are not Allowed. It
// includes expired records until Expire removes them.
func (t *Table) SuspectCount() int { return t.suspectCount }

// Status returns the state of a digest. The state of a digest without a record is the zero Status,
// whose verdict is Allowed.
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

// ForEachSuspect calls f for each digest whose verdict is not Allowed, in no particular order.
func (t *Table) ForEachSuspect(now time.Time, f func(Digest, Status)) {
	for d := range t.records {
		s := t.Status(now, d)
		if s.Verdict != Allowed {
			f(d, s)
		}
	}
}

// RecordCrash records that a target crashed under a request of an account. The argument trial
// states whether the request was sent as a trial. RecordCrash reports whether the crash, or the
// fact that it happened during a trial, is new.
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

// maxCrashedTargets bounds the crashed targets that the table remembers for flagWindow.
const maxCrashedTargets = 4096

// noteCrash records the earliest known time of a target's crash.
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

// RecordAnswer records that a request was answered. It reports whether the request becomes Allowed
// by that.
func (t *Table) RecordAnswer(now time.Time, d Digest) bool {
	r := t.records[d]
	if r == nil {
		return false
	}
	before := r.isSuspect()
	t.modify(r, func() { r.addAnswer(now) })
	return before && !r.isSuspect()
}

// modify calls f, which may modify the record, and updates suspectCount.
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

// Expire removes expired records, and the crashes of targets that are older than flagWindow.
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

// makeRoom evicts a record if the table is full even without its expired records, which it removes
// first, or if the account has filled its share of a table with records of several accounts. It
// evicts a record with the fewest crashes, and among these the one whose last crash is the oldest.
// An account that has filled its share loses one of its own records, so that its requests do not
// evict the records of other accounts. makeRoom reports whether there is room for another record.
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

// evictLeast removes, among the records that f selects, the first one in the order of carriesLess.
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

// carriesLess orders records by the information that they carry: by the number of crashes, then by
// the time of the last crash, then by digest. All instances thus evict the same record.
func carriesLess(d Digest, r *record, other Digest, o *record) bool {
	order := cmp.Or(cmp.Compare(len(r.crashes), len(o.crashes)), r.lastCrash().Compare(o.lastCrash()), slices.Compare(d[:], other[:]))
	return order < 0
}
