package warmup

import (
	"sort"
	"time"

	"github.com/rainford/rainford/internal/mix"
)

// maxSenders bounds the instances that may send to one cold target.
const maxSenders = 4

// Quota returns how many requests the instance self may send to a cold target
// in any second. Members are the names of all instances known in the target's
// hall, alive or not: one that is silent may be cut off and go on sending.
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

// windowLength is the length of the time in which sends are counted. It is longer
// than a second by what clocks and the ways to the target may differ.
const windowLength = 1200 * time.Millisecond

// Window counts sends in a sliding window. The zero value is ready.
type Window struct {
	sent []time.Time
}

// Take counts a send if fewer than quota were counted within the window.
func (w *Window) Take(now time.Time, quota int) bool {
	w.expire(now)
	if len(w.sent) >= quota {
		return false
	}
	w.sent = append(w.sent, now)
	return true
}

// CanTake tells whether Take would count a send.
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
