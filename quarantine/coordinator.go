package quarantine

import (
	"time"

	"github.com/rainford/rainford/internal/mix"
)

// Warden grants the trials of the requests that one instance looks after, one at a time for
// each. It is not safe for concurrent use.
type Warden struct {
	grants map[Digest]grant
	// answers are the trials of accounts that were answered one after the other.
	answers map[Digest]answers
}

// answers are answered trials since the last failed one.
type answers struct {
	count  int
	failed int
	last   time.Time
}

// grant is a trial that is under way.
type grant struct {
	to string
	// until is when it has ended at the latest.
	until time.Time
	// failed is the number of failed trials before it.
	failed int
}

// againPause is when another instance is told to ask again while a trial is under way: an
// answer mostly comes within that time.
const againPause = 500 * time.Millisecond

// Ask decides whether an instance may send a request as a trial, which takes at most until
// a time. If not, it returns when there may be another one.
func (w *Warden) Ask(now time.Time, t *Table, d Digest, from string, until time.Time) (granted bool, next time.Time) {
	s := t.Standing(now, d)
	if s.Verdict == Held {
		return false, s.Until
	}
	if g, ok := w.grants[d]; ok && s.Verdict == Suspect && now.Before(g.until) && s.Failed == g.failed {
		return false, now.Add(againPause)
	}
	if w.grants == nil {
		w.grants = make(map[Digest]grant)
	}
	w.grants[d] = grant{to: from, until: until, failed: s.Failed}
	return true, time.Time{}
}

// Done ends a trial that did not end its target, and tells whether it was answered. It reports
// whether that frees an account.
func (w *Warden) Done(t *Table, now time.Time, d Digest, from string, answered bool) bool {
	if w.grants[d].to != from {
		return false
	}
	failed := w.grants[d].failed
	delete(w.grants, d)
	if !answered || !d.IsAccount() {
		return false
	}
	if w.answers == nil {
		w.answers = make(map[Digest]answers)
	}
	a := w.answers[d]
	if a.failed != failed {
		a = answers{failed: failed}
	}
	a.count, a.last = a.count+1, now
	w.answers[d] = a
	if a.count < acquittal {
		return false
	}
	delete(w.answers, d)
	return t.Answered(now, d)
}

// Expire forgets trials that have ended.
func (w *Warden) Expire(now time.Time) {
	for d, g := range w.grants {
		if !now.Before(g.until) {
			delete(w.grants, d)
		}
	}
	for d, a := range w.answers {
		if now.Sub(a.last) >= floodLife {
			delete(w.answers, d)
		}
	}
}

// Choose returns the warden of a request among the instances that can be asked, "" if there
// are none. All that know the same instances choose the same one.
func Choose(d Digest, instances []string) string {
	best, bestHash := "", uint64(0)
	for _, name := range instances {
		if hash := mix.Pair(string(d[:]), name); best == "" || hash > bestHash || (hash == bestHash && name < best) {
			best, bestHash = name, hash
		}
	}
	return best
}
