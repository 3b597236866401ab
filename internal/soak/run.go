package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Options are the parameters of a run.
type Options struct {
	Seed     uint64
	Duration time.Duration
	// Program is the path of rainfordd.
	Program string
	// Instances and Clients are the numbers of gateway processes and of clients.
	Instances, Clients int
	// Only restricts the plan to faults of one kind, unless it is empty.
	Only FaultKind
	// Keep is the folder for the logs. If it is empty, the logs are removed after the run.
	Keep     string
	Progress io.Writer
}

// Report is the result of a run.
type Report struct {
	Seed       uint64         `json:"seed"`
	Seconds    float64        `json:"seconds"`
	Faults     map[string]int `json:"faults"`
	Requests   int            `json:"requests"`
	Served     int            `json:"served"`
	AfterEnd   float64        `json:"served_after_the_last_fault"`
	Checks     map[string]int `json:"checks"`
	PeakMemory int64          `json:"peak_memory_bytes"`
	PeakFiles  int            `json:"peak_files"`
	Processes  int            `json:"processes"`
	// Ended holds the number of servers that crashed under each request that crashes servers.
	Ended map[string]int `json:"ended"`
	// Cuts holds, for each cut of all links of instances to servers, the first attempts that were
	// served at these instances and at the others.
	Cuts   []string    `json:"cuts"`
	Broken []Violation `json:"broken"`
}

const (
	settleTime = 1500 * time.Millisecond
	// recoverTime is the time that the system has to recover after the last fault.
	recoverTime = 5 * time.Second
	// recoverShare is the fraction of requests that must be served after recoverTime.
	recoverShare = 0.9
	maxMemory    = 160 << 20
	maxFiles     = 1000
)

type runner struct {
	options Options
	site    *site
	wg      sync.WaitGroup
	report  Report
}

// later calls f after the given time. The run waits for the call to return.
func (r *runner) later(after time.Duration, f func()) {
	r.wg.Add(1)
	time.AfterFunc(after, func() {
		defer r.wg.Done()
		f()
	})
}

// Run executes the plan of a seed and returns the report. It returns an error if the site
// cannot be started.
func Run(ctx context.Context, options Options) (*Report, error) {
	dir := options.Keep
	if dir == "" {
		temporary, err := os.MkdirTemp("", "rainford-soak")
		if err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		dir = temporary
	}
	dir = filepath.Join(dir, fmt.Sprintf("seed-%d", options.Seed))
	err := os.MkdirAll(dir, 0o755)
	if err != nil {
		return nil, err
	}
	s, err := newSite(options.Program, dir, options.Instances)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	r := &runner{options: options, site: s}
	r.report = Report{Seed: options.Seed, Faults: make(map[string]int), Processes: options.Instances}
	r.play(ctx)
	return &r.report, nil
}

func (r *runner) play(ctx context.Context) {
	began := time.Now()
	loadCtx, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for i := range r.options.Clients {
		clients.Add(1)
		go newClient(r.site, places[i%len(places)], accountOf(i/len(places)), r.options.Seed*1000+uint64(i)).run(loadCtx, &clients)
	}
	clients.Add(1)
	go r.site.probe(loadCtx, &clients)
	r.sleep(ctx, settleTime)
	r.injectAll(ctx)
	r.wg.Wait()
	quiet := time.Now().Add(recoverTime)
	r.sleep(ctx, max(time.Until(quiet.Add(3*time.Second)), r.options.Duration-time.Since(began)))
	r.recovered(quiet)
	stop()
	clients.Wait()
	r.site.oracle.budget()
	r.site.oracle.limits()
	r.finish(began)
}

func (r *runner) sleep(ctx context.Context, d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) && ctx.Err() == nil {
		r.measure()
		time.Sleep(min(200*time.Millisecond, max(0, time.Until(end))))
	}
}

// measure updates the peaks of the processes' resident memory and open descriptors.
func (r *runner) measure() {
	for _, in := range r.site.instances {
		memory, files := in.memory()
		r.report.PeakMemory = max(r.report.PeakMemory, memory)
		r.report.PeakFiles = max(r.report.PeakFiles, files)
	}
}

func (r *runner) injectAll(ctx context.Context) {
	began := time.Now()
	for _, f := range Plan(r.options.Seed, r.options.Duration) {
		if r.options.Only != "" && f.Kind != r.options.Only {
			continue
		}
		r.sleep(ctx, time.Until(began.Add(f.At)))
		if ctx.Err() != nil {
			return
		}
		r.report.Faults[string(f.Kind)]++
		fmt.Fprintf(r.options.Progress, "seed %d: %s\n", r.options.Seed, f)
		r.inject(f)
	}
}

func (r *runner) recovered(since time.Time) {
	served, all := r.site.oracle.served(since)
	if all > 0 {
		r.report.AfterEnd = float64(served) / float64(all)
	}
	o := r.site.oracle
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checks["RECOVER"]++
	if r.report.AfterEnd < recoverShare {
		o.violated("RECOVER", "%d of %d requests served after the last fault", served, all)
	}
	o.checks["GROWTH"]++
	if r.report.PeakMemory > maxMemory || r.report.PeakFiles > maxFiles {
		o.violated("GROWTH", "peak of %d bytes of memory and %d open descriptors", r.report.PeakMemory, r.report.PeakFiles)
	}
}

func (r *runner) finish(began time.Time) {
	o := r.site.oracle
	r.report.Served, r.report.Requests = o.served(time.Time{})
	r.report.Ended = o.crashCounts()
	o.mu.Lock()
	defer o.mu.Unlock()
	r.report.Seconds = time.Since(began).Seconds()
	r.report.Checks, r.report.Cuts = o.checks, o.cutResults
	r.report.Broken = append([]Violation{}, o.violations...)
}
