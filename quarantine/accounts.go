package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

const (
	// flagMinTargets is the number of targets that have to end under different requests of an
	// account for it to be flagged, and floodRequests the number of these requests. An
	// innocent account has a request at some of the targets that end under those of another
	// one; those that the other one explains do not count.
	flagMinTargets  = 4
	flagMinRequests = 3
	// flagMinShare is the least part of all targets that ended in that time that has to do so
	// under them. An account that was at some of many targets that crashed for another reason
	// is not flagged; three that flood at the same time are. Without it and momentShare 1,645
	// requests were refused in 90 s of targets that crash in waves, at 74 instances, and 7 with
	// both.
	flagMinShare = 0.25
	// flagWindow is the time within which they have to end, and floodMoments the number of
	// spans of floodMoment in which they do. A span counts if a third of the targets that ended
	// in it did so under the account's requests: targets that are lost together are no flood.
	flagWindow        = time.Minute
	flagMinIntervals  = 4
	flagInterval      = 250 * time.Millisecond
	flagIntervalShare = 1.0 / 3
	// flagTTL is how long an account stays flagged after the last end.
	flagTTL = 10 * time.Minute
	// accountTrialBackoff is the time after the first failed trial until the next one, twice as long
	// after each further one, up to longFloodPause: with it a flood of ten requests a second
	// ends less than 30 targets in 14 s (TestFloodOfEndingRequests, TestFloodModel).
	accountTrialBackoff    = time.Second
	maxAccountTrialBackoff = 30 * time.Second
	// answersToClear is the number of trials of an account that have to be answered one after the
	// other for it to be free: a flood has good requests between.
	answersToClear = 3
)

// accountDigestPrefix begins the digests that stand for accounts. A digest of content begins so once in
// 2^64.
const accountDigestPrefix = "account\x00"

// AccountDigest returns what stands for all unknown requests of an account, where requests have
// the digest of their content.
func AccountDigest(account string) Digest { return accountDigest(AccountHash(account)) }

func accountDigest(account uint32) Digest {
	var d Digest
	copy(d[:], accountDigestPrefix)
	binary.BigEndian.PutUint32(d[len(accountDigestPrefix):], account)
	return d
}

// Account returns the hash of the account that a digest stands for, false if it stands for content.
func (d Digest) Account() (uint32, bool) {
	return binary.BigEndian.Uint32(d[len(accountDigestPrefix):]), d.IsAccount()
}

// IsAccount tells whether a digest stands for an account.
func (d Digest) IsAccount() bool { return string(d[:len(accountDigestPrefix)]) == accountDigestPrefix }

// FlagAccounts finds the accounts under whose different requests targets end, and returns the digests of
// those that are newly flagged. The ends of targets that accounts explain which are flagged
// already count against no other one. IsSound tells of which accounts the requests are answered
// as a rule: nothing is held against these, who are at most targets that end.
func (t *Table) FlagAccounts(now time.Time, isTrusted func(account uint32) bool) []Digest {
	ev := t.evidence(now, isTrusted)
	var flagged []Digest
	for _, account := range ev.flagged {
		ev.attribute(account)
	}
	for {
		account, ok := ev.topAccount()
		if !ok {
			return flagged
		}
		if d, ok := t.flagAccount(now, account, ev); ok {
			flagged = append(flagged, d)
		}
		ev.attribute(account)
	}
}

// flagAccount makes the record of a flagged account. There is no room if the table is full of records
// that say more.
func (t *Table) flagAccount(now time.Time, account uint32, ev *evidence) (Digest, bool) {
	d := accountDigest(account)
	if t.records[d] == nil {
		if !t.makeRoom(now, account) {
			return d, false
		}
		t.put(d, newRecord(d, account))
	}
	r := t.records[d]
	t.modify(r, func() {
		for _, c := range ev.crashes[account] {
			r.addCrash(crash{target: c.target, at: c.at})
		}
	})
	return d, r.isSuspect()
}

// evidence is what speaks against accounts.
type evidence struct {
	// crashes are the latest crashes under requests of an account that were not answered since, one
	// of each target, and requests the number of these requests.
	crashes  map[uint32]map[TargetID]crash
	requests map[uint32]int
	// crashed is the number of all targets that crashed, and endedIn those that crashed in a span.
	crashed   int
	crashedIn map[int64]int
	flagged   []uint32
	// clearedAt is until when what was said against an account does not count.
	clearedAt map[uint32]time.Time
}

