// Command rainfordload measures the system under load. It runs experiments with all instances
// and targets of one or more estates on the loopback interface, and prints the results as a
// table or as JSON. An estate is a set of regions, halls and services of given sizes.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/rainford/rainford/internal/demo"
	"github.com/rainford/rainford/internal/experiment"
	"github.com/rainford/rainford/protocol"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// settings holds the values of the flags. An experiment is run for each combination of the
// estates, scenarios, policies, loads and loan lengths. A load is a fraction of the capacity,
// and slow is a factor of the service times.
type settings struct {
	estates     []demo.Estate
	scenarios   []experiment.Scenario
	policies    []experiment.Policy
	loads       []float64
	loanLengths []time.Duration
	duration    time.Duration
	slow        float64
	seed        uint64
	json        bool
	// idle lists the sizes for measurements without load, each as the number of regions and
	// the number of instances of a hall. If there are any, no experiments with load are run.
	idle []experiment.IdleSize
}

// run runs the experiments and returns the exit code. Progress goes to standard error.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	s, err := parse(args, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return exitUsage
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if len(s.idle) > 0 {
		return runIdle(ctx, s, stdout, stderr)
	}
	var results []*experiment.Result
	for _, o := range s.matrix() {
		result, err := experiment.Run(ctx, o)
		if err != nil {
			fmt.Fprintln(stderr, err)
			return exitFailure
		}
		results = append(results, result)
		fmt.Fprintln(stderr, "done:", result.Options)
	}
	err = printResults(stdout, s.json, results)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
	return exitOK
}

// runIdle measures the cost of the control traffic between instances without any requests, at
// each size of s.idle. It prints a table and returns the exit code.
func runIdle(ctx context.Context, s *settings, stdout, stderr io.Writer) int {
	tw := tabwriter.NewWriter(stdout, 2, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "halls\tinstances\tcore % each\theap kB each\tsent B/s each\treceived B/s each\treads/s\twrites/s\tin force s\treads/s after outage\t")
	for _, size := range s.idle {
		r, err := experiment.Idle(ctx, size, s.duration)
		if err != nil {
			fmt.Fprintln(stderr, err)
			return exitFailure
		}
		fmt.Fprintf(tw, "%d\t%d\t%.2f\t%.0f\t%.0f\t%.0f\t%.1f\t%.2f\t%.3f\t%.0f\t\n", r.Halls, r.Instances, r.CorePercent, r.HeapKB,
			r.SentBytes, r.ReceivedBytes, r.Reads, r.Writes, r.InForceSeconds, r.OutageReads)
		fmt.Fprintln(stderr, "done:", r.Halls, "halls,", r.Instances, "instances")
	}
	if err := tw.Flush(); err != nil {
		return exitFailure
	}
	return exitOK
}

// matrix returns the options of one experiment for each combination of the settings.
func (s *settings) matrix() []experiment.Options {
	var out []experiment.Options
	for _, estate := range s.estates {
		for _, scenario := range s.scenarios {
			for _, load := range s.loads {
				for _, policy := range s.policies {
					for _, loan := range s.loanLengths {
						out = append(out, experiment.Options{
							Estate: clone(estate), Scenario: scenario, Policy: policy, Load: load, LoanDuration: loan,
							Duration: s.duration, ServiceTimeFactor: s.slow, Seed: s.seed,
						})
					}
				}
			}
		}
	}
	return out
}

// clone returns a copy of e with its own list of services, so that an experiment can change it.
func clone(e demo.Estate) demo.Estate {
	e.Services = append([]demo.ServiceSize(nil), e.Services...)
	return e
}

