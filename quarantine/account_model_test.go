package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// accountModelCase is a setting of the simulation of one account. The account sends requests that
// all differ and each crash their target. The instances exchange updates.
type accountModelCase struct {
	instances    int
	messageDelay time.Duration
	perSecond    float64
	// harmlessShare is the fraction of the requests that are answered instead of crashing their
	// target.
	harmlessShare float64
	// With noFlagging the instances do not flag the account. With noCoordinator they send its
	// requests as trials without asking the coordinator. With noLocalBackoff they ask the
	// coordinator also during the back-off after a failed trial.
	noFlagging, noCoordinator, noLocalBackoff bool
}

// accountModel simulates one setting and counts the targets that crash.
type accountModel struct {
	accountModelCase
	rnd          *rand.Rand
	now          time.Duration
	queue        modelQueue
	tables       []Table
	flaggedAt    []time.Duration
	coordinator  TrialCoordinator
	downUntil    map[int]time.Duration
	sent         int
	crashes      int
	harmlessSent int
	answered     int
	updateBytes  int
}

// accountModelTime is the simulated time, and accountModelFlagInterval the least time between two
// calls of FlagAccounts at an instance.
const (
	accountModelTime         = 14 * time.Second
	accountModelFlagInterval = 250 * time.Millisecond
)

const crashingAccount = "ada"

func (m *accountModel) clock() time.Time { return after(m.now) }

func (m *accountModel) at(delay time.Duration, do func()) {
	heap.Push(&m.queue, modelEvent{at: m.now + delay, do: do})
}

func (m *accountModel) delay() time.Duration {
	return time.Duration((0.5 + m.rnd.Float64()) * float64(m.messageDelay))
}

func (m *accountModel) run() {
	m.tables = make([]Table, m.instances)
	m.flaggedAt = make([]time.Duration, m.instances)
	m.downUntil = make(map[int]time.Duration)
	var arrive func()
	arrive = func() {
		m.arrive(m.rnd.IntN(m.instances))
		m.at(time.Duration(float64(time.Second)/m.perSecond), arrive)
	}
	m.at(0, arrive)
	for len(m.queue) > 0 && m.now < accountModelTime {
		e := heap.Pop(&m.queue).(modelEvent)
		m.now = e.at
		e.do()
	}
}

// arrive lets an instance decide on a new request of the account.
func (m *accountModel) arrive(i int) {
	m.sent++
	d := Content{Account: crashingAccount, URI: fmt.Sprint(m.sent)}.Digest()
	harmless := m.rnd.Float64() < m.harmlessShare
	if harmless {
		m.harmlessSent++
	}
	account := AccountDigest(crashingAccount)
	status := m.tables[i].Status(m.clock(), account)
	switch {
	case status.Verdict == Allowed:
		m.send(i, d, harmless, modelAttempts, false)
	case status.Verdict == Held && !m.noLocalBackoff:
	case m.noCoordinator:
		m.send(i, d, harmless, 1, true)
	default:
		m.at(m.delay(), func() { m.acquire(i, d, account, harmless) })
	}
}

// acquire asks the coordinator of the account whether the request may be sent as a trial.
func (m *accountModel) acquire(i int, d, account Digest, harmless bool) {
	name := fmt.Sprint(i)
	granted, _ := m.coordinator.Acquire(m.clock(), &m.tables[0], account, name, after(m.now+3*time.Second))
	if granted {
		m.at(m.delay(), func() { m.send(i, d, harmless, 1, true) })
	}
}

// send runs a request at a target that is up. If the target crashes, it sends the request again
// until no attempts are left.
func (m *accountModel) send(i int, d Digest, harmless bool, attempts int, trial bool) {
	target := m.pickTarget()
	if target < 0 {
		return
	}
	m.at(modelServiceTime, func() {
		if harmless {
			m.answered++
			m.tables[i].RecordAnswer(m.clock(), d)
			m.release(i, trial)
			return
		}
		generation := m.downUntil[target]
		if m.now >= generation {
			m.crashes++
			m.downUntil[target] = m.now + modelRestartTime
		}
		m.recordCrash(i, d, TargetIDOf(fmt.Sprint(target, "#", m.downUntil[target])), trial)
		if attempts > 1 {
			m.send(i, d, harmless, attempts-1, trial)
		}
	})
}

