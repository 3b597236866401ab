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

var logWrong = flag.Bool("told", false, "log each rollout with a wrong result")

// fault describes what is wrong with the new version.
type fault struct {
	// failureRate and slowRate are the fractions of the responses that fail and that take
	// slowFactor times as long.
	failureRate, slowRate, slowFactor float64
	// startFraction is when the fault begins, as a fraction of the order's duration. route is the
	// only route with the fault, or -1 for all routes.
	startFraction float64
	route         int
	// minLoad is the load of a target above which the fault shows, relative to the mean load of an
	// old target before the order. It is 0 if the fault does not depend on the load.
	minLoad float64
}

// simulation is a discrete-event simulation of a rollout of one service.
type simulation struct {
	rng *rand.Rand
	// faultyTargets records whether a target, given by version and number, is faulty.
	faultyTargets map[[2]int]bool
	instances     int
	rate          float64
	keys          int
	targets       int
	duration      time.Duration
	// newTargetsAt is the time from the order until the new targets are in service.
	newTargetsAt time.Duration
	fault        fault
	// oldFailureRate is the failure rate of both versions. faultyShare is the fraction of the
	// targets of both versions that are faulty, which means that 40 % of their responses fail.
	oldFailureRate, faultyShare float64
	// killLeader is the time from the order at which the leader is lost, or 0 if it is not.
	// messageLoss is the fraction of the messages that are lost.
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

// event is an action at a simulated time.
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

// after schedules an action.
func (s *simulation) after(d time.Duration, do func()) { heap.Push(&s.events, event{s.now.Add(d), do}) }

const (
	routes   = 3
	warmTime = 400 * time.Millisecond
	coldTime = 1300 * time.Millisecond
	linkTime = 40 * time.Millisecond
)

// run simulates the rollout from the order to 3 s after its duration.
func (s *simulation) run() {
	s.now = time.Unix(1_000_000, 0)
	s.start = s.now
	order := rollout.Order{Service: "s", Version: "v2", Duration: s.duration, Generation: int64(s.rng.Int32())}
	s.inFlightOld = make([]int, s.instances)
	s.warm, s.loads = make(map[[3]int]bool), make(map[int][]time.Time)
	for key := range s.keys {
		for route := range routes {
			s.warm[[3]int{0, s.target(key*routes+route, s.targets), key*routes + route}] = true
		}
	}
	for i := range s.instances {
		s.followers = append(s.followers, rollout.NewFollower(s.now, fmt.Sprint("n", i), order))
	}
	s.startLeader(0)
	s.after(0, s.arrive)
	s.after(0, s.tick)
	if s.killLeader > 0 {
		s.after(s.killLeader, func() {
			s.leader = nil
			s.after(2500*time.Millisecond, func() { s.startLeader(1) })
		})
	}
	end := s.start.Add(s.duration + 3*time.Second)
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		if next.at.After(end) {
			return
		}
		s.now = next.at
		next.do()
	}
}

// startLeader makes an instance the leader.
func (s *simulation) startLeader(at int) {
	s.leaderAt = at
	s.leader = rollout.NewLeader(s.now, fmt.Sprint("leader", at), s.followers[at], rollout.DefaultExposureBound)
}

// tick lets the leader decide and the instances report.
func (s *simulation) tick() {
	s.after(100*time.Millisecond, s.tick)
	if s.leader != nil {
		state := rollout.FleetState{Instances: s.instances, Rate: s.rate, OldSlots: float64(s.targets), Utilization: 0.4}
		if s.now.Sub(s.start) >= s.newTargetsAt {
			state.NewSlots = float64(s.targets)
		}
		stage, announce := s.leader.Decide(s.now, state)
		if announce {
			for _, f := range s.followers {
				s.deliver(func() { f.HandleStage(s.now, stage) })
			}
		}
		if verdict := s.leader.Verdict(); verdict.IsFinal() && s.verdict == "" {
			s.verdict, s.verdictAt, s.reason = verdict, s.now.Sub(s.start), stage.Reason
			for _, f := range s.followers {
				s.deliver(func() { f.SetState(verdict) })
			}
		}
	}
	for i, f := range s.followers {
		report, _, ok := f.Report(s.now, s.inFlightOld[i])
		if ok {
			s.deliver(func() {
				if s.leader != nil {
					s.leader.HandleReport(s.now, report)
				}
			})
		}
	}
}

// deliver schedules the arrival of a message unless it is lost.
func (s *simulation) deliver(do func()) {
	if s.rng.Float64() >= s.messageLoss {
		s.after(linkTime+time.Duration(s.rng.Int64N(int64(200*time.Millisecond))), do)
	}
}

// target returns the target for a key among the given number of targets.
func (s *simulation) target(key, among int) int {
	return int((uint64(key)*0x9e3779b97f4a7c15 + 12345) >> 33 % uint64(among))
}

