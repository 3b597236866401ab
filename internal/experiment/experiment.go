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

// Scenario is what happens in the middle third of a run.
type Scenario string

// The scenarios.
const (
	Steady       Scenario = "steady"
	RegionLost   Scenario = "region-lost"
	Drain        Scenario = "drain"
	ColdTargets  Scenario = "cold"
	PlatformDown Scenario = "platform-down"
	// CapBound has every hall of one region lean on one capped row, with all
	// the demand at one instance of each hall.
	CapBound Scenario = "cap-bound"
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{Steady, RegionLost, Drain, ColdTargets, PlatformDown, CapBound}

// Policy is a set of choices that is compared with others.
type Policy string

// The policies.
const (
	// Full is what the daemon does.
	Full Policy = "full"
	// RoundRobin picks targets in turn.
	RoundRobin Policy = "round-robin"
	// LeastInFlight picks the target with the fewest requests in flight.
	LeastInFlight Policy = "least-in-flight"
	// NoSlowStart gives new targets their whole share at once.
	NoSlowStart Policy = "no-slow-start"
	// NoLoans leaves units where the seats put them.
	NoLoans Policy = "no-loans"
)

// Policies lists all policies.
var Policies = []Policy{Full, RoundRobin, LeastInFlight, NoSlowStart, NoLoans}

// Options are the choices of a run.
type Options struct {
	Estate   demo.Estate
	Scenario Scenario
	Policy   Policy
	// Load is the offered load as a part of the targets' capacity.
	Load     float64
	Duration time.Duration
	// Slow multiplies the service times, so that the capacity of an estate
	// fits one machine.
	Slow float64
	Seed uint64
	// LoanLength overrides the length of loans; 0 leaves it.
	LoanLength time.Duration
}

// Result is what a run measured.
type Result struct {
	Options  string          `json:"options"`
	Services []ServiceResult `json:"services"`
	// DrainSeconds is the time to the last new request after a drain or a
	// loss, and RecoverSeconds the time after the event until the rate of
	// good answers was back at nine tenths of what it was before, or of what
	// the rest can carry; -1 if it was not.
	DrainSeconds   float64 `json:"drain_seconds"`
	RecoverSeconds float64 `json:"recover_seconds"`
	// CapUse is the part of the cap that was carried, for CapBound.
	CapUse float64 `json:"cap_use"`
	// OverSlots counts targets that were offered more than their slots.
	OverSlots int `json:"over_slots"`
	RunTwice  int `json:"run_twice"`
}

// ServiceResult is what a run measured for one service.
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
	// Used is the part of the capacity that gave good answers.
	Used float64 `json:"used"`
	// Reasons counts what was not answered, by reason.
	Reasons map[protocol.Reason]int64 `json:"reasons"`
	// RefusalP99Ms is how long the slowest refusals took.
	RefusalP99Ms float64 `json:"refusal_p99_ms"`
}

// Run runs one experiment.
func Run(ctx context.Context, o Options) (*Result, error) {
	for i := range o.Estate.Services {
		o.Estate.Services[i].Time = time.Duration(float64(o.Estate.Services[i].Time) * o.Slow)
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

func baseline(o Options) node.Baseline {
	b := node.Baseline{LoanDuration: o.LoanLength}
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

	mu   sync.Mutex
	rate []int64
}

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

// capRow is the row that CapBound leans on.
func (r *run) capRow() table.RowKey {
	regions := r.cluster.Estate.Regions
	return table.RowKey{Service: r.cluster.Estate.Services[0].Name, From: regions[0], To: regions[1]}
}

const (
	boundCap    = 60
	boundWeight = 10_000
	shiftCap    = 400
)

// prepare sets the caps so that they are not what binds, but for CapBound.
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

// capacity returns the requests a second that a service's targets carry.
func capacity(s demo.ServiceSize) float64 {
	return float64(s.Targets*s.Slots) / s.Time.Seconds()
}

// event brings about what the scenario names, and returns how to end it.
func (r *run) event(ctx context.Context) (restore func(), err error) {
	region := r.cluster.Estate.Regions[2]
	restore = func() {}
	switch r.options.Scenario {
	case RegionLost:
		r.lose(region)
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

// lose kills a region's instances and cuts its targets off.
func (r *run) lose(region string) {
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

// sample records the number of good answers at each step.
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

// recovery returns the time after the event until one second's good answers
// are back at nine tenths of those before it.
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
	if o.LoanLength > 0 {
		r.result.Options += " loans " + o.LoanLength.String()
	}
	r.result.RecoverSeconds = r.recovery()
	r.result.RunTwice = r.cluster.Runs.Duplicates()
	for _, t := range r.cluster.Targets("") {
		if t.Server.PeakRequests() > t.Slots {
			r.result.OverSlots++
		}
	}
	if o.Scenario == CapBound {
		r.result.CapUse = float64(r.cluster.Flow.Carried(r.capRow())) / (boundCap * o.Duration.Seconds())
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
