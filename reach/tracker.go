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
	// ProbeTargets is the number while they are lost, and for a check that was requested.
	ProbeTargets = 2
)

// Delays of requested checks. Meanwhile a request may show what the check would.
const (
	// AtOnce is for what is waited for.
	AtOnce time.Duration = 0
	// Soon is for what others should know in their next round of gossip.
	Soon = 100 * time.Millisecond
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
	// provenAt is the time at which the last connection to a target was begun, as far as is known.
	provenAt time.Time
	// requestedAt is the time of the latest request for a check that is still open, and requestDue the
	// time from which the check is due. Both are zero if there is none.
	requestedAt, requestDue time.Time
	// doubtful is true after a requested check that found no target. A larger one has to follow.
	doubtful bool
	// targetStarted is true if a target has started since the last check.
	targetStarted bool
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

// Connected records that a connection to a target was opened for a request that began at the given
// time.
func (t *Tracker) Connected(at time.Time) {
	if !t.lost {
		t.prove(at)
	}
}

// prove records that a connection that was begun at the given time was opened.
func (t *Tracker) prove(at time.Time) {
	if !at.After(t.provenAt) {
		return
	}
	t.provenAt = at
	for target, failedAt := range t.failed {
		if !failedAt.After(at) {
			delete(t.failed, target)
		}
	}
	if !at.Before(t.requestedAt) {
		t.requestedAt, t.requestDue = time.Time{}, time.Time{}
	}
}

// ProvenAt returns the latest time at which the instance is known to have reached a target.
func (t *Tracker) ProvenAt() time.Time { return t.provenAt }

// RequestCheck requests a check, to find out whether what was seen of a target now is due to the target
// or to the links of the instance. The check is due after the given delay.
func (t *Tracker) RequestCheck(now time.Time, delay time.Duration) {
	due := now.Add(delay)
	t.requestedAt = now
	if t.requestDue.IsZero() || due.Before(t.requestDue) {
		t.requestDue = due
	}
}

// TargetStarted records that a target has started. Its previous incarnation may have been the reason why
// the targets are lost, so that the next check is due at once.
func (t *Tracker) TargetStarted() { t.targetStarted = t.lost }

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
		return t.confirming || t.targetStarted || since >= probeInterval
	}
	if t.doubtful || !t.requestDue.IsZero() && !now.Before(t.requestDue) {
		return true
	}
	return since >= minCheckInterval && t.suspicious(now)
}

// suspicious reports whether requests show that the targets may be lost.
func (t *Tracker) suspicious(now time.Time) bool {
	stalled := t.running >= stallRunning && t.IsSilent(now)
	return stalled || t.FailedCount(now) >= minFailed
}

// IsSilent reports whether requests are at targets and none has been answered for a while.
func (t *Tracker) IsSilent(now time.Time) bool {
	return t.running > 0 && now.Sub(t.progressAt) >= stallTime
}

// IsIdle reports whether no check becomes due without a further event.
func (t *Tracker) IsIdle(now time.Time) bool {
	return !t.lost && !t.doubtful && t.requestDue.IsZero() && t.FailedCount(now) == 0
}

// CheckSize returns the number of targets that the next check should connect to, at most.
func (t *Tracker) CheckSize(now time.Time) int {
	switch {
	case t.lost && !t.confirming, !t.lost && !t.doubtful && !t.suspicious(now):
		return ProbeTargets
	default:
		return CheckTargets
	}
}

// Check is the result of a check.
type Check struct {
	StartedAt, EndedAt time.Time
	// Timeout is the time after which the check gave up.
	Timeout time.Duration
	// Tried is the number of targets that the check tried to connect to, and Connected the number of
	// those that it connected to. Size is the number that it was to try.
	Tried, Connected, Size int
}

// isLate reports whether a failed check took so long that the process did not run meanwhile, which shows
// nothing of the targets.
func (c Check) isLate() bool {
	return c.Connected == 0 && isLate(c.StartedAt, c.EndedAt, c.Timeout)
}

// isLate reports whether a failed check with a time-out ended much later than that.
func isLate(startedAt, endedAt time.Time, timeout time.Duration) bool {
	return timeout > 0 && endedAt.Sub(startedAt) > timeout+lateCheckTime
}

// Checked records the result of a check. A check of no target shows nothing. One during which the process
// did not run is repeated. Checked reports whether Lost has changed.
func (t *Tracker) Checked(c Check) (changed bool) {
	if c.Tried > 0 && c.isLate() {
		t.checkedAt = time.Time{}
		return false
	}
	now := c.EndedAt
	t.checkedAt, t.targetStarted = now, false
	if c.Tried == 0 {
		t.doubtful, t.requestedAt, t.requestDue = false, time.Time{}, time.Time{}
		return false
	}
	if c.Connected > 0 {
		t.prove(c.StartedAt)
	}
	if !t.requestDue.IsZero() {
		// What was requested meanwhile is not checked without a pause.
		t.requestDue = t.requestedAt.Add(Soon)
	}
	before := t.lost
	switch {
	case !t.lost && c.Connected == 0 && c.Size < CheckTargets:
		t.doubtful = true
	case !t.lost:
		t.lost, t.doubtful = c.Connected == 0, false
	case c.Connected == 0:
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
	t.requestedAt, t.requestDue = time.Time{}, time.Time{}
	t.progressAt, t.changedAt = now, now
	return true
}
