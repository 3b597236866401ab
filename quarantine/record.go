package quarantine

import (
	"slices"
	"strconv"
	"time"
)

const (
	// suspectEnds is the number of ends from which on a request is sent as a trial only.
	// One end is what any request has that was at a target when that ended; with two at
	// different targets a request was twice where a target ended, which happens to few.
	suspectEnds = 2
	// mostEnds is the number of ends from which on there are no more trials.
	mostEnds = 6
	// trialPause and longTrialPause are how long after the first and the second failed
	// trial there is another one. After the third there is none: with the two targets
	// before the first trial, five have ended then.
	trialPause     = 10 * time.Second
	longTrialPause = time.Minute
	mostTrials     = 3

	// loneLife is how long a request with one end is remembered, suspectLife one with
	// more, both from the last end on: what held back a request for nothing ends by
	// itself, and what does end targets costs a few of them an hour. It is less than
	// longestEnd, the highest age that a message can tell.
	loneLife    = 10 * time.Minute
	suspectLife = 50 * time.Minute
	// clearedLife is how long it is remembered that a request was answered, so that
	// news of ends before that, which come late, do not count.
	clearedLife = 30 * time.Second
	// leastLeft is how much longer a record has to be remembered for it to be passed
	// on. Its age grows a little shorter with each step on its way; without this margin
	// a record could be passed around for good.
	leastLeft = 10 * time.Second
)

// Target stands for one incarnation of a target: the hash of its ID.
type Target uint64

// MarshalText implements encoding.TextMarshaler. JSON numbers have no room for all targets.
func (t Target) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatUint(uint64(t), 16)), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *Target) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*t = Target(n)
	return err
}

// end is the end of a target under a request.
type end struct {
	target Target
	at     time.Time
	// trial says that the request was a trial.
	trial bool
}

// record is what is known of the requests with one digest, or of an account.
type record struct {
	// account is the hash of the client account's name, and whole says that the record is of
	// all its unknown requests.
	account uint32
	whole   bool
	// ends are those after answeredAt, the oldest first, of different targets.
	ends []end
	// answeredAt is when such a request was last answered, zero if it was not.
	answeredAt time.Time
}

func newRecord(d Digest, account uint32) *record {
	return &record{account: account, whole: d.IsAccount()}
}

// suspects tells whether what it is of is sent as trials only.
func (r *record) suspects() bool {
	if r.whole {
		return len(r.ends) >= floodEnds
	}
	return len(r.ends) >= suspectEnds
}

// add takes in an end. It reports whether it is new.
func (r *record) add(e end) bool {
	if !e.at.After(r.answeredAt) {
		return false
	}
	i := slices.IndexFunc(r.ends, func(known end) bool { return known.target == e.target })
	if i >= 0 {
		known := &r.ends[i]
		fresh := e.trial && !known.trial
		known.trial = known.trial || e.trial
		if e.at.Before(known.at) {
			// Each step of the way to here has made it look younger.
			known.at = e.at
			r.sort()
		}
		return fresh
	}
	if r.isFull(e) {
		return false
	}
	r.ends = append(r.ends, e)
	r.sort()
	if r.whole {
		r.ends = r.ends[max(0, len(r.ends)-mostEnds):]
	}
	r.ends = r.ends[:min(len(r.ends), mostEnds)]
	return true
}

// isFull tells whether an end says nothing more: of a request the first ones count, of an account
// the last ones.
func (r *record) isFull(e end) bool {
	if len(r.ends) < mostEnds {
		return false
	}
	if r.whole {
		return e.at.Before(r.ends[0].at)
	}
	return e.at.After(r.ends[len(r.ends)-1].at)
}

func (r *record) sort() {
	slices.SortFunc(r.ends, func(a, b end) int { return a.at.Compare(b.at) })
}

// answer takes in that a request was answered at a time. It reports whether that clears it
// of ends.
func (r *record) answer(at time.Time) bool {
	if !at.After(r.answeredAt) {
		return false
	}
	r.answeredAt = at
	before := len(r.ends)
	r.ends = slices.DeleteFunc(r.ends, func(e end) bool { return !e.at.After(at) })
	return len(r.ends) < before
}

// lastEnd returns when the last of the ends was, zero if there is none.
func (r *record) lastEnd() time.Time {
	if len(r.ends) == 0 {
		return time.Time{}
	}
	return r.ends[len(r.ends)-1].at
}

// until returns when the record is forgotten.
func (r *record) until() time.Time {
	switch n := len(r.ends); {
	case n == 0:
		return r.answeredAt.Add(clearedLife)
	case r.whole:
		return r.lastEnd().Add(floodLife)
	case n < suspectEnds:
		return r.lastEnd().Add(loneLife)
	default:
		return r.lastEnd().Add(suspectLife)
	}
}

// nextTrial returns when there may be a trial, false if there is none any more.
func (r *record) nextTrial() (time.Time, bool) {
	failed := r.failed()
	switch {
	case r.whole:
		return r.nextOfAccount(), true
	case len(r.ends) >= mostEnds || failed >= mostTrials:
		return time.Time{}, false
	case failed == 0:
		return time.Time{}, true
	case failed == 1:
		return r.lastEnd().Add(trialPause), true
	default:
		return r.lastEnd().Add(longTrialPause), true
	}
}

// failed returns the number of trials that have ended their target.
func (r *record) failed() int {
	n := 0
	for _, e := range r.ends {
		if e.trial {
			n++
		}
	}
	return n
}
