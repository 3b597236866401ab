package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rainford/rainford/member"
)

// propagation models how a change reaches all instances: by the platform's watches, whose replies
// are spread over time by the platform's limit on calls, and by heartbeats that are followed by
// pulls. The recipients of the heartbeats are those of the views.
type propagation struct {
	rng        *rand.Rand
	list       []member.Instance
	views      []*member.View
	receivedAt []time.Duration
}

const (
	heartbeatInterval = 500 * time.Millisecond
	readsPerSec       = 2000
	never             = time.Hour
)

func newPropagation(n, halls int) *propagation {
	p := &propagation{rng: rand.New(rand.NewPCG(1, uint64(n)))}
	for i := range n {
		hall := fmt.Sprintf("h%02d", i%halls)
		p.list = append(p.list, instance(fmt.Sprintf("%s-%03d", hall, i), hall))
	}
	for i := range n {
		v := member.NewView(p.list[i], settings)
		v.SetList(epoch, p.list)
		p.views = append(p.views, v)
	}
	return p
}

// run returns the time after which the last instance has the change. Informed reports which
// instances get it from the platform.
func (p *propagation) run(informed func(i int) bool) time.Duration {
	index := make(map[string]int)
	p.receivedAt = make([]time.Duration, len(p.list))
	answer := time.Duration(0)
	for i, inst := range p.list {
		index[inst.ID] = i
		p.receivedAt[i] = never
		if informed(i) {
			// The reply to a watch and the next watch are two calls.
			answer += 2 * time.Second / readsPerSec
			p.receivedAt[i] = answer
		}
	}
	phase := make([]time.Duration, len(p.list))
	for i := range phase {
		phase[i] = time.Duration(p.rng.Int64N(int64(heartbeatInterval)))
	}
	for round := range uint64(60) {
		for i, v := range p.views {
			sent := phase[i] + time.Duration(round)*heartbeatInterval
			if p.receivedAt[i] > sent {
				continue
			}
			for _, to := range v.Recipients(epoch, round) {
				// The heartbeat, the pull and the object take 1.5 round trips.
				delay := 3 * time.Millisecond
				if to.Hall != p.list[i].Hall {
					delay = 3 * 55 * time.Millisecond
				}
				j := index[to.ID]
				p.receivedAt[j] = min(p.receivedAt[j], sent+delay)
			}
		}
	}
	worst := time.Duration(0)
	for _, t := range p.receivedAt {
		worst = max(worst, t)
	}
	return worst
}

// BenchmarkPropagation reports the time in seconds until a change is in force at all instances.
func BenchmarkPropagation(b *testing.B) {
	for _, size := range []struct{ n, halls int }{{12, 6}, {100, 19}, {730, 19}} {
		p := newPropagation(size.n, size.halls)
		for name, informed := range map[string]func(int) bool{
			"all-watch":       func(int) bool { return true },
			"one-told":        func(i int) bool { return i == 0 },
			"hall-cut":        func(i int) bool { return i%size.halls != 1 },
			"only-three-told": func(i int) bool { return i < 3 },
		} {
			b.Run(fmt.Sprintf("%s/instances%d", name, size.n), func(b *testing.B) {
				worst := time.Duration(0)
				for b.Loop() {
					worst = p.run(informed)
				}
				b.ReportMetric(worst.Seconds(), "s-in-force")
			})
		}
	}
}
