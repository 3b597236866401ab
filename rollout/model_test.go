package rollout_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/rollout"
)

var runs = flag.Int("drawn", 4, "number of rollouts of each kind that the model draws")

var logWrong = flag.Bool("told", false, "each rollout that did not go as it should is told")

// fault is what is wrong with a version.
type fault struct {
	// failing and slow are the parts of the answers that fail and that take times as long.
	failing, slow, times float64
	// from is when it begins, as a part of the duration, and route the only one that it strikes,
	// -1 for all.
	from  float64
	route int
	// underLoad is the load of a target, over that of an old one before the order, from which on
	// the fault shows, 0 for any.
	underLoad float64
}

// simulation is a fleet with one service in which a rollout goes on.
type simulation struct {
	rng *rand.Rand
	// faultyTargets is whether a target of a version is sick.
	faultyTargets map[[2]int]bool
	instances     int
	rate          float64
	keys          int
	targets       int
	duration      time.Duration
	// newTargetsAt is when the new targets are there.
	newTargetsAt time.Duration
	fault        fault
	// oldFailing is the part of the old version's answers that fail, and faultyShare the part of the
	// targets of both versions at which 0.4 fail.
	oldFailing, faultyShare float64
	// lead is killed at a time, if that is not 0, and lost are messages.
	killLeader  time.Duration
	messageLoss float64

	now         time.Time
	start       time.Time
	followers   []*rollout.Follower
	leader      *rollout.Leader
	leaderAt    int
	inFlightOld []int
	events      events
	warm        map[[3]int]bool
	loads       map[int][]time.Time

	sent, sentNew, bad int
	badAt              time.Time
	lateNew            int
	verdict            rollout.State
	verdictAt          time.Duration
	reason             rollout.Reason
}

// event is something that happens at a time.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, k int) bool { return e[i].at.Before(e[k].at) }
func (e events) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (w *simulation) after(d time.Duration, do func()) { heap.Push(&w.events, event{w.now.Add(d), do}) }

const (
	routes   = 3
	warmTime = 400 * time.Millisecond
	coldTime = 1300 * time.Millisecond
	linkTime = 40 * time.Millisecond
)

func (w *simulation) run() {
	w.now = time.Unix(1_000_000, 0)
	w.start = w.now
	order := rollout.Order{Service: "s", Version: "v2", Duration: w.duration, Generation: int64(w.rng.Int32())}
	w.inFlightOld = make([]int, w.instances)
	w.warm, w.loads = make(map[[3]int]bool), make(map[int][]time.Time)
	for key := range w.keys {
		for route := range routes {
			w.warm[[3]int{0, w.target(key*routes+route, w.targets), key*routes + route}] = true
		}
	}
	for i := range w.instances {
		w.followers = append(w.followers, rollout.NewFollower(w.now, fmt.Sprint("n", i), order))
	}
	w.startLeader(0)
	w.after(0, w.arrive)
	w.after(0, w.tick)
	if w.killLeader > 0 {
		w.after(w.killLeader, func() {
			w.leader = nil
			w.after(2500*time.Millisecond, func() { w.startLeader(1) })
		})
	}
	end := w.start.Add(w.duration + 3*time.Second)
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(event)
		if next.at.After(end) {
			return
		}
		w.now = next.at
		next.do()
	}
}

func (w *simulation) startLeader(at int) {
	w.leaderAt = at
	w.leader = rollout.NewLeader(w.now, fmt.Sprint("leader", at), w.followers[at], rollout.DefaultExposureBound)
}

// tick has the leader decide and the instances report.
func (w *simulation) tick() {
	w.after(100*time.Millisecond, w.tick)
	if w.leader != nil {
		situation := rollout.FleetState{Instances: w.instances, Rate: w.rate, OldSlots: float64(w.targets), Utilization: 0.4}
		if w.now.Sub(w.start) >= w.newTargetsAt {
			situation.NewSlots = float64(w.targets)
		}
		stage, tell := w.leader.Decide(w.now, situation)
		if tell {
			for _, f := range w.followers {
				w.deliver(func() { f.HandleStage(w.now, stage) })
			}
		}
		if verdict := w.leader.Verdict(); verdict.IsFinal() && w.verdict == "" {
			w.verdict, w.verdictAt, w.reason = verdict, w.now.Sub(w.start), stage.Reason
			for _, f := range w.followers {
				w.deliver(func() { f.SetState(verdict) })
			}
		}
	}
	for i, f := range w.followers {
		report, _, ok := f.Report(w.now, w.inFlightOld[i])
		if ok {
			w.deliver(func() {
				if w.leader != nil {
					w.leader.HandleReport(w.now, report)
				}
			})
		}
	}
}

func (w *simulation) deliver(do func()) {
	if w.rng.Float64() >= w.messageLoss {
		w.after(linkTime+time.Duration(w.rng.Int64N(int64(200*time.Millisecond))), do)
	}
}

