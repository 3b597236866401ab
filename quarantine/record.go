package quarantine

import (
	"slices"
	"strconv"
	"time"
)

const (
	// suspectCrashes is the number of crashes from which on a request is sent only as a trial.
	// Every request at a crashing target has one crash. Few requests are by chance at two different
	// targets when these crash.
	suspectCrashes = 2
	// maxCrashes is the number of crashes from which on a request has no more trials. It also bounds
	// the number of crashes in a record, be it of a request or of an account.
	maxCrashes = 6
	// firstTrialBackoff and secondTrialBackoff are the times from the last crash to the next trial
	// after the first and the second failed trial. After maxFailedTrials there is no other trial: at
	// least five targets have crashed by then, including the two that made the request suspect.
	firstTrialBackoff  = 10 * time.Second
	secondTrialBackoff = time.Minute
	maxFailedTrials    = 3

	// singleCrashTTL is how long a request's record with one crash is kept, and suspectTTL how long
	// one with more crashes is kept, both from the last crash on. A request that is held by mistake is
	// thus released without intervention. A request that does crash its targets costs a few targets
	// an hour. Both constants are less than maxCrashAge, the largest age that a message can carry.
	singleCrashTTL = 10 * time.Minute
	suspectTTL     = 50 * time.Minute
	// answeredTTL is how long an answer is remembered, so that crashes before the answer do not
	// count if an update on them arrives late.
	answeredTTL = 30 * time.Second
	// minRemainingTTL is the remaining time to live below which a record is no longer sent to other
	// instances. Each hop makes a record look slightly younger, since ages in messages are rounded
	// down and leave out the time in transit. Without this margin instances could pass a record
	// back and forth forever.
	minRemainingTTL = 10 * time.Second
)

// TargetID identifies one incarnation of a target by the hash of its ID.
type TargetID uint64

// MarshalText implements encoding.TextMarshaler. It returns hexadecimal digits, because JSON
// numbers cannot represent all 64-bit values exactly.
func (t TargetID) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatUint(uint64(t), 16)), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *TargetID) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*t = TargetID(n)
	return err
}

// crash is the crash of a target at which a request, or some request of an account, was unanswered.
type crash struct {
	target TargetID
	at     time.Time
	// trial reports whether the request was sent as a trial.
	trial bool
}

// record holds the crashes of the requests with one digest, or those of a flagged account.
type record struct {
	// account is the hash of the client account's name. isAccount reports whether the record is
	// that of an account and covers all of its requests that have not been answered before.
	account   uint32
	isAccount bool
	// crashes holds the crashes since answeredAt, at most one of each target, the oldest first.
	crashes []crash
	// answeredAt is the time of the last answer, zero if there was none.
	answeredAt time.Time
}

func newRecord(d Digest, account uint32) *record {
	return &record{account: account, isAccount: d.IsAccount()}
}

// isSuspect reports whether the requests of the record are not Allowed: they are sent as trials
// only, or held.
func (r *record) isSuspect() bool {
	if r.isAccount {
		return len(r.crashes) >= flagMinTargets
	}
	return len(r.crashes) >= suspectCrashes
}

// addCrash adds a crash. It reports whether the crash, or the fact that it happened during a trial,
// is new.
func (r *record) addCrash(c crash) bool {
	if !c.at.After(r.answeredAt) {
		return false
	}
	i := slices.IndexFunc(r.crashes, func(existing crash) bool { return existing.target == c.target })
	if i >= 0 {
		existing := &r.crashes[i]
		changed := c.trial && !existing.trial
		existing.trial = existing.trial || c.trial
		if c.at.Before(existing.at) {
			// Each hop of an update makes a crash look younger, so the earliest time is the most
			// accurate.
			existing.at = c.at
			r.sort()
		}
		return changed
	}
	if r.isRedundant(c) {
		return false
	}
	r.crashes = append(r.crashes, c)
	r.sort()
	if r.isAccount {
		r.crashes = r.crashes[max(0, len(r.crashes)-maxCrashes):]
	}
	r.crashes = r.crashes[:min(len(r.crashes), maxCrashes)]
	return true
}

// isRedundant reports whether a full record has no place for the crash. The record of a request
// keeps the earliest crashes, that of an account the latest.
func (r *record) isRedundant(c crash) bool {
	if len(r.crashes) < maxCrashes {
		return false
	}
	if r.isAccount {
		return c.at.Before(r.crashes[0].at)
	}
	return c.at.After(r.crashes[len(r.crashes)-1].at)
}

func (r *record) sort() {
	slices.SortFunc(r.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
}

// addAnswer records that a request was answered at the given time. It reports whether this clears
// any crashes.
func (r *record) addAnswer(at time.Time) bool {
	if !at.After(r.answeredAt) {
		return false
	}
	r.answeredAt = at
	before := len(r.crashes)
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return !c.at.After(at) })
	return len(r.crashes) < before
}

// lastCrash returns the time of the latest crash, zero if there is none.
func (r *record) lastCrash() time.Time {
	if len(r.crashes) == 0 {
		return time.Time{}
	}
	return r.crashes[len(r.crashes)-1].at
}

// expiresAt returns the time at which the record expires.
func (r *record) expiresAt() time.Time {
	switch n := len(r.crashes); {
	case n == 0:
		return r.answeredAt.Add(answeredTTL)
	case r.isAccount:
		return r.lastCrash().Add(flagTTL)
	case n < suspectCrashes:
		return r.lastCrash().Add(singleCrashTTL)
	default:
		return r.lastCrash().Add(suspectTTL)
	}
}

// nextTrial returns the earliest time of the next trial, and false if there is no further trial.
// The zero time allows a trial at once.
func (r *record) nextTrial() (time.Time, bool) {
	failed := r.failedTrials()
	switch {
	case r.isAccount:
		return r.nextAccountTrial(), true
	case len(r.crashes) >= maxCrashes || failed >= maxFailedTrials:
		return time.Time{}, false
	case failed == 0:
		return time.Time{}, true
	case failed == 1:
		return r.lastCrash().Add(firstTrialBackoff), true
	default:
		return r.lastCrash().Add(secondTrialBackoff), true
	}
}

// failedTrials returns the number of trials during which the target crashed.
func (r *record) failedTrials() int {
	n := 0
	for _, c := range r.crashes {
		if c.trial {
			n++
		}
	}
	return n
}
