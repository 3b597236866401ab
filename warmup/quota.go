package warmup

import (
	"sort"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

// maxSenders bounds the number of instances that may send to one cold target.
const maxSenders = 4

// Quota returns the number of requests that the instance self may send to a cold target in any
// second. The argument members holds the names of all known instances of the target's hall, whether
// they respond or not: an unresponsive one may be partitioned from self and still send to the
// target. The argument rate is the number of requests a second that the target admits from all
// instances.
func Quota(self, target string, members []string, rate float64) int {
	senders := make([]string, 0, len(members))
	senders = append(senders, members...)
	sort.Slice(senders, func(i, j int) bool {
		a, b := mix.Pair(senders[i], target), mix.Pair(senders[j], target)
		if a != b {
			return a > b
		}
		return senders[i] < senders[j]
	})
	n := min(len(senders), maxSenders)
	for _, name := range senders[:n] {
		if name == self {
			return int(rate) / n
		}
	}
	return 0
}

// windowLength is the length of the sliding window of a Window. It exceeds a second by a margin for
// the differences between clocks and between the latencies of the paths to the target.
const windowLength = 1200 * time.Millisecond

// Window counts the requests sent within a sliding window. The zero value is ready to use. A Window
// is not safe for concurrent use.
type Window struct {
	sent []time.Time
}

// Take records a request sent at now if fewer than quota requests were recorded within the window.
// It reports whether it has recorded the request.
func (w *Window) Take(now time.Time, quota int) bool {
	w.expire(now)
	if len(w.sent) >= quota {
		return false
	}
	w.sent = append(w.sent, now)
	return true
}

// CanTake reports whether Take would record a request.
func (w *Window) CanTake(now time.Time, quota int) bool {
	w.expire(now)
	return len(w.sent) < quota
}

func (w *Window) expire(now time.Time) {
	n := 0
	for n < len(w.sent) && now.Sub(w.sent[n]) >= windowLength {
		n++
	}
	w.sent = append(w.sent[:0], w.sent[n:]...)
}
