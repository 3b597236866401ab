package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

const (
	// flagMinTargets is the number of targets that must have crashed under different requests of an
	// account for it to be flagged, and flagMinRequests the number of these requests. Innocent
	// accounts have requests at some of the targets that crash under another account's requests;
	// crashes that are attributed to that other account do not count for them.
	flagMinTargets  = 4
	flagMinRequests = 3
	// flagMinShare is the least fraction of all targets crashed within flagWindow that must have
	// crashed under the account's requests. An account with requests at some of many targets that
	// crash for another reason is not flagged, while three accounts whose requests crash targets at
	// the same time are. In 90 s during which targets crashed in waves, 74 instances refused 1,645
	// requests without flagMinShare and flagIntervalShare, and 7 requests with them.
	flagMinShare = 0.25
	// flagWindow is the time within which these crashes must happen. They must fall into at least
	// flagMinIntervals intervals of length flagInterval. An interval counts if at least
	// flagIntervalShare of the targets that crashed in it crashed under the account's requests.
	// Targets that fail together, as in a power failure, are thus not held against the account.
	flagWindow        = time.Minute
	flagMinIntervals  = 4
	flagInterval      = 250 * time.Millisecond
	flagIntervalShare = 1.0 / 3
	// flagTTL is how long an account stays flagged after the last crash.
	flagTTL = 10 * time.Minute
	// accountTrialBackoff is the time from the first failed trial to the next one. It doubles with
	// each further failed trial, up to maxAccountTrialBackoff. An account that sends ten crashing
	// requests a second thus crashes at most 30 targets in 14 s (TestAccountModel, and
	// TestFloodOfCrashingRequests of package gateway).
	accountTrialBackoff    = time.Second
	maxAccountTrialBackoff = 30 * time.Second
	// answersToClear is the number of consecutive trials of an account that must be answered for it
	// to be Allowed again. One answer is not enough, since an account may send harmless requests
	// among those that crash targets.
	answersToClear = 3
)

// accountDigestPrefix is the prefix of digests that stand for accounts. The digest of a content
// begins with it with a probability of 2^-64.
const accountDigestPrefix = "account\x00"

// AccountDigest returns the digest that stands for an account, and thereby for all of its requests
// that have not been answered before.
func AccountDigest(account string) Digest { return accountDigest(AccountHash(account)) }

func accountDigest(account uint32) Digest {
	var d Digest
	copy(d[:], accountDigestPrefix)
	binary.BigEndian.PutUint32(d[len(accountDigestPrefix):], account)
	return d
}

// Account returns the hash of the account that a digest stands for, and false if the digest is that
// of a content.
func (d Digest) Account() (uint32, bool) {
	return binary.BigEndian.Uint32(d[len(accountDigestPrefix):]), d.IsAccount()
}

// IsAccount reports whether the digest stands for an account.
func (d Digest) IsAccount() bool { return string(d[:len(accountDigestPrefix)]) == accountDigestPrefix }

// FlagAccounts flags the accounts under whose different requests targets crash, and returns the
// digests of the newly flagged ones. Crashes that are attributed to a flagged account do not count
// for other accounts. The function isTrusted reports whether the requests of an account are usually
// answered. Trusted accounts are not flagged: they have requests at most targets, and thus at most
// of those that crash.
func (t *Table) FlagAccounts(now time.Time, isTrusted func(account uint32) bool) []Digest {
	ev := t.collectEvidence(now, isTrusted)
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

// flagAccount adds the crashes of an account to its record. It returns the account's digest, and
// false if the table has no room for the record or if the account is not suspect by it.
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

// evidence holds the recent crashes that count for accounts.
type evidence struct {
	// crashes holds, by account and target, the latest crashes under requests of the account that
	// have not been answered since. requests holds the number of these requests.
	crashes  map[uint32]map[TargetID]crash
	requests map[uint32]int
	// crashed is the number of all targets that crashed within flagWindow, and crashedIn the number
	// of those that crashed in an interval.
	crashed   int
	crashedIn map[int64]int
	// flagged holds the accounts that are flagged already.
	flagged []uint32
	// clearedAt holds the time up to which crashes do not count for an account.
	clearedAt map[uint32]time.Time
}

// collectEvidence collects the crashes within flagWindow from the records of requests. It leaves out
// requests of trusted accounts and requests without an account.
func (t *Table) collectEvidence(now time.Time, isTrusted func(uint32) bool) *evidence {
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

// anonymous is the hash of requests without a client account. Their callers cannot be told apart
// and are not flagged as one account.
var anonymous = AccountHash("")

// addRecord adds the recent crashes in the record of a request.
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

// topAccount returns the first account in the order of ranksAbove among those that have enough
// crashes to be flagged, and false if there is none.
func (ev *evidence) topAccount() (uint32, bool) {
	var best uint32
	found := false
	for account, crashes := range ev.crashes {
		tooFew := len(crashes) < flagMinTargets || float64(len(crashes)) < flagMinShare*float64(ev.crashed)
		if tooFew || ev.requests[account] < flagMinRequests || ev.countIntervals(account) < flagMinIntervals {
			continue
		}
		if !found || ev.ranksAbove(account, best) {
			best, found = account, true
		}
	}
	return best, found
}

// intervalOf returns the index of the interval that contains the time.
func intervalOf(at time.Time) int64 { return at.UnixNano() / int64(flagInterval) }

// countIntervals returns the number of intervals in which the account has a sufficient fraction of
// the crashed targets.
func (ev *evidence) countIntervals(account uint32) int {
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

// ranksAbove orders accounts by the number of targets that crashed under their requests, then by
// the number of these requests, then by hash. All instances thus find the same account.
func (ev *evidence) ranksAbove(a, b uint32) bool {
	order := cmp.Or(cmp.Compare(len(ev.crashes[a]), len(ev.crashes[b])), cmp.Compare(ev.requests[a], ev.requests[b]), cmp.Compare(a, b))
	return order > 0
}

// attribute attributes all crashes of an account to it: it removes them from the other accounts,
// and the account itself.
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

// trialCrashes returns the crashes during trials, the oldest first.
func (r *record) trialCrashes() []crash {
	return slices.DeleteFunc(slices.Clone(r.crashes), func(c crash) bool { return !c.trial })
}

// nextAccountTrial returns the earliest time of the next trial of a flagged account.
func (r *record) nextAccountTrial() time.Time {
	failed := r.trialCrashes()
	if len(failed) == 0 {
		return time.Time{}
	}
	backoff := min(accountTrialBackoff<<(len(failed)-1), maxAccountTrialBackoff)
	return failed[len(failed)-1].at.Add(backoff)
}