// release reports an answered trial to the coordinator.
func (m *accountModel) release(i int, trial bool) {
	if !trial {
		return
	}
	m.at(m.delay(), func() {
		account := AccountDigest(crashingAccount)
		if m.coordinator.Release(&m.tables[0], m.clock(), account, fmt.Sprint(i), true) {
			m.broadcast(0, account)
		}
	})
}

func (m *accountModel) pickTarget() int {
	first := m.rnd.IntN(modelTargets)
	for k := range modelTargets {
		target := (first + k) % modelTargets
		if m.now >= m.downUntil[target] {
			return target
		}
	}
	return -1
}

// recordCrash records a crash at an instance, flags accounts there, and sends the changes to all
// other instances.
func (m *accountModel) recordCrash(i int, d Digest, target TargetID, trial bool) {
	t := &m.tables[i]
	t.RecordCrash(m.clock(), d, crashingAccount, target, false)
	changed := []Digest{d}
	if trial {
		t.RecordCrash(m.clock(), AccountDigest(crashingAccount), crashingAccount, target, true)
		changed = append(changed, AccountDigest(crashingAccount))
	}
	if !m.noFlagging && (m.flaggedAt[i] == 0 || m.now-m.flaggedAt[i] >= accountModelFlagInterval) {
		m.flaggedAt[i] = m.now
		changed = append(changed, t.FlagAccounts(m.clock(), trustNone)...)
	}
	m.broadcast(i, changed...)
}

func (m *accountModel) broadcast(i int, digests ...Digest) {
	updates := m.tables[i].Updates(m.clock(), digests...)
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

// TestAccountModel simulates 14 s of an account whose requests crash their targets, for several
// numbers of instances, and checks the number of crashed targets. Settings without a limit are only
// logged: they change the load, or switch off one mechanism to show its effect.
func TestAccountModel(t *testing.T) {
	const regionDelay, limit = 60 * time.Millisecond, 30
	for _, c := range []struct {
		name string
		accountModelCase
		limit int
	}{
		{"12 instances", accountModelCase{instances: 12, messageDelay: regionDelay, perSecond: 10}, limit},
		{"300 instances", accountModelCase{instances: 300, messageDelay: 2 * regionDelay, perSecond: 10}, limit},
		{"730 instances", accountModelCase{instances: 730, messageDelay: 2 * regionDelay, perSecond: 10}, limit},
		{"12 instances, half of the requests harmless", accountModelCase{instances: 12, messageDelay: regionDelay, perSecond: 20, harmlessShare: 0.5}, 0},
		{"12 instances, 50 requests a second", accountModelCase{instances: 12, messageDelay: regionDelay, perSecond: 50}, 0},
		{"12 instances, no account flagged", accountModelCase{instances: 12, messageDelay: regionDelay, perSecond: 10, noFlagging: true}, 0},
		{"12 instances, no coordinator", accountModelCase{instances: 12, messageDelay: regionDelay, perSecond: 10, noCoordinator: true}, 0},
		{"12 instances, no back-off at the sender", accountModelCase{instances: 12, messageDelay: regionDelay, perSecond: 10, noLocalBackoff: true}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			crashes, worst, bytes, harmlessSent, answered := 0, 0, 0, 0, 0
			const seeds = 5
			for seed := range uint64(seeds) {
				m := &accountModel{accountModelCase: c.accountModelCase, rnd: rand.New(rand.NewPCG(seed, 13))}
				m.run()
				crashes += m.crashes
				harmlessSent, answered = harmlessSent+m.harmlessSent, answered+m.answered
				worst, bytes = max(worst, m.crashes), max(bytes, m.updateBytes/c.instances)
			}
			t.Logf("crashed targets: %.1f on average, at most %d; %d of %d harmless requests answered; %d bytes of updates per instance", float64(crashes)/seeds, worst, answered, harmlessSent, bytes)
			if c.limit > 0 {
				require.LessOrEqual(t, worst, c.limit)
			}
		})
	}
}