// target returns the target of a key among so many.
func (w *simulation) target(key, among int) int {
	return int((uint64(key)*0x9e3779b97f4a7c15 + 12345) >> 33 % uint64(among))
}

// arrive has one request come, and the next one after a drawn time.
func (w *simulation) arrive() {
	w.after(time.Duration(w.rng.ExpFloat64()/w.rate*float64(time.Second)), w.arrive)
	in := w.rng.IntN(w.instances)
	route := [10]int{0, 0, 0, 0, 0, 0, 0, 1, 1, 2}[w.rng.IntN(10)]
	// Some keys are asked for more often than others.
	key := int(float64(w.keys)*math.Pow(w.rng.Float64(), 1.5))*routes + route
	f := w.followers[in]
	split, _ := f.Split(w.now)
	point := float64(uint32(key*2654435761)) / (1 << 32)
	toNew := split.ToNew(point, w.rng.Float64()) && w.now.Sub(w.start) >= w.newTargetsAt
	w.sent++
	f.RecordSent(toNew)
	if !toNew {
		w.inFlightOld[in]++
	}
	version, among := 0, w.targets
	if toNew {
		version, among = 1, max(2, int(split.TargetShare*float64(w.targets)))
	}
	target := w.target(key, among)
	o, took := w.serve(version, target, key, route)
	if toNew {
		w.sentNew++
		if !w.badAt.IsZero() && w.now.Sub(w.badAt) > 5*time.Second {
			w.lateNew++
		}
	}
	w.after(took, func() {
		if !toNew {
			w.inFlightOld[in]--
			f.RecordOld(o)
			return
		}
		f.RecordNew(o)
	})
}

// serve returns what becomes of a request.
func (w *simulation) serve(version, target, key, route int) (rollout.Observation, time.Duration) {
	at := [3]int{version, target, key}
	took := warmTime
	if !w.warm[at] {
		took = coldTime
		w.warm[at] = true
	}
	took = time.Duration(float64(took) * (0.7 + 0.6*w.rng.Float64()))
	failing, isBad := w.oldFailing, false
	if w.isFaultyTarget(version, target) {
		failing = 0.4
	}
	if version == 1 && w.versionFaulty(target, route) {
		if w.rng.Float64() < w.fault.slow {
			took, isBad = time.Duration(float64(took)*w.fault.times), true
		}
		if w.rng.Float64() < w.fault.failing {
			failing, isBad = 1, true
		}
	}
	o := rollout.Observation{Route: uint16(route), Key: uint32(key), Target: uint32(1000*version + target)}
	switch {
	case took > 2*time.Second:
		took, o.Outcome = 2*time.Second, rollout.Unanswered
	case w.rng.Float64() < failing:
		o.Outcome = rollout.Failed
	}
	o.Latency = rollout.BucketOf(took)
	if isBad {
		w.bad++
		if w.bad == 50 {
			w.badAt = w.now.Add(took)
		}
	}
	return o, took
}

func (w *simulation) isFaultyTarget(version, target int) bool {
	at := [2]int{version, target}
	sick, drawn := w.faultyTargets[at]
	if !drawn {
		sick = w.rng.Float64() < w.faultyShare
		w.faultyTargets[at] = sick
	}
	return sick
}

