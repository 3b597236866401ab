package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rainford/rainford/balance"
	"github.com/rainford/rainford/caller"
	"github.com/rainford/rainford/internal/demo"
	"github.com/rainford/rainford/internal/load"
	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/internal/standin/backend"
	"github.com/rainford/rainford/internal/standin/platformstore"
	"github.com/rainford/rainford/node"
	"github.com/rainford/rainford/protocol"
	"github.com/rainford/rainford/table"
)

// Scenario names the fault or change that takes place in the middle third of a run.
type Scenario string

// The scenarios.
const (
	Steady       Scenario = "steady"
	RegionLost   Scenario = "region-lost"
	Drain        Scenario = "drain"
	ColdTargets  Scenario = "cold"
	PlatformDown Scenario = "platform-down"
	// CapBound makes every hall of one region send its requests to one row of the
	// routing table with a low cap. The demand of each hall arrives at one of its
	// instances.
	CapBound Scenario = "cap-bound"
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{Steady, RegionLost, Drain, ColdTargets, PlatformDown, CapBound}

// Policy names the policies for the choice of a target, for slow start and for caps
// that a run uses.
type Policy string

// The policies.
const (
	// Full uses the policies of the daemon.
	Full Policy = "full"
	// RoundRobin chooses the targets in turn.
	RoundRobin Policy = "round-robin"
	// LeastInFlight chooses the target with the fewest requests in flight.
	LeastInFlight Policy = "least-in-flight"
	// NoSlowStart sends new targets their full share of the requests immediately.
	NoSlowStart Policy = "no-slow-start"
	// NoLoans disables loans: each instance can use only the units of a cap that its
	// seats (partitions of a hall's units) assign to it.
	NoLoans Policy = "no-loans"
)

// Policies lists all policies.
var Policies = []Policy{Full, RoundRobin, LeastInFlight, NoSlowStart, NoLoans}

// Options configures Run.
type Options struct {
	Estate   demo.Estate
	Scenario Scenario
	Policy   Policy
	// Load is the offered load as a fraction of the targets' capacity.
	Load     float64
	Duration time.Duration
	// ServiceTimeFactor multiplies the service times, so that one machine can
	// serve the capacity of an estate.
	ServiceTimeFactor float64
	Seed              uint64
	// LoanDuration overrides the duration of loans; 0 keeps the default.
	LoanDuration time.Duration
}

// Result holds the measurements of a run.
type Result struct {
	Options  string          `json:"options"`
	Services []ServiceResult `json:"services"`
	// DrainSeconds is the time from a drain until the targets of the drained region
	// started their last request. RecoverSeconds is the time from the event until
	// the rate of successful responses returned to 90 % of the rate before the
	// event, or -1 if it didn't.
	DrainSeconds   float64 `json:"drain_seconds"`
	RecoverSeconds float64 `json:"recover_seconds"`
	// CapUse is the admitted rate as a fraction of the cap, in scenario CapBound.
	CapUse float64 `json:"cap_use"`
	// OverSlots counts the targets that received more concurrent requests than
	// their slots.
	OverSlots int `json:"over_slots"`
	// RunTwice counts the operations that ran more than once.
	RunTwice int `json:"run_twice"`
}

// ServiceResult holds the measurements of a run for one service.
type ServiceResult struct {
	Service  string  `json:"service"`
	Requests int64   `json:"requests"`
	OK       int64   `json:"ok"`
	NotRun   int64   `json:"not_run"`
	Unknown  int64   `json:"unknown"`
	Skipped  int64   `json:"skipped"`
	P50Ms    float64 `json:"p50_ms"`
	P99Ms    float64 `json:"p99_ms"`
	P999Ms   float64 `json:"p999_ms"`
	// Used is the rate of successful responses as a fraction of the capacity.
	Used float64 `json:"used"`
	// Reasons counts the requests that failed, by reason.
	Reasons map[protocol.Reason]int64 `json:"reasons"`
	// RefusalP99Ms is the 99th percentile of the time until a refusal.
	RefusalP99Ms float64 `json:"refusal_p99_ms"`
}

// Run runs one experiment. It returns an error if the estate doesn't start or an edit
// of the routing table fails.
func Run(ctx context.Context, o Options) (*Result, error) {
	for i := range o.Estate.Services {
		o.Estate.Services[i].Time = time.Duration(float64(o.Estate.Services[i].Time) * o.ServiceTimeFactor)
	}
	startCtx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	cluster, err := demo.Start(startCtx, demo.Options{
		Estate: o.Estate,
		Limits: platformstore.DefaultLimits,
		Change: func(c *node.Config) { c.Baseline = baseline(o) },
	})
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	r := &run{options: o, cluster: cluster, generator: load.NewGenerator()}
	return r.run(ctx)
}

// baseline returns the settings of an instance that implement the policy of a run.
func baseline(o Options) node.Baseline {
	b := node.Baseline{LoanDuration: o.LoanDuration}
	switch o.Policy {
	case RoundRobin:
		b.Policy = &balance.RoundRobin{}
	case LeastInFlight:
		b.Policy = balance.LeastInFlight{}
	case NoSlowStart:
		b.NoSlowStart = true
	case NoLoans:
		b.NoLoans = true
	}
	return b
}

type run struct {
	options   Options
	cluster   *demo.Cluster
	generator *load.Generator
	clients   []*caller.Client
	result    Result

	mu sync.Mutex
	// rate holds the total number of successful responses at each rateStep.
	rate []int64
}

// rateStep is the interval between two samples of the number of successful responses.
const rateStep = 250 * time.Millisecond

func (r *run) run(ctx context.Context) (*Result, error) {
	err := r.prepare(ctx)
	if err != nil {
		return nil, err
	}
	loadCtx, stop := context.WithTimeout(ctx, r.options.Duration)
	defer stop()
	err = r.startLoad(loadCtx)
	if err != nil {
		return nil, err
	}
	go r.sample(loadCtx)
	third := r.options.Duration / 3
	pause.For(loadCtx, third)
	event := time.Now()
	restore, err := r.event(ctx)
	if err != nil {
		return nil, err
	}
	pause.For(loadCtx, third)
	r.measureDrain(event)
	restore()
	<-loadCtx.Done()
	r.generator.Wait()
	for _, c := range r.clients {
		c.Close()
	}
	r.finish()
	return &r.result, nil
}

// capRow returns the row that receives the requests in scenario CapBound.
func (r *run) capRow() table.RowKey {
	regions := r.cluster.Estate.Regions
	return table.RowKey{Service: r.cluster.Estate.Services[0].Name, From: regions[0], To: regions[1]}
}

const (
	// boundCap and boundWeight are the cap, in requests per second, and the weight of
	// the row that limits the load in scenario CapBound.
	boundCap    = 60
	boundWeight = 10_000
	// shiftCap is the cap of all other rows between different regions. It is high
	// enough not to limit the load.
	shiftCap = 400
)

// prepare edits the routing table so that caps limit the load in scenario CapBound only.
func (r *run) prepare(ctx context.Context) error {
	change, err := r.cluster.Editor("prepare").Edit(ctx, func(t *table.Table) error {
		for i := range t.Rows {
			row := &t.Rows[i]
			if row.From != row.To {
				row.Cap = shiftCap
			}
			if r.options.Scenario == CapBound && row.Key() == r.capRow() {
				row.Cap, row.Weight, row.Shift, row.Ramp = boundCap, boundWeight, table.FullShift, 0
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	return r.cluster.AwaitVersion(ctx, change.Number)
}

func (r *run) startLoad(ctx context.Context) error {
	halls := r.cluster.Estate.AllHalls()
	for i := range halls {
		client, err := r.cluster.Caller(i)
		if err != nil {
			return err
		}
		r.clients = append(r.clients, client)
		for j, s := range r.streams(len(halls)) {
			s.Client = client
			go r.generator.Run(ctx, s, rand.NewPCG(r.options.Seed, uint64(16*i+j)))
		}
	}
	return nil
}

const operationBytes = 300

func (r *run) streams(halls int) []load.Stream {
	var out []load.Stream
	for i, s := range r.cluster.Estate.Services {
		stream := load.Stream{Service: s.Name, Kind: load.Read, Rate: r.options.Load * capacity(s) / float64(halls), Timeout: 20*s.Time + time.Second}
		if s.Once {
			stream.Kind, stream.Bytes = load.Operate, operationBytes
		}
		if r.options.Scenario == CapBound {
			if i > 0 {
				continue
			}
			stream.Rate = 2 * boundCap
		}
		out = append(out, stream)
	}
	return out
}

// capacity returns the number of requests per second that a service's targets can run.
func capacity(s demo.ServiceSize) float64 {
	return float64(s.Targets*s.Slots) / s.Time.Seconds()
}

// event starts the fault or change of the scenario. It returns a function that ends it,
// which does nothing for events that can't be undone.
func (r *run) event(ctx context.Context) (restore func(), err error) {
	region := r.cluster.Estate.Regions[2]
	restore = func() {}
	switch r.options.Scenario {
	case RegionLost:
		r.killRegion(region)
	case Drain:
		d := table.Drain{Scope: table.ScopeRegion, Name: region}
		_, err = r.cluster.Editor("drain").Edit(ctx, func(t *table.Table) error { t.SetDrain(d, true); return nil })
		restore = func() {
			_, _ = r.cluster.Editor("undrain").Edit(ctx, func(t *table.Table) error { t.SetDrain(d, false); return nil })
		}
	case ColdTargets:
		for _, t := range r.cluster.Targets(region) {
			t.Server.UpdateSettings(func(s *backend.Settings) { s.ColdRuns, s.ColdFactor = 40, 8 })
			t.Server.ResetWarmup()
		}
		err = r.cluster.RenewTargets(ctx, region)
	case PlatformDown:
		r.cluster.SetFaults(platformstore.Faults{Down: true})
		restore = func() { r.cluster.SetFaults(platformstore.Faults{}) }
	}
	return restore, err
}

// killRegion kills the instances of a region, so that its targets receive no more requests.
func (r *run) killRegion(region string) {
	for _, in := range r.cluster.Instances() {
		if in.Node.Instance().Region == region {
			r.cluster.Remove(in)
			in.Kill()
		}
	}
}

func (r *run) measureDrain(event time.Time) {
	if r.options.Scenario != Drain {
		return
	}
	for _, t := range r.cluster.Targets(r.cluster.Estate.Regions[2]) {
		r.result.DrainSeconds = max(r.result.DrainSeconds, t.Server.LastStart().Sub(event).Seconds())
	}
}

// sample records the total number of successful responses at each rateStep until ctx ends.
func (r *run) sample(ctx context.Context) {
	ticker := time.NewTicker(rateStep)
	defer ticker.Stop()
	for {
		total := int64(0)
		for _, s := range r.cluster.Estate.Services {
			total += r.generator.OK(s.Name)
		}
		r.mu.Lock()
		r.rate = append(r.rate, total)
		r.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// recovery returns the time in seconds from the event until the successful responses of
// one second reach 90 % of the rate before the event. It returns -1 if they don't.
func (r *run) recovery() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	second := int(time.Second / rateStep)
	at := len(r.rate) / 3
	if at <= second {
		return -1
	}
	before := float64(r.rate[at]-r.rate[at/2]) / float64(at-at/2)
	for i := at + second; i < len(r.rate); i++ {
		if float64(r.rate[i]-r.rate[i-second])/float64(second) >= 0.9*before {
			return (time.Duration(i-at-second) * rateStep).Seconds()
		}
	}
	return -1
}

func (r *run) finish() {
	o := r.options
	r.result.Options = fmt.Sprintf("%s %s %s load %.1f %s", o.Estate.Name, o.Scenario, o.Policy, o.Load, o.Duration)
	if o.LoanDuration > 0 {
		r.result.Options += " loans " + o.LoanDuration.String()
	}
	r.result.RecoverSeconds = r.recovery()
	r.result.RunTwice = r.cluster.Runs.Duplicates()
	for _, t := range r.cluster.Targets("") {
		if t.Server.PeakRequests() > t.Slots {
			r.result.OverSlots++
		}
	}
	if o.Scenario == CapBound {
		r.result.CapUse = float64(r.cluster.Admissions.Count(r.capRow())) / (boundCap * o.Duration.Seconds())
	}
	for _, s := range r.cluster.Estate.Services {
		st := r.generator.Stats(s.Name)
		const micros = 1000
		r.result.Services = append(r.result.Services, ServiceResult{
			Service: s.Name, Requests: st.Requests, OK: st.OK, NotRun: st.NotRun, Unknown: st.Unknown, Skipped: st.Skipped,
			P50Ms:        float64(st.Latency.ValueAtQuantile(50)) / micros,
			P99Ms:        float64(st.Latency.ValueAtQuantile(99)) / micros,
			P999Ms:       float64(st.Latency.ValueAtQuantile(99.9)) / micros,
			RefusalP99Ms: float64(st.RefusalLatency.ValueAtQuantile(99)) / micros,
			Reasons:      st.Reasons,
			Used:         float64(st.OK) / (capacity(s) * o.Duration.Seconds()),
		})
	}
}
