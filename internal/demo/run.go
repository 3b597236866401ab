package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/rainford/rainford/caller"
	"github.com/rainford/rainford/config"
	"github.com/rainford/rainford/internal/load"
	"github.com/rainford/rainford/internal/pause"
	"github.com/rainford/rainford/internal/standin/platformstore"
	"github.com/rainford/rainford/table"
)

// RunOptions configures Run.
type RunOptions struct {
	Estate   Estate
	Duration time.Duration
	// Rate is the nominal number of requests per second of the whole estate.
	Rate float64
	Seed uint64
	// Progress receives a line for each step. It must not be nil.
	Progress io.Writer
}

// startTimeout bounds the start of the estate.
const startTimeout = 30 * time.Second

// Run starts an estate and sends a mixed load. During the load it raises a weight,
// lowers a cap and drains a region. The report lists the invariants that were violated.
func Run(ctx context.Context, options RunOptions) (*Report, error) {
	d := &demo{options: options, caps: make(map[table.RowKey]loweredCap), generator: load.NewGenerator()}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d.say("starting %s", options.Estate.Name)
	cluster, err := Start(startCtx, Options{Estate: options.Estate, Limits: platformstore.DefaultLimits})
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	d.cluster = cluster
	return d.run(ctx)
}

// demo is the state of a run.
type demo struct {
	options   RunOptions
	cluster   *Cluster
	generator *load.Generator
	clients   []*caller.Client
	caps      map[table.RowKey]loweredCap
	report    Report
}

func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.options.Progress, format+"\n", args...)
}

func (d *demo) run(ctx context.Context) (*Report, error) {
	loadCtx, stop := context.WithTimeout(ctx, d.options.Duration)
	defer stop()
	err := d.startLoad(loadCtx)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	err = d.steps(ctx)
	if err != nil {
		return nil, err
	}
	<-loadCtx.Done()
	d.generator.Wait()
	for _, c := range d.clients {
		c.Close()
	}
	d.say("load ended after %.1f s", time.Since(began).Seconds())
	return d.finish(ctx)
}

// startLoad starts the streams of the mix with one client in each hall.
func (d *demo) startLoad(ctx context.Context) error {
	halls := d.cluster.Estate.AllHalls()
	services := d.cluster.Estate.Services
	each := d.options.Rate / float64(len(halls)*(len(services)+1))
	for i := range halls {
		client, err := d.cluster.Caller(i)
		if err != nil {
			return err
		}
		d.clients = append(d.clients, client)
		for j, s := range streams(services, each) {
			s.Client = client
			source := rand.NewPCG(d.options.Seed, uint64(i*16+j))
			go d.generator.Run(ctx, s, source)
		}
	}
	return nil
}

// Sizes of the requests and responses in bytes, and client timeouts.
const (
	uploadBytes   = 256 << 10
	downloadBytes = 512 << 10
	receiptBytes  = 300
	readTimeout   = 3 * time.Second
	longTimeout   = 10 * time.Second
)

// streams returns the streams of one client: reads and a few downloads from the first
// service, operations that must run at most once on the second, and uploads to the third.
func streams(services []ServiceSize, rate float64) []load.Stream {
	return []load.Stream{
		{Service: services[0].Name, Kind: load.Read, Rate: 2 * rate, Timeout: readTimeout},
		{Service: services[0].Name, Kind: load.Download, Rate: rate / 20, Bytes: downloadBytes, Timeout: longTimeout},
		{Service: services[1].Name, Kind: load.Operate, Rate: rate / 2, Bytes: receiptBytes, Timeout: readTimeout, MaxRetries: 1},
		{Service: services[2].Name, Kind: load.Upload, Rate: rate / 4, Bytes: uploadBytes, Timeout: longTimeout},
	}
}

