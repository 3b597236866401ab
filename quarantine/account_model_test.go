package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// floodCase is one setting of the model of floods: one account sends requests that are all
// different, each of which ends the target that runs it, to instances that tell each other.
type floodCase struct {
	instances int
	news      time.Duration
	perSecond float64
	// good is the part of the requests that are answered instead, none of them before.
	good float64
	// unflagged has no account flagged, free has its requests sent as trials without a
	// warden's leave, and restless has instances ask the warden during the pause after a
	// failed trial.
	unflagged, free, restless bool
}

// floodModel plays one setting and counts the targets that end.
type floodModel struct {
	floodCase
	rnd       *rand.Rand
	now       time.Duration
	queue     modelQueue
	tables    []Table
	lookedAt  []time.Duration
	warden    Warden
	down      map[int]time.Duration
	sent      int
	ends      int
	goodSent  int
	answered  int
	newsBytes int
}

// floodModelTime is how long a flood lasts in the model, and floodModelLook the time between two
// looks of an instance for accounts to flag.
const (
	floodModelTime = 14 * time.Second
	floodModelLook = 250 * time.Millisecond
)

const flooder = "ada"

func (m *floodModel) clock() time.Time { return after(m.now) }

func (m *floodModel) at(delay time.Duration, do func()) {
	heap.Push(&m.queue, modelEvent{at: m.now + delay, do: do})
}

func (m *floodModel) delay() time.Duration {
	return time.Duration((0.5 + m.rnd.Float64()) * float64(m.news))
}

func (m *floodModel) play() {
	m.tables = make([]Table, m.instances)
	m.lookedAt = make([]time.Duration, m.instances)
	m.down = make(map[int]time.Duration)
	var arrive func()
	arrive = func() {
		m.arrive(m.rnd.IntN(m.instances))
		m.at(time.Duration(float64(time.Second)/m.perSecond), arrive)
	}
	m.at(0, arrive)
	for len(m.queue) > 0 && m.now < floodModelTime {
		e := heap.Pop(&m.queue).(modelEvent)
		m.now = e.at
		e.do()
	}
}

// arrive has an instance decide on a request that nobody has sent before.
func (m *floodModel) arrive(i int) {
	m.sent++
	d := Content{Account: flooder, URI: fmt.Sprint(m.sent)}.Digest()
	good := m.rnd.Float64() < m.good
	if good {
		m.goodSent++
	}
	account := AccountDigest(flooder)
	standing := m.tables[i].Standing(m.clock(), account)
	switch {
	case standing.Verdict == Free:
		m.send(i, d, good, modelAttempts, false)
	case standing.Verdict == Held && !m.restless:
	case m.free:
		m.send(i, d, good, 1, true)
	default:
		m.at(m.delay(), func() { m.ask(i, d, account, good) })
	}
}

// ask asks the warden of the account whether a request may be sent.
func (m *floodModel) ask(i int, d, account Digest, good bool) {
	name := fmt.Sprint(i)
	granted, _ := m.warden.Ask(m.clock(), &m.tables[0], account, name, after(m.now+3*time.Second))
	if granted {
		m.at(m.delay(), func() { m.send(i, d, good, 1, true) })
	}
}

// send has some target run a request, and another one if that ends and attempts are left.
func (m *floodModel) send(i int, d Digest, good bool, attempts int, trial bool) {
	target := m.pick()
	if target < 0 {
		return
	}
	m.at(modelRun, func() {
		if good {
			m.answered++
			m.tables[i].Answered(m.clock(), d)
			m.done(i, trial)
			return
		}
		generation := m.down[target]
		if m.now >= generation {
			m.ends++
			m.down[target] = m.now + modelRevive
		}
		m.learn(i, d, TargetOf(fmt.Sprint(target, "#", m.down[target])), trial)
		if attempts > 1 {
			m.send(i, d, good, attempts-1, trial)
		}
	})
}

// done tells the warden that a trial was answered.
func (m *floodModel) done(i int, trial bool) {
	if !trial {
		return
	}
	m.at(m.delay(), func() {
		account := AccountDigest(flooder)
		if m.warden.Done(&m.tables[0], m.clock(), account, fmt.Sprint(i), true) {
			m.tell(0, account)
		}
	})
}

func (m *floodModel) pick() int {
	first := m.rnd.IntN(modelTargets)
	for k := range modelTargets {
		target := (first + k) % modelTargets
		if m.now >= m.down[target] {
			return target
		}
	}
	return -1
}

// learn has an instance note an end, look for accounts to flag, and tell all others.
func (m *floodModel) learn(i int, d Digest, target Target, trial bool) {
	t := &m.tables[i]
	t.Ended(m.clock(), d, flooder, target, false)
	told := []Digest{d}
	if trial {
		t.Ended(m.clock(), AccountDigest(flooder), flooder, target, true)
		told = append(told, AccountDigest(flooder))
	}
	if !m.unflagged && (m.lookedAt[i] == 0 || m.now-m.lookedAt[i] >= floodModelLook) {
		m.lookedAt[i] = m.now
		told = append(told, t.Flag(m.clock(), nobody)...)
	}
	m.tell(i, told...)
}

func (m *floodModel) tell(i int, digests ...Digest) {
	news := m.tables[i].About(m.clock(), digests...)
	raw, err := news.MarshalBinary()
	if err != nil {
		panic(err)
	}
	for j := range m.tables {
		if j == i {
			continue
		}
		m.newsBytes += len(raw)
		m.at(m.delay(), func() { m.tables[j].Merge(m.clock(), news) })
	}
}

// TestFloodModel plays 14 s of floods at fleets of several sizes, and checks that few targets end.
// Each way is switched off in turn, for what it is worth.
func TestFloodModel(t *testing.T) {
	const far, most = 60 * time.Millisecond, 30
	for _, c := range []struct {
		name string
		floodCase
		most int
	}{
		{"12 instances", floodCase{instances: 12, news: far, perSecond: 10}, most},
		{"300 instances", floodCase{instances: 300, news: 2 * far, perSecond: 10}, most},
		{"730 instances", floodCase{instances: 730, news: 2 * far, perSecond: 10}, most},
		{"12, half of them good", floodCase{instances: 12, news: far, perSecond: 20, good: 0.5}, 0},
		{"12, 50 a second", floodCase{instances: 12, news: far, perSecond: 50}, 0},
		{"12, no account flagged", floodCase{instances: 12, news: far, perSecond: 10, unflagged: true}, 0},
		{"12, no warden", floodCase{instances: 12, news: far, perSecond: 10, free: true}, 0},
		{"12, no pauses kept by who asks", floodCase{instances: 12, news: far, perSecond: 10, restless: true}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			ends, worst, bytes, goodSent, answered := 0, 0, 0, 0, 0
			const seeds = 5
			for seed := range uint64(seeds) {
				m := &floodModel{floodCase: c.floodCase, rnd: rand.New(rand.NewPCG(seed, 13))}
				m.play()
				ends += m.ends
				goodSent, answered = goodSent+m.goodSent, answered+m.answered
				worst, bytes = max(worst, m.ends), max(bytes, m.newsBytes/c.instances)
			}
			t.Logf("%.1f targets ended, %d at worst; %d of %d good ones answered; %d bytes of news an instance", float64(ends)/seeds, worst, answered, goodSent, bytes)
			if c.most > 0 {
				require.LessOrEqual(t, worst, c.most)
			}
		})
	}
}
