package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

const (
	// floodEnds is the number of targets that have to end under different requests of an
	// account for it to be flagged, and floodRequests the number of these requests. An
	// innocent account has a request at some of the targets that end under those of another
	// one; those that the other one explains do not count.
	floodEnds     = 4
	floodRequests = 3
	// floodShare is the least part of all targets that ended in that time that has to do so
	// under them. An account that was at some of many targets that crashed for another reason
	// is not flagged; three that flood at the same time are. Without it and momentShare 1,645
	// requests were refused in 90 s of targets that crash in waves, at 74 instances, and 7 with
	// both.
	floodShare = 0.25
	// floodWindow is the time within which they have to end, and floodMoments the number of
	// spans of floodMoment in which they do. A span counts if a third of the targets that ended
	// in it did so under the account's requests: targets that are lost together are no flood.
	floodWindow  = time.Minute
	floodMoments = 4
	floodMoment  = 250 * time.Millisecond
	momentShare  = 1.0 / 3
	// floodLife is how long an account stays flagged after the last end.
	floodLife = 10 * time.Minute
	// floodPause is the time after the first failed trial until the next one, twice as long
	// after each further one, up to longFloodPause: with it a flood of ten requests a second
	// ends less than 30 targets in 14 s (TestFloodOfEndingRequests, TestFloodModel).
	floodPause     = time.Second
	longFloodPause = 30 * time.Second
	// acquittal is the number of trials of an account that have to be answered one after the
	// other for it to be free: a flood has good requests between.
	acquittal = 3
)

// floodMark begins the digests that stand for accounts. A digest of content begins so once in
// 2^64.
const floodMark = "account\x00"

// AccountDigest returns what stands for all unknown requests of an account, where requests have
// the digest of their content.
func AccountDigest(account string) Digest { return accountDigest(AccountHash(account)) }

func accountDigest(account uint32) Digest {
	var d Digest
	copy(d[:], floodMark)
	binary.BigEndian.PutUint32(d[len(floodMark):], account)
	return d
}

// Account returns the hash of the account that a digest stands for, false if it stands for content.
func (d Digest) Account() (uint32, bool) {
	return binary.BigEndian.Uint32(d[len(floodMark):]), d.IsAccount()
}

// IsAccount tells whether a digest stands for an account.
func (d Digest) IsAccount() bool { return string(d[:len(floodMark)]) == floodMark }

// Flag finds the accounts under whose different requests targets end, and returns the digests of
// those that are newly flagged. The ends of targets that accounts explain which are flagged
// already count against no other one. IsSound tells of which accounts the requests are answered
// as a rule: nothing is held against these, who are at most targets that end.
func (t *Table) Flag(now time.Time, isSound func(account uint32) bool) []Digest {
	seen := t.evidence(now, isSound)
	var flagged []Digest
	for _, account := range seen.flagged {
		seen.explain(account)
	}
	for {
		account, ok := seen.strongest()
		if !ok {
			return flagged
		}
		if d, ok := t.flag(now, account, seen); ok {
			flagged = append(flagged, d)
		}
		seen.explain(account)
	}
}

// flag makes the record of a flagged account. There is no room if the table is full of records
// that say more.
func (t *Table) flag(now time.Time, account uint32, seen *evidence) (Digest, bool) {
	d := accountDigest(account)
	if t.records[d] == nil {
		if !t.makeRoom(now, account) {
			return d, false
		}
		t.put(d, newRecord(d, account))
	}
	r := t.records[d]
	t.change(r, func() {
		for _, e := range seen.ends[account] {
			r.add(end{target: e.target, at: e.at})
		}
	})
	return d, r.suspects()
}

// evidence is what speaks against accounts.
type evidence struct {
	// ends are the latest ends under requests of an account that were not answered since, one
	// of each target, and requests the number of these requests.
	ends     map[uint32]map[Target]end
	requests map[uint32]int
	// ended is the number of all targets that ended, and endedIn those that ended in a span.
	ended   int
	endedIn map[int64]int
	flagged []uint32
	// cleared is until when what was said against an account does not count.
	cleared map[uint32]time.Time
}