// arrive simulates the arrival of a request, and schedules the next one after an exponentially
// distributed time.
func (s *simulation) arrive() {
	s.after(time.Duration(s.rng.ExpFloat64()/s.rate*float64(time.Second)), s.arrive)
	in := s.rng.IntN(s.instances)
	route := [10]int{0, 0, 0, 0, 0, 0, 0, 1, 1, 2}[s.rng.IntN(10)]
	// Some keys get more requests than others.
	key := int(float64(s.keys)*math.Pow(s.rng.Float64(), 1.5))*routes + route
	f := s.followers[in]
	split, _ := f.Split(s.now)
	point := float64(uint32(key*2654435761)) / (1 << 32)
	toNew := split.ToNew(point, s.rng.Float64()) && s.now.Sub(s.start) >= s.newTargetsAt
	s.sent++
	f.RecordSent(toNew)
	if !toNew {
		s.inFlightOld[in]++
	}
	version, among := 0, s.targets
	if toNew {
		version, among = 1, max(2, int(split.TargetShare*float64(s.targets)))
	}
	target := s.target(key, among)
	o, took := s.serve(version, target, key, route)
	if toNew {
		s.sentNew++
		if !s.badAt.IsZero() && s.now.Sub(s.badAt) > 5*time.Second {
			s.lateNew++
		}
	}
	s.after(took, func() {
		if !toNew {
			s.inFlightOld[in]--
			f.RecordOld(o)
			return
		}
		f.RecordNew(o)
	})
}

// serve returns the result of a request and its latency.
func (s *simulation) serve(version, target, key, route int) (rollout.Observation, time.Duration) {
	at := [3]int{version, target, key}
	took := warmTime
	if !s.warm[at] {
		took = coldTime
		s.warm[at] = true
	}
	took = time.Duration(float64(took) * (0.7 + 0.6*s.rng.Float64()))
	failureRate, isBad := s.oldFailureRate, false
	if s.isFaultyTarget(version, target) {
		failureRate = 0.4
	}
	if version == 1 && s.versionFaulty(target, route) {
		if s.rng.Float64() < s.fault.slowRate {
			took, isBad = time.Duration(float64(took)*s.fault.slowFactor), true
		}
		if s.rng.Float64() < s.fault.failureRate {
			failureRate, isBad = 1, true
		}
	}
	o := rollout.Observation{Route: uint16(route), Key: uint32(key), Target: uint32(1000*version + target)}
	switch {
	case took > 2*time.Second:
		took, o.Outcome = 2*time.Second, rollout.Unanswered
	case s.rng.Float64() < failureRate:
		o.Outcome = rollout.Failed
	}
	o.Latency = rollout.BucketOf(took)
	if isBad {
		s.bad++
		if s.bad == 50 {
			s.badAt = s.now.Add(took)
		}
	}
	return o, took
}

// isFaultyTarget reports whether a target fails often whatever its version.
func (s *simulation) isFaultyTarget(version, target int) bool {
	at := [2]int{version, target}
	faulty, drawn := s.faultyTargets[at]
	if !drawn {
		faulty = s.rng.Float64() < s.faultyShare
		s.faultyTargets[at] = faulty
	}
	return faulty
}