// versionFaulty tells whether the new version's fault shows on a route at a target now.
func (w *simulation) versionFaulty(target, route int) bool {
	recent := w.loads[target][:0]
	for _, at := range w.loads[target] {
		if w.now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	w.loads[target] = append(recent, w.now)
	usual := w.rate / float64(w.targets)
	return float64(w.now.Sub(w.start)) >= w.fault.from*float64(w.duration) &&
		(w.fault.route < 0 || w.fault.route == route) && float64(len(recent)+1) > w.fault.underLoad*usual
}

// exceeds tells whether more requests have gone to a bad version than are allowed.
func (w *simulation) exceeds() bool { return float64(w.sentNew) > 0.1*float64(w.sent)+50 }

func (w *simulation) String() string {
	return fmt.Sprintf("%s at %v (%s); %d of %d to the new version, %d bad, %d late; fault %+v", w.verdict, w.verdictAt.Round(100*time.Millisecond), w.reason, w.sentNew, w.sent, w.bad, w.lateNew, w.fault)
}

// newSimulation draws a fleet of some size.
func newSimulation(seed uint64, instances int, rate float64) *simulation {
	rnd := rand.New(rand.NewPCG(seed, 77))
	return &simulation{
		rng:           rnd,
		faultyTargets: make(map[[2]int]bool),
		instances:     instances,
		rate:          rate,
		keys:          40 + rnd.IntN(200),
		targets:       max(6, int(rate/5)),
		duration:      time.Duration(10+rnd.IntN(10)) * time.Second,
		newTargetsAt:  time.Duration(rnd.Int64N(int64(2 * time.Second))),
		fault:         fault{route: -1},
		oldFailing:    0.004,
	}
}

// sizes are those of fleets: instances, and requests a second.
var sizes = []struct {
	instances int
	rate      float64
}{{4, 5}, {4, 300}, {12, 400}, {88, 1300}, {730, 5}, {730, 3000}}

// smallRate is the number of requests a second below which there is too little to judge most versions by: of
// these rollouts only the exposure is promised.
const smallRate = 100

// runsPerError is the number of so many rollouts of which one may go wrong, and runsPerErrorWithTrouble that beside troubles
// that look like a bad version, or take the time to judge it.
const (
	runsPerError            = 50
	runsPerErrorWithTrouble = 5
)

// TestGoodVersions draws rollouts of good versions beside other troubles, and counts those that are
// rolled back.
func TestGoodVersions(t *testing.T) {
	for _, size := range sizes {
		for _, c := range []struct {
			name    string
			trouble func(w *simulation)
			most    int
		}{
			{"none", func(*simulation) {}, *runs / runsPerError},
			{"messages lost", func(w *simulation) { w.messageLoss = 0.1 }, *runs / runsPerError},
			{"old one fails", func(w *simulation) { w.oldFailing = 0.1 + 0.2*w.rng.Float64() }, *runs / runsPerError},
			{"sick targets", func(w *simulation) { w.faultyShare = 0.15 }, 1 + *runs/runsPerErrorWithTrouble},
			{"leader is lost", func(w *simulation) { w.killLeader = time.Duration(w.rng.Int64N(int64(w.duration / 2))) }, 1 + *runs/runsPerErrorWithTrouble},
		} {
			t.Run(fmt.Sprintf("instances=%d,rate=%g,%s", size.instances, size.rate, c.name), func(t *testing.T) {
				outcomes := make(map[string]int)
				succeeded := 0
				for seed := range uint64(*runs) {
					w := newSimulation(seed, size.instances, size.rate)
					c.trouble(w)
					w.run()
					outcomes[string(w.verdict)+" "+string(w.reason)]++
					if w.verdict == rollout.Succeeded {
						succeeded++
					} else if *logWrong {
						t.Logf("seed %d: %v", seed, w)
					}
				}
				t.Log(t.Name(), outcomes)
				if size.rate >= smallRate {
					require.LessOrEqual(t, *runs-succeeded, c.most)
				}
			})
		}
	}
}

// TestBadVersions draws rollouts of bad versions, and counts those that are let through and those
// that get more requests than is promised.
func TestBadVersions(t *testing.T) {
	failing := func(w *simulation) { w.fault.failing = 0.2 + 0.5*w.rng.Float64() }
	slow := func(w *simulation) { w.fault.slow, w.fault.times = 0.3+0.7*w.rng.Float64(), 3+5*w.rng.Float64() }
	later := func(w *simulation) { w.fault.from = 0.5 * w.rng.Float64() }
	underLoad := func(w *simulation) { w.fault.underLoad = 0.2 + 0.6*w.rng.Float64() }
	onARoute := func(w *simulation) { w.fault.route = w.rng.IntN(routes) }
	for _, size := range sizes {
		for _, c := range []struct {
			name   string
			faults []func(w *simulation)
		}{
			{"fails", []func(w *simulation){failing}},
			{"slow", []func(w *simulation){slow}},
			{"fails later", []func(w *simulation){failing, later}},
			{"slow later", []func(w *simulation){slow, later}},
			{"fails on a route", []func(w *simulation){failing, onARoute}},
			{"fails under load", []func(w *simulation){failing, underLoad}},
			{"slow under load", []func(w *simulation){slow, underLoad}},
		} {
			t.Run(fmt.Sprintf("instances=%d,rate=%g,%s", size.instances, size.rate, c.name), func(t *testing.T) {
				through, exceeded, late := 0, 0, 0
				for seed := range uint64(*runs) {
					w := newSimulation(seed, size.instances, size.rate)
					for _, fault := range c.faults {
						fault(w)
					}
					w.run()
					count(&through, w.verdict != rollout.RolledBack)
					count(&exceeded, w.exceeds())
					count(&late, w.lateNew > 0 && w.verdict == rollout.RolledBack)
					if *logWrong && (w.verdict != rollout.RolledBack || w.exceeds() || w.lateNew > 0) {
						t.Logf("seed %d: %v", seed, w)
					}
				}
				t.Logf("%s: let through %d, exceeded %d, late %d", t.Name(), through, exceeded, late)
				require.LessOrEqual(t, exceeded, *runs/runsPerError)
				require.Zero(t, late)
				if size.rate >= smallRate {
					require.LessOrEqual(t, through, *runs/runsPerError)
				}
			})
		}
	}
}

func count(n *int, is bool) {
	if is {
		*n++
	}
}
