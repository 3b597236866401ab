package reach

import "time"

const (
	// minFailed is the number of different targets that have to fail within failureWindow for a
	// check. The failure of one target is common, and others are tried after it.
	minFailed     = 2
	failureWindow = 2 * time.Second
	// A check is also due if at least stallRunning requests are at targets and none has been
	// answered for stallTime. Packets may be dropped without an error.
	stallRunning = 4
	stallTime    = 500 * time.Millisecond
	// minCheckInterval is the shortest time between two checks that find targets.
	minCheckInterval = 500 * time.Millisecond
	// probeInterval is the time between two checks while the targets are lost.
	probeInterval = 250 * time.Millisecond
)

// Numbers of targets that a check connects to, at most.
const (
	// CheckTargets is the number while the targets are not lost. It is large enough for a few
	// targets that are down, or a hall, not to be mistaken for a fault of the instance.
	CheckTargets = 6
	// ProbeTargets is the number while they are lost.
	ProbeTargets = 2
)

// Tracker tracks whether an instance reaches any target. The zero value reaches them. It is not
// safe for concurrent use.
type Tracker struct {
	lost bool
	// changedAt is when lost last changed.
	changedAt time.Time
	// failed holds, by target, the time of its last failure within failureWindow.
	failed map[string]time.Time
	// running is the number of requests at targets. progressAt is when the last one was answered, or
	// when running last rose from 0.
	running    int
	progressAt time.Time
	// checkedAt is the time of the last check.
	checkedAt time.Time
	// confirming is true after a check that found a target while the targets were lost. A second
	// one has to confirm it.
	confirming bool
}

// Lost reports whether the instance reaches no target.
func (t *Tracker) Lost() bool { return t.lost }

// ChangedAt returns when Lost last changed, or the zero time.
func (t *Tracker) ChangedAt() time.Time { return t.changedAt }

// FailedCount returns the number of different targets that failed recently.
func (t *Tracker) FailedCount(now time.Time) int {
	t.expire(now)
	return len(t.failed)
}

// Start records that a request is sent to a target.
func (t *Tracker) Start(now time.Time) {
	if t.running == 0 {
		t.progressAt = now
	}
	t.running++
}

// End records that a request at a target has ended, with or without a response.
func (t *Tracker) End(now time.Time, answered bool) {
	t.running--
	if answered {
		t.progressAt = now
	}
}

// Failed records that no connection to a target could be opened, or that one ended before the
// response to a request.
func (t *Tracker) Failed(now time.Time, target string) {
	if t.failed == nil {
		t.failed = make(map[string]time.Time)
	}
	t.failed[target] = now
}

// Connected records that a connection to a target was opened for a request.
func (t *Tracker) Connected() {
	if !t.lost {
		clear(t.failed)
	}
}

func (t *Tracker) expire(now time.Time) {
	for target, at := range t.failed {
		if now.Sub(at) >= failureWindow {
			delete(t.failed, target)
		}
	}
}

// CheckDue reports whether a check should be made now.
func (t *Tracker) CheckDue(now time.Time) bool {
	since := now.Sub(t.checkedAt)
	if t.lost {
		return t.confirming || since >= probeInterval
	}
	if since < minCheckInterval {
		return false
	}
	stalled := t.running >= stallRunning && now.Sub(t.progressAt) >= stallTime
	return stalled || t.FailedCount(now) >= minFailed
}

// CheckSize returns the number of targets that the next check should connect to, at most.
func (t *Tracker) CheckSize() int {
	if t.lost && !t.confirming {
		return ProbeTargets
	}
	return CheckTargets
}

// Checked records the result of a check: the number of targets that it tried to connect to, and of
// those that it connected to. A check of no target shows nothing. Checked reports whether Lost has
// changed.
func (t *Tracker) Checked(now time.Time, tried, connected int) (changed bool) {
	t.checkedAt = now
	if tried == 0 {
		return false
	}
	before := t.lost
	switch {
	case !t.lost:
		t.lost = connected == 0
	case connected == 0:
		t.confirming = false
	case t.confirming:
		t.lost, t.confirming = false, false
	default:
		t.confirming = true
	}
	if t.lost == before {
		return false
	}
	clear(t.failed)
	t.progressAt, t.changedAt = now, now
	return true
}