// steps changes the routing table under load, after a quarter, a half and three quarters
// of the run's duration.
func (d *demo) steps(ctx context.Context) error {
	regions := d.cluster.Estate.Regions
	service := d.cluster.Estate.Services[0].Name
	key := table.RowKey{Service: service, From: regions[0], To: regions[1]}
	quarter := d.options.Duration / 4
	if !pause.For(ctx, quarter) {
		return ctx.Err()
	}
	err := d.change(ctx, "raise the weight of "+key.String()+" to 40", func(t *table.Table) { setRow(t, key, func(r *table.Row) { r.Weight = 40 }) })
	if err != nil {
		return err
	}
	if !pause.For(ctx, quarter) {
		return ctx.Err()
	}
	err = d.change(ctx, "lower the cap of "+key.String()+" to 20", func(t *table.Table) { setRow(t, key, func(r *table.Row) { r.Cap = 20 }) })
	if err != nil {
		return err
	}
	d.caps[key] = loweredCap{before: remoteCap, lowered: time.Now().Add(table.CapWindow)}
	if !pause.For(ctx, quarter) {
		return ctx.Err()
	}
	return d.drain(ctx, regions[2])
}

func setRow(t *table.Table, key table.RowKey, change func(*table.Row)) {
	for i := range t.Rows {
		if t.Rows[i].Key() == key {
			change(&t.Rows[i])
		}
	}
}

// change edits the routing table and records the time until the new version is in force
// at every instance.
func (d *demo) change(ctx context.Context, what string, edit func(*table.Table)) error {
	accepted, err := d.cluster.Editor(what).Edit(ctx, func(t *table.Table) error {
		edit(t)
		return nil
	})
	if err != nil {
		return err
	}
	began := time.Now()
	awaitCtx, cancel := context.WithTimeout(ctx, 2*maxInForceSeconds*time.Second)
	defer cancel()
	err = d.cluster.AwaitVersion(awaitCtx, accepted.Number)
	if err != nil {
		return err
	}
	took := time.Since(began).Seconds()
	d.report.Config.Changes++
	d.report.Config.WorstSecondsToInForce = max(d.report.Config.WorstSecondsToInForce, took)
	d.say("version %d: %s; in force everywhere after %.3f s", accepted.Number, what, took)
	return nil
}

// drain drains a region and records when its targets started their last request.
func (d *demo) drain(ctx context.Context, region string) error {
	d.report.Drain.Region = region
	began := time.Now()
	err := d.change(ctx, "drain region "+region, func(t *table.Table) {
		t.SetDrain(table.Drain{Scope: table.ScopeRegion, Name: region}, true)
	})
	if err != nil {
		return err
	}
	pause.For(ctx, d.options.Duration/4)
	for _, t := range d.cluster.Targets(region) {
		if last := t.Server.LastStart().Sub(began).Seconds(); last > d.report.Drain.SecondsToLastNew {
			d.report.Drain.SecondsToLastNew = last
		}
	}
	d.say("region %s got its last new request %.2f s after the drain", region, d.report.Drain.SecondsToLastNew)
	return nil
}

func (d *demo) finish(ctx context.Context) (*Report, error) {
	current, err := d.currentTable(ctx)
	if err != nil {
		return nil, err
	}
	d.report.Rows = rowReports(current, d.cluster.Admissions, d.caps)
	for _, s := range d.cluster.Estate.Services {
		st := d.generator.Stats(s.Name)
		d.report.Drain.CutRequests += st.Broken
		twice := 0
		if s.Once {
			twice = d.cluster.Runs.Duplicates()
		}
		d.report.Services = append(d.report.Services, serviceReport(s.Name, st, twice))
	}
	d.report.check()
	d.checkNotRun()
	return &d.report, nil
}

// checkNotRun adds a violation to the report for each operation that ran although its
// client was told that it had not run.
func (d *demo) checkNotRun() {
	for _, s := range d.cluster.Estate.Services {
		for _, key := range d.generator.Stats(s.Name).NotRunKeys {
			if d.cluster.Runs.Count(key) > 0 {
				d.report.Broken = append(d.report.Broken, "not run: operation "+key+" of "+s.Name+" ran")
			}
		}
	}
}

func (d *demo) currentTable(ctx context.Context) (*table.Table, error) {
	obj, err := d.cluster.Client.Get(ctx, config.Key)
	if err != nil {
		return nil, err
	}
	doc, err := config.Decode(obj.Value)
	if err != nil {
		return nil, err
	}
	return &doc.Table, nil
}