// versionFaulty reports whether the fault of the new version shows on a route of a target now.
func (s *simulation) versionFaulty(target, route int) bool {
	recent := s.loads[target][:0]
	for _, at := range s.loads[target] {
		if s.now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	s.loads[target] = append(recent, s.now)
	averageLoad := s.rate / float64(s.targets)
	return float64(s.now.Sub(s.start)) >= s.fault.startFraction*float64(s.duration) &&
		(s.fault.route < 0 || s.fault.route == route) && float64(len(recent)+1) > s.fault.minLoad*averageLoad
}

// exceeds reports whether a bad version has got more requests than DefaultExposureBound allows.
func (s *simulation) exceeds() bool { return float64(s.sentNew) > 0.1*float64(s.sent)+50 }

func (s *simulation) String() string {
	return fmt.Sprintf("%s at %v (%s); %d of %d requests to the new version, %d bad, %d late; fault %+v", s.verdict, s.verdictAt.Round(100*time.Millisecond), s.reason, s.sentNew, s.sent, s.bad, s.lateNew, s.fault)
}

// newSimulation returns a simulation whose further parameters are drawn from the seed.
func newSimulation(seed uint64, instances int, rate float64) *simulation {
	rnd := rand.New(rand.NewPCG(seed, 77))
	return &simulation{
		rng:            rnd,
		faultyTargets:  make(map[[2]int]bool),
		instances:      instances,
		rate:           rate,
		keys:           40 + rnd.IntN(200),
		targets:        max(6, int(rate/5)),
		duration:       time.Duration(10+rnd.IntN(10)) * time.Second,
		newTargetsAt:   time.Duration(rnd.Int64N(int64(2 * time.Second))),
		fault:          fault{route: -1},
		oldFailureRate: 0.004,
	}
}

// sizes are the simulated numbers of instances and rates of requests in 1/s.
var sizes = []struct {
	instances int
	rate      float64
}{{4, 5}, {4, 300}, {12, 400}, {88, 1300}, {730, 5}, {730, 3000}}

// smallRate is the request rate in 1/s below which most versions can't be assessed. Rollouts at
// lower rates are only checked against the exposure bound and for late requests.
const smallRate = 100

// One in runsPerError rollouts may have the wrong verdict. With faulty targets or a lost leader,
// which look like a bad version or shorten the time for its assessment, one in
// runsPerErrorWithTrouble and one more may.
const (
	runsPerError            = 50
	runsPerErrorWithTrouble = 5
)

// TestGoodVersions simulates rollouts of good versions under various disturbances and bounds the
// number of those that do not succeed, at request rates from smallRate on.
func TestGoodVersions(t *testing.T) {
	for _, size := range sizes {
		for _, c := range []struct {
			name    string
			trouble func(s *simulation)
			most    int
		}{
			{"none", func(*simulation) {}, *runs / runsPerError},
			{"message loss", func(s *simulation) { s.messageLoss = 0.1 }, *runs / runsPerError},
			{"old version fails", func(s *simulation) { s.oldFailureRate = 0.1 + 0.2*s.rng.Float64() }, *runs / runsPerError},
			{"faulty targets", func(s *simulation) { s.faultyShare = 0.15 }, 1 + *runs/runsPerErrorWithTrouble},
			{"leader lost", func(s *simulation) { s.killLeader = time.Duration(s.rng.Int64N(int64(s.duration / 2))) }, 1 + *runs/runsPerErrorWithTrouble},
		} {
			t.Run(fmt.Sprintf("instances=%d,rate=%g,%s", size.instances, size.rate, c.name), func(t *testing.T) {
				outcomes := make(map[string]int)
				succeeded := 0
				for seed := range uint64(*runs) {
					s := newSimulation(seed, size.instances, size.rate)
					c.trouble(s)
					s.run()
					outcomes[string(s.verdict)+" "+string(s.reason)]++
					if s.verdict == rollout.Succeeded {
						succeeded++
					} else if *logWrong {
						t.Logf("seed %d: %v", seed, s)
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

// Faults of a new version, drawn at random.
func failing(s *simulation) { s.fault.failureRate = 0.2 + 0.5*s.rng.Float64() }

func slow(s *simulation) {
	s.fault.slowRate, s.fault.slowFactor = 0.3+0.7*s.rng.Float64(), 3+5*s.rng.Float64()
}

func later(s *simulation)      { s.fault.startFraction = 0.5 * s.rng.Float64() }
func underLoad(s *simulation)  { s.fault.minLoad = 0.2 + 0.6*s.rng.Float64() }
func onOneRoute(s *simulation) { s.fault.route = s.rng.IntN(routes) }

// versionKind is a kind of versions, given by the faults that are drawn for them.
type versionKind struct {
	name   string
	faults []func(s *simulation)
}

// badKinds are the kinds of bad versions that each run of the tests draws.
var badKinds = []versionKind{
	{"fails", []func(s *simulation){failing}},
	{"slow", []func(s *simulation){slow}},
	{"fails later", []func(s *simulation){failing, later}},
	{"slow later", []func(s *simulation){slow, later}},
	{"fails on one route", []func(s *simulation){failing, onOneRoute}},
	{"fails under load", []func(s *simulation){failing, underLoad}},
	{"slow under load", []func(s *simulation){slow, underLoad}},
}

// TestBadVersions simulates rollouts of bad versions. It bounds the number of those that are not
// rolled back, at request rates from smallRate on, and of those in which the version gets more
// requests than the exposure bound allows.
// No rolled back version may get requests later than 5 s after its 50th bad response.
func TestBadVersions(t *testing.T) {
	for _, size := range sizes {
		for _, c := range badKinds {
			t.Run(fmt.Sprintf("instances=%d,rate=%g,%s", size.instances, size.rate, c.name), func(t *testing.T) {
				undetected, exceeded, late := 0, 0, 0
				for seed := range uint64(*runs) {
					s := newSimulation(seed, size.instances, size.rate)
					for _, fault := range c.faults {
						fault(s)
					}
					s.run()
					count(&undetected, s.verdict != rollout.RolledBack)
					count(&exceeded, s.exceeds())
					count(&late, s.lateNew > 0 && s.verdict == rollout.RolledBack)
					if *logWrong && (s.verdict != rollout.RolledBack || s.exceeds() || s.lateNew > 0) {
						t.Logf("seed %d: %v", seed, s)
					}
				}
				t.Logf("%s: %d bad versions not rolled back, %d exceeded the exposure bound, %d got late requests", t.Name(), undetected, exceeded, late)
				require.LessOrEqual(t, exceeded, *runs/runsPerError)
				require.Zero(t, late)
				if size.rate >= smallRate {
					require.LessOrEqual(t, undetected, *runs/runsPerError)
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