func (t *Table) evidence(now time.Time, isTrusted func(uint32) bool) *evidence {
	ev := &evidence{crashes: make(map[uint32]map[TargetID]crash), requests: make(map[uint32]int), clearedAt: make(map[uint32]time.Time), crashedIn: make(map[int64]int)}
	for _, at := range t.crashedAt {
		if now.Sub(at) < flagWindow {
			ev.crashed++
			ev.crashedIn[intervalOf(at)]++
		}
	}
	for d, r := range t.records {
		if !d.IsAccount() {
			continue
		}
		ev.clearedAt[r.account] = r.answeredAt
		if r.isSuspect() {
			ev.flagged = append(ev.flagged, r.account)
		}
	}
	for d, r := range t.records {
		if !d.IsAccount() && r.account != anonymous && !isTrusted(r.account) {
			ev.addRecord(now, r)
		}
	}
	return ev
}

// anonymous stands for requests without a client account. Their callers can't be told apart, so
// nothing is held against them together.
var anonymous = AccountHash("")

// addRecord takes in a record of a request.
func (ev *evidence) addRecord(now time.Time, r *record) {
	counts := false
	for _, c := range r.crashes {
		if now.Sub(c.at) >= flagWindow || !c.at.After(ev.clearedAt[r.account]) {
			continue
		}
		counts = true
		if ev.crashes[r.account] == nil {
			ev.crashes[r.account] = make(map[TargetID]crash)
		}
		ev.crashes[r.account][c.target] = c
	}
	if counts {
		ev.requests[r.account]++
	}
}

// topAccount returns the account that explains the most ended targets, of those with enough of
// them to be flagged.
func (ev *evidence) topAccount() (uint32, bool) {
	var best uint32
	found := false
	for account, crashes := range ev.crashes {
		tooFew := len(crashes) < flagMinTargets || float64(len(crashes)) < flagMinShare*float64(ev.crashed)
		if tooFew || ev.requests[account] < flagMinRequests || ev.intervals(account) < flagMinIntervals {
			continue
		}
		if !found || ev.ranksAbove(account, best) {
			best, found = account, true
		}
	}
	return best, found
}

// intervalOf returns the number of the span that a time lies in.
func intervalOf(at time.Time) int64 { return at.UnixNano() / int64(flagInterval) }

// intervals returns the number of spans in which an account explains enough of the targets that
// ended.
func (ev *evidence) intervals(account uint32) int {
	attributed := make(map[int64]int)
	for _, c := range ev.crashes[account] {
		attributed[intervalOf(c.at)]++
	}
	n := 0
	for interval, count := range attributed {
		if float64(count) >= flagIntervalShare*float64(ev.crashedIn[interval]) {
			n++
		}
	}
	return n
}

// ranksAbove orders accounts by the targets that ended under their requests, then by the
// requests, and then by name, so that all instances find the same one.
func (ev *evidence) ranksAbove(a, b uint32) bool {
	order := cmp.Or(cmp.Compare(len(ev.crashes[a]), len(ev.crashes[b])), cmp.Compare(ev.requests[a], ev.requests[b]), cmp.Compare(a, b))
	return order > 0
}

// attribute takes the ends that an account explains away from all others, and the account itself.
func (ev *evidence) attribute(account uint32) {
	for target := range ev.crashes[account] {
		for other, crashes := range ev.crashes {
			if other != account {
				delete(crashes, target)
			}
		}
	}
	delete(ev.crashes, account)
}

// trialCrashes returns the ends of trials, the oldest first.
func (r *record) trialCrashes() []crash {
	return slices.DeleteFunc(slices.Clone(r.crashes), func(c crash) bool { return !c.trial })
}

// nextAccountTrial returns when there may be another trial of a flagged account.
func (r *record) nextAccountTrial() time.Time {
	failed := r.trialCrashes()
	if len(failed) == 0 {
		return time.Time{}
	}
	backoff := min(accountTrialBackoff<<(len(failed)-1), maxAccountTrialBackoff)
	return failed[len(failed)-1].at.Add(backoff)
}
