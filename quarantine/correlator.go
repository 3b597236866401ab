package quarantine

import (
	"slices"
	"time"
)

// Broken is a request that was at a target, unanswered, when its connection ended.
type Broken struct {
	Digest  Digest
	Account string
	// Trial says that it was a trial of its content, and OfAccount that it was one of the
	// unknown requests of its account.
	Trial, OfAccount bool
}

const (
	// doubtLife is how long after a broken connection news of the target's end count for
	// the requests that it had: an entry is gone five seconds after the target, when
	// three heartbeats are missing.
	doubtLife = 10 * time.Second
	// maxDoubts bounds the broken requests kept for one target.
	maxDoubts = 64
)

// Witness finds out under which requests targets have ended. A connection that ends says
// little: it may have been reset, cut off or forgotten. What was broken off counts once it
// is known that the target has ended, and not at all if it answers again. The zero value is
// ready. It is not safe for concurrent use.
type Witness struct {
	doubts map[string]*doubt
}

// doubt is what is known of one target at which requests have broken.
type doubt struct {
	since  time.Time
	broken []Broken
	ended  bool
	asked  bool
}

// Broke notes that a request was broken off at a target. It returns those that are known to
// have been there when the target ended, and whether it has to be found out if it has.
func (w *Witness) Broke(now time.Time, target string, b Broken) (ended []Broken, ask bool) {
	d := w.doubts[target]
	if d == nil || now.Sub(d.since) >= doubtLife {
		if w.doubts == nil {
			w.doubts = make(map[string]*doubt)
		}
		d = &doubt{since: now}
		w.doubts[target] = d
	}
	if d.ended {
		return []Broken{b}, false
	}
	ask, d.asked = !d.asked, true
	if len(d.broken) < maxDoubts && !slices.Contains(d.broken, b) {
		d.broken = append(d.broken, b)
	}
	return nil, ask
}

// Ended takes in that a target has ended. It returns the requests that were there.
func (w *Witness) Ended(now time.Time, target string) []Broken {
	d := w.doubts[target]
	if d == nil || d.ended || now.Sub(d.since) >= doubtLife {
		return nil
	}
	broken := d.broken
	d.ended, d.broken = true, nil
	return broken
}

// Lives takes in that a target has answered a request that was sent at a time.
func (w *Witness) Lives(sent time.Time, target string) {
	if d := w.doubts[target]; d != nil && !d.ended && d.since.Before(sent) {
		delete(w.doubts, target)
	}
}

// Leaves takes in that a target leaves: what it breaks off is its planned end.
func (w *Witness) Leaves(target string) { delete(w.doubts, target) }

// Doubts returns the number of targets that may have ended under a request, of which nothing
// is known for certain.
func (w *Witness) Doubts(digest Digest) int {
	n := 0
	for _, d := range w.doubts {
		if slices.ContainsFunc(d.broken, func(b Broken) bool { return b.Digest == digest }) {
			n++
		}
	}
	return n
}

// Doubtful tells whether requests have broken at a target of which nothing is known.
func (w *Witness) Doubtful(target string) bool {
	d := w.doubts[target]
	return d != nil && !d.ended
}

// Len returns the number of targets in doubt.
func (w *Witness) Len() int { return len(w.doubts) }

// Expire forgets what counts no more.
func (w *Witness) Expire(now time.Time) {
	for target, d := range w.doubts {
		if now.Sub(d.since) >= doubtLife {
			delete(w.doubts, target)
		}
	}
}