// parse reads the flags and the environment variables with the prefix RAINFORDLOAD_. It returns
// all errors in their values together.
func parse(args []string, stderr io.Writer) (*settings, error) {
	s := &settings{}
	fs := flag.NewFlagSet("rainfordload", flag.ContinueOnError)
	fs.SetOutput(stderr)
	estates := fs.String("estate", "estatedesk", "estatedesk, pampa, or both with a comma")
	scenarios := fs.String("scenario", "steady", "steady, region-lost, drain, cold, platform-down, cap-bound; several with commas")
	policies := fs.String("policy", "full", "full, round-robin, least-in-flight, no-slow-start, no-loans; several with commas")
	loads := fs.String("load", "0.7", "offered load as a part of the capacity; several with commas")
	loans := fs.String("loan", "0s", "length of loans; 0s leaves the default; several with commas")
	fs.DurationVar(&s.duration, "duration", 12*time.Second, "length of each run")
	fs.Float64Var(&s.slow, "slow", 10, "factor of the service times")
	fs.Uint64Var(&s.seed, "seed", 1, "seed of the arrivals")
	idle := fs.String("idle", "", "measure control without load at sizes REGIONSxINSTANCES-OF-A-HALL, such as 3x2,3x4")
	fs.BoolVar(&s.json, "json", false, "print JSON")
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("RAINFORDLOAD"))
	if err != nil {
		return nil, err
	}
	var errs []error
	forEachItem(*estates, func(v string) {
		e, err := demo.ByName(v)
		s.estates = append(s.estates, e)
		errs = append(errs, err)
	})
	forEachItem(*scenarios, func(v string) {
		s.scenarios = append(s.scenarios, experiment.Scenario(v))
		errs = append(errs, checkKnown(experiment.Scenario(v), experiment.Scenarios))
	})
	forEachItem(*policies, func(v string) {
		s.policies = append(s.policies, experiment.Policy(v))
		errs = append(errs, checkKnown(experiment.Policy(v), experiment.Policies))
	})
	forEachItem(*loads, func(v string) {
		n, err := strconv.ParseFloat(v, 64)
		s.loads = append(s.loads, n)
		errs = append(errs, err)
	})
	forEachItem(*loans, func(v string) {
		d, err := time.ParseDuration(v)
		s.loanLengths = append(s.loanLengths, d)
		errs = append(errs, err)
	})
	if *idle != "" {
		forEachItem(*idle, func(v string) {
			var size experiment.IdleSize
			_, err := fmt.Sscanf(v, "%dx%d", &size.Regions, &size.PerHall)
			s.idle = append(s.idle, size)
			errs = append(errs, err)
		})
	}
	return s, errors.Join(errs...)
}

// forEachItem calls f for each part of a list that is separated by commas.
func forEachItem(list string, f func(string)) {
	for _, v := range strings.Split(list, ",") {
		f(strings.TrimSpace(v))
	}
}

// checkKnown returns an error if v is not one of all.
func checkKnown[T comparable](v T, all []T) error {
	for _, candidate := range all {
		if candidate == v {
			return nil
		}
	}
	return fmt.Errorf("unknown value %v: want one of %v", v, all)
}

// formatReasons prints counts as "a:1 b:2", or "-" for none.
func formatReasons(counts map[protocol.Reason]int64) string {
	if len(counts) == 0 {
		return "-"
	}
	var parts []string
	for reason, n := range counts {
		parts = append(parts, fmt.Sprintf("%s:%d", reason, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

// printResults writes the results to w, as JSON or as a table with a row for each service.
func printResults(w io.Writer, asJSON bool, results []*experiment.Result) error {
	if asJSON {
		return json.NewEncoder(w).Encode(results)
	}
	tw := tabwriter.NewWriter(w, 2, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "run\tservice\trequests\tok\tnot run\tunknown\tused\tp50 ms\tp99 ms\tp99.9 ms\trefusal p99 ms\tdrain s\trecover s\tcap use\tover slots\ttwice\treasons\t")
	for _, r := range results {
		for _, s := range r.Services {
			if s.Requests == 0 {
				continue
			}
			fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%s\t\n",
				r.Options, s.Service, s.Requests, s.OK, s.NotRun, s.Unknown, s.Used, s.P50Ms, s.P99Ms, s.P999Ms, s.RefusalP99Ms,
				r.DrainSeconds, r.RecoverSeconds, r.CapUse, r.OverSlots, r.RunTwice, formatReasons(s.Reasons))
		}
	}
	return tw.Flush()
}
