package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Constants of the simulation of one client that repeats a request that crashes its targets. Each
// instance has a table, and updates between instances are delayed.
const (
	modelServiceTime = 50 * time.Millisecond
	modelRestartTime = 3 * time.Second
	modelTargets     = 40
	modelAttempts    = 2
	modelTime        = 60 * time.Second
)

// modelCase is a setting of the simulation.
type modelCase struct {
	instances int
	// messageDelay is the mean delay of a message between instances, and perSecond the rate of the
	// client's requests.
	messageDelay time.Duration
	perSecond    float64
	// With sticky, all instances send the request to the same targets first.
	sticky bool
	// With noGossip the instances exchange no updates. With noCoordinator they send suspect
	// requests without asking the coordinator.
	noGossip, noCoordinator bool
}

type modelEvent struct {
	at time.Duration
	do func()
}

type modelQueue []modelEvent

func (q modelQueue) Len() int           { return len(q) }
func (q modelQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q modelQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *modelQueue) Push(x any)        { *q = append(*q, x.(modelEvent)) }
func (q *modelQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// model simulates one setting and counts the targets that crash.
type model struct {
	modelCase
	rnd         *rand.Rand
	now         time.Duration
	queue       modelQueue
	tables      []Table
	coordinator TrialCoordinator
	downUntil   map[int]time.Duration
	digest      Digest
	crashes     int
	// lateSends counts the sends later than 4 s after the third crash.
	thirdCrashAt time.Duration
	lateSends    int
	updateBytes  int
}

func (m *model) at(delay time.Duration, do func()) {
	heap.Push(&m.queue, modelEvent{at: m.now + delay, do: do})
}

func (m *model) run() {
	m.tables = make([]Table, m.instances)
	m.downUntil = make(map[int]time.Duration)
	var arrive func()
	arrive = func() {
		m.arrive(m.rnd.IntN(m.instances), 0, 0)
		m.at(time.Duration(float64(time.Second)/m.perSecond), arrive)
	}
	m.at(0, arrive)
	for m.now < modelTime {
		e := heap.Pop(&m.queue).(modelEvent)
		m.now = e.at
		e.do()
	}
}

func (m *model) clock() time.Time { return after(m.now) }

// arrive lets an instance decide on the next attempt of a request. The argument crashedAttempts is
// the number of earlier attempts during which the target crashed.
func (m *model) arrive(i, sent, crashedAttempts int) {
	s := m.tables[i].Status(m.clock(), m.digest)
	switch {
	case crashedAttempts > 0 && s.Crashes >= suspectCrashes, s.Verdict == Held, sent >= modelAttempts:
		return
	case s.Verdict == Allowed || m.noCoordinator:
		m.send(i, sent, crashedAttempts, false)
	default:
		m.at(m.delay(), func() {
			granted, _ := m.coordinator.Acquire(m.clock(), &m.tables[0], m.digest, fmt.Sprint(i), after(m.now+3*time.Second))
			if granted {
				m.at(m.delay(), func() { m.send(i, sent, crashedAttempts, true) })
			}
		})
	}
}

// delay draws the delay of a message.
func (m *model) delay() time.Duration {
	return time.Duration((0.5 + m.rnd.Float64()) * float64(m.messageDelay))
}

// send runs the request at the first target that is up, or at a random one if requests are not
// sticky.
func (m *model) send(i, sent, crashedAttempts int, trial bool) {
	target := m.pickTarget()
	if target < 0 {
		return
	}
	if m.thirdCrashAt > 0 && m.now > m.thirdCrashAt+4*time.Second {
		m.lateSends++
	}
	until, hadCrashed := m.downUntil[target]
	generation := until
	m.at(modelServiceTime, func() {
		if latest, hasCrashed := m.downUntil[target]; hasCrashed != hadCrashed || latest != generation {
			// The target has crashed under another copy of the request meanwhile.
			m.recordCrash(i, target, generation, trial)
		} else {
			m.crashes++
			if m.crashes == 3 {
				m.thirdCrashAt = m.now
			}
			m.downUntil[target] = m.now + modelRestartTime
			m.recordCrash(i, target, generation, trial)
		}
		if !trial {
			m.arrive(i, sent+1, crashedAttempts+1)
		}
	})
}

func (m *model) pickTarget() int {
	first := 0
	if !m.sticky {
		first = m.rnd.IntN(modelTargets)
	}
	for k := range modelTargets {
		target := (first + k) % modelTargets
		if m.now >= m.downUntil[target] {
			return target
		}
	}
	return -1
}

// recordCrash records a crash at an instance and sends the change to all other instances.
func (m *model) recordCrash(i, target int, generation time.Duration, trial bool) {
	id := TargetIDOf(fmt.Sprint(target, "#", generation))
	if !m.tables[i].RecordCrash(m.clock(), m.digest, "", id, trial) || m.noGossip {
		return
	}
	updates := m.tables[i].Updates(m.clock(), m.digest)
	raw, err := updates.MarshalBinary()
	if err != nil {
		panic(err)
	}
	for j := range m.tables {
		if j == i {
			continue
		}
		m.updateBytes += len(raw)
		m.at(m.delay(), func() { m.tables[j].Merge(m.clock(), updates) })
	}
}

// TestRepeatModel simulates a minute of one client that repeats a request that crashes its targets,
// for several numbers of instances and with message delays as between regions. It checks the number
// of crashed targets and the number of late sends. Settings without a limit are only logged: they
// slow the messages down, or switch off one mechanism to show its effect.
func TestRepeatModel(t *testing.T) {
	const regionDelay = 60 * time.Millisecond
	cases := []struct {
		name string
		modelCase
		limit int
	}{
		{"12 instances", modelCase{instances: 12, messageDelay: regionDelay, perSecond: 20, sticky: true}, maxCrashes},
		{"300 instances", modelCase{instances: 300, messageDelay: 2 * regionDelay, perSecond: 20, sticky: true}, maxCrashes},
		{"730 instances", modelCase{instances: 730, messageDelay: 2 * regionDelay, perSecond: 20, sticky: true}, maxCrashes},
		{"12 instances, not sticky", modelCase{instances: 12, messageDelay: regionDelay, perSecond: 20}, maxCrashes + 2},
		{"730 instances, not sticky", modelCase{instances: 730, messageDelay: 2 * regionDelay, perSecond: 20}, maxCrashes + 4},
		{"12 instances, 200 requests a second", modelCase{instances: 12, messageDelay: regionDelay, perSecond: 200, sticky: true}, maxCrashes + 2},
		{"12 instances, slow messages", modelCase{instances: 12, messageDelay: 700 * time.Millisecond, perSecond: 20, sticky: true}, 0},
		{"12 instances, no updates", modelCase{instances: 12, messageDelay: regionDelay, perSecond: 20, sticky: true, noGossip: true}, 0},
		{"12 instances, no coordinator", modelCase{instances: 12, messageDelay: regionDelay, perSecond: 20, sticky: true, noCoordinator: true}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			crashes, worst, late, bytes := 0, 0, 0, 0
			const seeds = 10
			for seed := range uint64(seeds) {
				m := &model{modelCase: c.modelCase, rnd: rand.New(rand.NewPCG(seed, 9)), digest: digest("/ends/")}
				m.run()
				crashes += m.crashes
				worst, late, bytes = max(worst, m.crashes), max(late, m.lateSends), max(bytes, m.updateBytes/c.instances)
			}
			t.Logf("crashed targets: %.1f on average, at most %d; at most %d late sends; %d bytes of updates per instance", float64(crashes)/seeds, worst, late, bytes)
			if c.limit > 0 {
				require.LessOrEqual(t, worst, c.limit)
				require.LessOrEqual(t, late, maxFailedTrials)
			}
		})
	}
}

// BenchmarkDigest measures the cost of a digest by the length of the body. Instances compute
// digests only while their table has records.
func BenchmarkDigest(b *testing.B) {
	for _, size := range []int{0, 4 << 10, 64 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := Content{Account: "ada", Method: "POST", Host: "h.example", URI: "/listings/17/photos?size=2", Body: make([]byte, size)}
			for b.Loop() {
				_ = c.Digest()
			}
		})
	}
}
