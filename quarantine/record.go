package quarantine

import (
	"slices"
	"strconv"
	"time"
)

const (
	// suspectCrashes is the number of ends from which on a request is sent as a trial only.
	// One end is what any request has that was at a target when that ended; with two at
	// different targets a request was twice where a target ended, which happens to few.
	suspectCrashes = 2
	// maxCrashes is the number of ends from which on there are no more trials.
	maxCrashes = 6
	// firstTrialBackoff and longTrialPause are how long after the first and the second failed
	// trial there is another one. After the third there is none: with the two targets
	// before the first trial, five have ended then.
	firstTrialBackoff  = 10 * time.Second
	secondTrialBackoff = time.Minute
	maxFailedTrials    = 3

	// singleCrashTTL is how long a request with one end is remembered, suspectLife one with
	// more, both from the last end on: what held back a request for nothing ends by
	// itself, and what does end targets costs a few of them an hour. It is less than
	// longestEnd, the highest age that a message can tell.
	singleCrashTTL = 10 * time.Minute
	suspectTTL     = 50 * time.Minute
	// answeredTTL is how long it is remembered that a request was answered, so that
	// news of ends before that, which come late, do not count.
	answeredTTL = 30 * time.Second
	// minRemainingTTL is how much longer a record has to be remembered for it to be passed
	// on. Its age grows a little shorter with each step on its way; without this margin
	// a record could be passed around for good.
	minRemainingTTL = 10 * time.Second
)

// TargetID stands for one incarnation of a target: the hash of its ID.
type TargetID uint64

// MarshalText implements encoding.TextMarshaler. JSON numbers have no room for all targets.
func (t TargetID) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatUint(uint64(t), 16)), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *TargetID) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*t = TargetID(n)
	return err
}

// crash is the crash of a target under a request.
type crash struct {
	target TargetID
	at     time.Time
	// trial says that the request was a trial.
	trial bool
}

// record is what is known of the requests with one digest, or of an account.
type record struct {
	// account is the hash of the client account's name, and whole says that the record is of
	// all its unknown requests.
	account   uint32
	isAccount bool
	// crashes are those after answeredAt, the oldest first, of different targets.
	crashes []crash
	// answeredAt is when such a request was last answered, zero if it was not.
	answeredAt time.Time
}

func newRecord(d Digest, account uint32) *record {
	return &record{account: account, isAccount: d.IsAccount()}
}

// isSuspect tells whether what it is of is sent as trials only.
func (r *record) isSuspect() bool {
	if r.isAccount {
		return len(r.crashes) >= flagMinTargets
	}
	return len(r.crashes) >= suspectCrashes
}

// addCrash takes in an end. It reports whether it is new.
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
			// Each step of the way to here has made it look younger.
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

// isRedundant tells whether an end says nothing more: of a request the first ones count, of an account
// the last ones.
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

// addAnswer takes in that a request was answered at a time. It reports whether that clears it
// of ends.
func (r *record) addAnswer(at time.Time) bool {
	if !at.After(r.answeredAt) {
		return false
	}
	r.answeredAt = at
	before := len(r.crashes)
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return !c.at.After(at) })
	return len(r.crashes) < before
}

// lastCrash returns when the last of the ends was, zero if there is none.
func (r *record) lastCrash() time.Time {
	if len(r.crashes) == 0 {
		return time.Time{}
	}
	return r.crashes[len(r.crashes)-1].at
}

// expiresAt returns when the record is forgotten.
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

// nextTrial returns when there may be a trial, false if there is none any more.
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

// failedTrials returns the number of trials that have ended their target.
func (r *record) failedTrials() int {
	n := 0
	for _, c := range r.crashes {
		if c.trial {
			n++
		}
	}
	return n
}