func (t *Table) evidence(now time.Time, isSound func(uint32) bool) *evidence {
	seen := &evidence{ends: make(map[uint32]map[Target]end), requests: make(map[uint32]int), cleared: make(map[uint32]time.Time), endedIn: make(map[int64]int)}
	for _, at := range t.ended {
		if now.Sub(at) < floodWindow {
			seen.ended++
			seen.endedIn[momentOf(at)]++
		}
	}
	for d, r := range t.records {
		if !d.IsAccount() {
			continue
		}
		seen.cleared[r.account] = r.answeredAt
		if r.suspects() {
			seen.flagged = append(seen.flagged, r.account)
		}
	}
	for d, r := range t.records {
		if !d.IsAccount() && r.account != noAccount && !isSound(r.account) {
			seen.take(now, r)
		}
	}
	return seen
}

// noAccount stands for requests without a client account. Their callers can't be told apart, so
// nothing is held against them together.
var noAccount = AccountHash("")

// take takes in a record of a request.
func (s *evidence) take(now time.Time, r *record) {
	counts := false
	for _, e := range r.ends {
		if now.Sub(e.at) >= floodWindow || !e.at.After(s.cleared[r.account]) {
			continue
		}
		counts = true
		if s.ends[r.account] == nil {
			s.ends[r.account] = make(map[Target]end)
		}
		s.ends[r.account][e.target] = e
	}
	if counts {
		s.requests[r.account]++
	}
}

// strongest returns the account that explains the most ended targets, of those with enough of
// them to be flagged.
func (s *evidence) strongest() (uint32, bool) {
	var best uint32
	found := false
	for account, ends := range s.ends {
		few := len(ends) < floodEnds || float64(len(ends)) < floodShare*float64(s.ended)
		if few || s.requests[account] < floodRequests || s.moments(account) < floodMoments {
			continue
		}
		if !found || s.stronger(account, best) {
			best, found = account, true
		}
	}
	return best, found
}

// momentOf returns the number of the span that a time lies in.
func momentOf(at time.Time) int64 { return at.UnixNano() / int64(floodMoment) }

// moments returns the number of spans in which an account explains enough of the targets that
// ended.
func (s *evidence) moments(account uint32) int {
	explained := make(map[int64]int)
	for _, e := range s.ends[account] {
		explained[momentOf(e.at)]++
	}
	n := 0
	for moment, count := range explained {
		if float64(count) >= momentShare*float64(s.endedIn[moment]) {
			n++
		}
	}
	return n
}

// stronger orders accounts by the targets that ended under their requests, then by the
// requests, and then by name, so that all instances find the same one.
func (s *evidence) stronger(a, b uint32) bool {
	order := cmp.Or(cmp.Compare(len(s.ends[a]), len(s.ends[b])), cmp.Compare(s.requests[a], s.requests[b]), cmp.Compare(a, b))
	return order > 0
}

// explain takes the ends that an account explains away from all others, and the account itself.
func (s *evidence) explain(account uint32) {
	for target := range s.ends[account] {
		for other, ends := range s.ends {
			if other != account {
				delete(ends, target)
			}
		}
	}
	delete(s.ends, account)
}

// trialEnds returns the ends of trials, the oldest first.
func (r *record) trialEnds() []end {
	return slices.DeleteFunc(slices.Clone(r.ends), func(e end) bool { return !e.trial })
}

// nextOfAccount returns when there may be another trial of a flagged account.
func (r *record) nextOfAccount() time.Time {
	failed := r.trialEnds()
	if len(failed) == 0 {
		return time.Time{}
	}
	pause := min(floodPause<<(len(failed)-1), longFloodPause)
	return failed[len(failed)-1].at.Add(pause)
}
